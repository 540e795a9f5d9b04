package deckfall.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import deckfall.soak.SlowPeers.OrdinaryClients;
import deckfall.soak.SlowPeers.Response;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests hundreds of clients at once that each make a gateway hold as much as they can, beside ordinary clients. */
class CrowdTest {
    private static final int CLIENTS = 300;
    private static final int INTERVAL_MS = 20; // between ordinary lookups
    private static final int WAIT_MS = 400;
    private static final int CROWD_WAIT_MS = 2000;
    private static final long MAX_MEMORY_BYTES = 160 << 20;
    private static final int BODY_BYTES = 1_000_000;
    private static final int BODY_CHUNKS = 100_000; // of a byte each
    private static final int CHUNKS_PER_WRITE = 1000;
    private static final int RESPONSE_BYTES = 1_000_000;
    private static final int READ_BYTES = 6400; // at a time, by a slow reader
    private static final int READ_INTERVAL_MS = 30;

    @TempDir
    private Path folder;

    /** What one client of the crowd does; it returns the number of complete responses that it got. */
    private interface Behavior {
        int run(Socket socket, String id) throws IOException, InterruptedException;
    }

    /** Runs a crowd of clients beside ordinary ones, and checks that these are served and that the process lives. */
    private int runCrowd(Behavior behavior) throws Exception {
        AtomicInteger complete = new AtomicInteger();
        try (SlowPeers peers = new SlowPeers(folder, 1, "")) {
            OrdinaryClients ordinary = peers.startOrdinaryClients(0, INTERVAL_MS, WAIT_MS);
            List<Thread> crowd = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                String id = "crowd" + i;
                Thread client = new Thread(() -> {
                    try (Socket socket = peers.connect(0)) {
                        complete.addAndGet(behavior.run(socket, id));
                    } catch (IOException | InterruptedException e) {
                        // the gateway has closed the connection
                    }
                });
                crowd.add(client);
                client.start();
            }
            for (Thread client : crowd) {
                client.join();
            }
            ordinary.close();
            assertEquals(List.of(), peers.broken());
            assertTrue(ordinary.served.get() > 0, "no ordinary client was served");
            assertTrue(peers.process(0).isAlive());
            assertTrue(peers.peakMemoryBytes(0) < MAX_MEMORY_BYTES, peers.peakMemoryBytes(0) + " bytes");
        }
        return complete.get();
    }

    private static String booking(String id) {
        return SlowPeers.head("POST", "/seat-booking/x", id, CROWD_WAIT_MS);
    }

    private static int readResponse(Socket socket) throws IOException {
        return Response.read(socket.getInputStream()).complete ? 1 : 0;
    }

    @Test
    void clientsThatStopHalfWayThroughABody() throws Exception {
        int answered = runCrowd((socket, id) -> {
            OutputStream out = socket.getOutputStream();
            out.write(SlowPeers.ascii(booking(id) + "Content-Length: " + BODY_BYTES + "\r\n\r\n"));
            out.write(new byte[BODY_BYTES / 2]);
            return readResponse(socket);
        });
        assertTrue(answered > 0, "nobody was answered");
    }

    /** Guards against parts of bodies being processed without a bound on the work of a turn. */
    @Test
    void clientsThatSendABodyByteByByte() throws Exception {
        runCrowd((socket, id) -> {
            OutputStream out = socket.getOutputStream();
            out.write(SlowPeers.ascii(booking(id) + "Transfer-Encoding: chunked\r\n\r\n"));
            byte[] chunks = SlowPeers.ascii("1\r\nx\r\n".repeat(CHUNKS_PER_WRITE));
            for (int i = 0; i < BODY_CHUNKS; i += CHUNKS_PER_WRITE) {
                out.write(chunks);
            }
            out.write(SlowPeers.ascii("0\r\n\r\n"));
            return readResponse(socket);
        });
    }

    /** Guards against turns that are counted by requests only: a head may hold thousands of fields. */
    @Test
    void clientsThatSendManyHeadsOfManyFields() throws Exception {
        String fields = "a:\r\n".repeat(1900) + "\r\n";
        runCrowd((socket, id) -> {
            for (int i = 0; i < 20; i++) {
                String head = SlowPeers.head("GET", "/seat-lookup/x", id + "-" + i, CROWD_WAIT_MS);
                socket.getOutputStream().write(SlowPeers.ascii(head + fields));
            }
            return readResponse(socket);
        });
    }

    /** Guards against resetting clients that read long responses slowly, as each of them takes too much memory. */
    @Test
    @Tag("known-red")
    void slowReadersOfLongResponsesGetThemWhole() throws Exception {
        String target = "/seat-lookup/x?framing=LENGTH&rate=100000000&lump=10&bytes=" + RESPONSE_BYTES;
        int whole = runCrowd((socket, id) -> {
            String head = SlowPeers.head("GET", target, id, CROWD_WAIT_MS) + "\r\n";
            socket.getOutputStream().write(SlowPeers.ascii(head));
            InputStream in = socket.getInputStream();
            byte[] buffer = new byte[READ_BYTES];
            int total = 0;
            for (int read = in.read(buffer); read > 0 && total + read < RESPONSE_BYTES; read = in.read(buffer)) {
                total += read;
                Thread.sleep(READ_INTERVAL_MS);
            }
            return total + READ_BYTES >= RESPONSE_BYTES ? 1 : 0;
        });
        assertEquals(CLIENTS, whole);
    }
}
