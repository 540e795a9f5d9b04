package deckfall.net;

import static deckfall.net.TestEndpoints.TIMEOUT_MS;
import static deckfall.net.TestEndpoints.bytes;
import static deckfall.net.TestEndpoints.hostEntry;
import static deckfall.net.TestEndpoints.hostList;
import static deckfall.net.TestEndpoints.orderRequest;
import static deckfall.net.TestEndpoints.viewRequest;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import deckfall.net.TestEndpoints.Client;
import deckfall.net.TestEndpoints.DiscoveryServer;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.zip.CRC32;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;

/** Tests that bodies of all sizes pass unchanged in both directions and in each framing, alone and several at once. */
@Timeout(4 * TIMEOUT_MS / 1000)
class BodyIntegrityTest {
    private static final int[] SIZES = {
        1, 16 * 1024, 16 * 1024 + 1, 64 * 1024, 64 * 1024 + 1, 256 * 1024, 300_000, 1_100_000, 5_000_000, 32 << 20
    };
    private static final int CONCURRENT = 8;
    private static final int CHUNK_BYTES = 50_000;
    private static final String ROOMY = "\"memory_mb\": 192";
    private static final String TIGHT = "\"memory_mb\": 16"; // 1 MB for what peers make the node hold

    /** How the end of a body is marked. */
    private enum Framing {
        LENGTH,
        CHUNKED,
        CLOSE
    }

    @RegisterExtension
    final Closeables closeables = new Closeables();

    private Node node;

