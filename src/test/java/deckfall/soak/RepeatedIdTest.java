package deckfall.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import deckfall.soak.GatewayUnderTest.GatewayProcess;
import deckfall.soak.SlowPeers.Response;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that a booking whose id comes again, also at another process of its gateway, does not run twice. */
class RepeatedIdTest {
    private static final int SERVICE_MS = 100;
    private static final int WAIT_MS = 2000;
    private static final int REPEATS = 12; // so that both processes that accept on one listener get some
    private static final int TIMEOUT_SECONDS = 30;

    @TempDir
    private Path folder;

    private static byte[] booking(String id) {
        String target = "/seat-booking/x?delay=" + SERVICE_MS;
        return SlowPeers.ascii(SlowPeers.head("POST", target, id, WAIT_MS) + "Content-Length: 3\r\n\r\ntwo");
    }

    /** Sends a booking and leaves once it has reached a server. */
    private static void bookAndLeave(SlowPeers peers, String id) throws IOException {
        try (Socket socket = peers.connect(0)) {
            socket.getOutputStream().write(booking(id));
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
            while (!peers.arrivals().containsKey(id)) {
                assertTrue(System.nanoTime() < end, id + " reached no server");
                Thread.onSpinWait();
            }
        }
    }

    private static int book(SlowPeers peers, String id) throws IOException {
        try (Socket socket = peers.connect(0)) {
            socket.getOutputStream().write(booking(id));
            Response response = Response.read(socket.getInputStream());
            assertTrue(response.complete, id + " got no response");
            return response.status;
        }
    }

    private static void assertRefusedToRunAgain(SlowPeers peers, String id) throws IOException {
        for (int i = 0; i < REPEATS; i++) {
            assertEquals(502, book(peers, id), id); // no refusal, as it may have run
        }
        assertEquals(1, peers.arrivals().get(id).size(), id);
    }

    /** Guards against a second run when the id comes again after its client has left, or after it was served. */
    @Test
    void bookingThatComesAgainIsNotSentAgain() throws Exception {
        try (SlowPeers peers = new SlowPeers(folder, 1, "")) {
            bookAndLeave(peers, "left");
            assertRefusedToRunAgain(peers, "left");
            assertEquals(200, book(peers, "served"));
            assertRefusedToRunAgain(peers, "served");
            assertEquals(200, book(peers, "another"));
        }
    }

    /** Guards against a second run at the other process of an upgrade, before and after the first one has ended. */
    @Test
    void bookingThatComesAgainAtAnotherProcessIsNotSentAgain() throws Exception {
        try (SlowPeers peers = new SlowPeers(folder, 1, "", true)) {
            bookAndLeave(peers, "before");
            peers.startAnother(0);
            assertRefusedToRunAgain(peers, "before");
            for (int i = 0; i < REPEATS; i++) {
                bookAndLeave(peers, "beside" + i);
                assertRefusedToRunAgain(peers, "beside" + i);
            }
            GatewayProcess old = peers.process(0);
            old.endRequested = true;
            bookAndLeave(peers, "last");
            old.signal("TERM");
            old.handle.onExit().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertRefusedToRunAgain(peers, "last");
            assertRefusedToRunAgain(peers, "beside0");
            assertEquals(200, book(peers, "another"));
        }
    }
}