    private void startNode(String memory) throws IOException {
        ServerSocket listener = closeables.closeLater(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()));
        daemon(() -> {
            while (true) {
                Socket socket = listener.accept();
                daemon(() -> serve(socket));
            }
        });
        String[] hosts = new String[CONCURRENT];
        for (int i = 0; i < hosts.length; i++) {
            hosts[i] = hostEntry("h" + i, "127.0.0.1:" + listener.getLocalPort(), "ready");
        }
        DiscoveryServer discovery = closeables.closeLater(new DiscoveryServer(hostList(1, true, hosts)));
        node = TestEndpoints.node(
                TestEndpoints.config(discovery.server.address(), "127.0.0.1:0").replace(ROOMY, memory));
        closeables.push(node::stop);
    }

    private static void daemon(Callable<Void> action) {
        Thread thread = new Thread(() -> {
            try {
                action.call();
            } catch (Exception e) {
                // the connection or the test has ended
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private static byte[] pattern(int length) {
        byte[] body = new byte[length];
        for (int i = 0; i < length; i++) {
            body[i] = (byte) (i * 31 + i / 251 + i / 65_537);
        }
        return body;
    }

    private static String digest(byte[] body) {
        CRC32 crc = new CRC32();
        crc.update(body);
        return body.length + ":" + crc.getValue();
    }

    /** A message with its body, whatever its framing. */
    private record Received(String startLine, byte[] body) {}

    private static Received receive(InputStream in) throws IOException {
        String startLine = readLine(in);
        Map<String, String> fields = new TreeMap<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            fields.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        if (!fields.containsKey("transfer-encoding")) {
            return new Received(startLine, in.readNBytes(Integer.parseInt(fields.getOrDefault("content-length", "0"))));
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (int size = Integer.parseInt(readLine(in), 16); size > 0; size = Integer.parseInt(readLine(in), 16)) {
            body.writeBytes(in.readNBytes(size));
            readLine(in);
        }
        readLine(in);
        return new Received(startLine, body.toByteArray());
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new IOException("the connection has ended");
            }
            if (b != '\r') {
                line.append((char) b);
            }
        }
        return line.toString();
    }

    private static void send(OutputStream out, String head, Framing framing, byte[] body) throws IOException {
        String field = switch (framing) {
            case LENGTH -> "Content-Length: " + body.length;
            case CHUNKED -> "Transfer-Encoding: chunked";
            case CLOSE -> "Connection: close";
        };
        out.write(bytes(head + field + "\r\n\r\n"));
        if (framing != Framing.CHUNKED) {
            out.write(body);
            return;
        }
        for (int i = 0; i < body.length; i += CHUNK_BYTES) {
            int length = Math.min(CHUNK_BYTES, body.length - i);
            out.write(bytes(Integer.toHexString(length) + "\r\n"));
            out.write(body, i, length);
            out.write(bytes("\r\n"));
        }
        out.write(bytes("0\r\n\r\n"));
    }

    /** Answers a request with the digest of its body, or a lookup with the body that its query asks for. */
    private static Void serve(Socket socket) throws IOException {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Received request = receive(in);
                String target = request.startLine().split(" ")[1];
                if (!target.contains("size=")) {
                    send(
                            socket.getOutputStream(),
                            "HTTP/1.1 200 OK\r\n",
                            Framing.LENGTH,
                            bytes(digest(request.body())));
                    continue;
                }
                String[] query = target.substring(target.indexOf("size=") + 5).split(",");
                Framing framing = Framing.valueOf(query[1]);
                byte[] body = pattern(Integer.parseInt(query[0]));
                send(socket.getOutputStream(), "HTTP/1.1 200 OK\r\n", framing, body);
                if (framing == Framing.CLOSE) {
                    return null;
                }
            }
        }
    }

    /** Uploads a body and returns the response. */
    private Received upload(Framing framing, int size, String id) throws IOException {
        try (Client c = new Client(node)) {
            String head = orderRequest(id, "").replace("Content-Length: 0\r\n\r\n", "");
            daemon(() -> {
                send(c.socket.getOutputStream(), head, framing, pattern(size));
                return null;
            });
            return receive(new BufferedInputStream(c.socket.getInputStream()));
        }
    }

    private Received download(Framing framing, int size, String id) throws IOException {
        try (Client c = new Client(node)) {
            c.send(viewRequest(id, TIMEOUT_MS).replace("z=3", "size=" + size + "," + framing));
            return receive(new BufferedInputStream(c.socket.getInputStream()));
        }
    }

    private void assertUploaded(Framing framing, int size, String id) throws IOException {
        Received response = upload(framing, size, id);
        assertEquals("HTTP/1.1 200 OK", response.startLine(), framing + " " + size);
        assertEquals(digest(pattern(size)), new String(response.body()), framing + " " + size);
    }

    private void assertDownloaded(Framing framing, int size, String id) throws IOException {
        Received response = download(framing, size, id);
        assertEquals("HTTP/1.1 200 OK", response.startLine(), framing + " " + size);
        assertEquals(digest(pattern(size)), digest(response.body()), framing + " " + size);
    }

    @Test
    void bodiesOfAllSizesPassUnchanged() throws Exception {
        startNode(ROOMY);
        for (int size : SIZES) {
            for (Framing framing : List.of(Framing.LENGTH, Framing.CHUNKED)) {
                assertUploaded(framing, size, "u" + size + framing);
            }
            for (Framing framing : Framing.values()) {
                assertDownloaded(framing, size, "d" + size + framing);
            }
        }
    }

    @Test
    @Tag("known-red")
    void severalLongBodiesAtOncePassUnchanged() throws Exception {
        startNode(ROOMY);
        ExecutorService clients = Executors.newFixedThreadPool(CONCURRENT);
        List<Future<Void>> results = new ArrayList<>();
        for (int i = 0; i < CONCURRENT; i++) {
            int number = i;
            Framing framing = Framing.values()[i % 2];
            results.add(clients.submit(() -> {
                assertUploaded(framing, 5_000_000, "u" + number);
                assertDownloaded(framing, 5_000_000, "d" + number);
                return null;
            }));
        }
        for (Future<Void> result : results) {
            result.get();
        }
        clients.shutdown();
    }

    /** With little memory a body may be refused, but never changed. */
    @Test
    void bodiesPassUnchangedOrNotAtAllWhenMemoryIsShort() throws Exception {
        startNode(TIGHT);
        ExecutorService clients = Executors.newFixedThreadPool(CONCURRENT);
        List<Future<Received>> uploads = new ArrayList<>();
        List<Future<Void>> downloads = new ArrayList<>();
        for (int i = 0; i < CONCURRENT; i++) {
            int number = i;
            Framing framing = Framing.values()[i % 2];
            uploads.add(clients.submit(() -> upload(framing, 1_100_000, "u" + number)));
            downloads.add(clients.submit(() -> {
                assertDownloaded(framing, 5_000_000, "d" + number);
                return null;
            }));
        }
        for (Future<Received> upload : uploads) {
            Received response = upload.get();
            boolean served = response.startLine().equals("HTTP/1.1 200 OK");
            assertTrue(served || response.startLine().matches("HTTP/1.1 (413|429|502|503) .*"), response.startLine());
            assertTrue(!served || digest(pattern(1_100_000)).equals(new String(response.body())));
        }
        for (Future<Void> download : downloads) {
            download.get();
        }
        clients.shutdown();
    }
}
