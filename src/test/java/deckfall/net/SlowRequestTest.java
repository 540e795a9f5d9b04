package deckfall.net;

import static deckfall.net.TestEndpoints.TIMEOUT_MS;
import static deckfall.net.TestEndpoints.bytes;
import static deckfall.net.TestEndpoints.hostEntry;
import static deckfall.net.TestEndpoints.hostList;
import static deckfall.net.TestEndpoints.okResponse;
import static deckfall.net.TestEndpoints.orderRequest;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import deckfall.DecisionModule;
import deckfall.Gateway.Actions;
import deckfall.Gateway.Events;
import deckfall.net.TestEndpoints.Client;
import deckfall.net.TestEndpoints.DiscoveryServer;
import deckfall.net.TestEndpoints.Message;
import deckfall.net.TestEndpoints.Server;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;

/** Tests large requests whose client writes them slowly, or whose host reads them slowly or not at all. */
@Timeout(2 * TIMEOUT_MS / 1000)
class SlowRequestTest {
    private static final int WAIT_MS = 400;
    private static final int LARGE_BYTES = 600_000; // streamed
    private static final int KEPT_BYTES = 200_000; // kept until it has been received

    @RegisterExtension
    final Closeables closeables = new Closeables();

    private Node node(String... addresses) throws IOException {
        return node(DecisionModule::new, addresses);
    }

    /** A decision module that sends each request once and never ends an attempt by itself. */
    private static Events sendOnce(Actions actions) {
        return new ScriptedModule((now, r) -> actions.send(r.id(), "h0", 0), result -> {
            if (!result.requestClosed()) {
                actions.fail(result.id());
            }
        });
    }

    private Node node(Function<Actions, Events> module, String... addresses) throws IOException {
        String[] entries = new String[addresses.length];
        for (int i = 0; i < addresses.length; i++) {
            entries[i] = hostEntry("h" + i, addresses[i], "ready");
        }
        DiscoveryServer discovery = closeables.closeLater(new DiscoveryServer(hostList(1, true, entries)));
        Node node = TestEndpoints.node(TestEndpoints.config(discovery.server.address(), "127.0.0.1:0"), module);
        closeables.push(node::stop);
        return node;
    }

    private Client client(Node node) throws IOException {
        return closeables.closeLater(new Client(node));
    }

    /** A host that accepts connections and reads nothing. */
    private String stuckHost() throws IOException {
        ServerSocket listener = closeables.closeLater(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()));
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private static String head(String length, int waitMs) {
        return orderRequest("o", "")
                .replace("Content-Length: 0", length)
                .replace("X-Expires-In-Ms: " + TIMEOUT_MS, "X-Expires-In-Ms: " + waitMs);
    }

    private static byte[] pattern(int length) {
        byte[] bytes = new byte[length];
        for (int i = 0; i < length; i++) {
            bytes[i] = (byte) (i * 31 + i / 1000);
        }
        return bytes;
    }

    /**
     * Guards against a final answer that comes only after the time that a body of its length may take, or never, as its
     * host does not take the body and its client is therefore not read.
     */
    @Test
    void requestThatItsHostDoesNotTakeIsAnsweredInTime() throws Exception {
        for (String length : List.of("Content-Length: 24000000", "Transfer-Encoding: chunked")) {
            Client c = client(node(SlowRequestTest::sendOnce, stuckHost())).send(head(length, WAIT_MS));
            Thread writer = new Thread(() -> {
                byte[] chunk = bytes("10000\r\n" + "x".repeat(0x10000) + "\r\n");
                try {
                    for (int sent = 0; sent < 24_000_000 - chunk.length; sent += chunk.length) {
                        c.socket.getOutputStream().write(chunk);
                    }
                } catch (IOException e) {
                    // answered and closed before the end
                }
            });
            writer.start();
            assertEquals(502, c.receive().status(), length);
            writer.join();
        }
    }

    /** A client's time has not begun while it is still sending, however long that takes. */
    @Test
    void timeCountsFromTheEndOfASlowBody() throws Exception {
        Server host = closeables.closeLater(new Server(
                (m, s) -> s.getOutputStream().write(okResponse(Integer.toString(m.body().length)))));
        Node node = node(host.address());
        Client c = client(node).send(head("Content-Length: " + LARGE_BYTES, WAIT_MS));
        OutputStream out = c.socket.getOutputStream();
        byte[] body = pattern(LARGE_BYTES);
        int parts = 4;
        for (int i = 0; i < parts; i++) {
            out.write(body, i * LARGE_BYTES / parts, LARGE_BYTES / parts);
            node.loop.schedule(() -> {}, WAIT_MS, TimeUnit.MILLISECONDS).sync();
        }
        Message response = c.receive();
        assertEquals(200, response.status());
        assertEquals(Integer.toString(LARGE_BYTES), response.text());
        assertArrayEquals(body, host.requests.get(0).body());
    }

    /** Guards against telling a host more time than its client waits: the last byte may already be on its way. */
    @Test
    void hostOfAStreamedBodyIsToldNoMoreThanTheClientWaits() throws Exception {
        for (String length : List.of("Content-Length: 30000000", "Transfer-Encoding: chunked")) {
            Server host = closeables.closeLater(new Server((m, s) -> {}));
            Client c = client(node(host.address())).send(head(length, TIMEOUT_MS));
            c.socket.getOutputStream().write(bytes("493E0\r\n" + "x".repeat(300_000) + "\r\n"));
            // The host reads a chunked body as an empty one
            Message received = length.startsWith("Content") ? headOf(host, c) : host.nextRequest();
            int told = Integer.parseInt(received.header("X-Expires-In-Ms"));
            assertTrue(told <= TIMEOUT_MS, length + ": " + told);
        }
    }

    private static Message headOf(Server host, Client c) throws Exception {
        byte[] rest = new byte[100_000];
        for (int sent = 300_009; sent < 30_000_000; sent += rest.length) {
            c.socket.getOutputStream().write(rest, 0, Math.min(rest.length, 30_000_000 - sent));
        }
        return host.nextRequest();
    }

    /** A body that was received completely can be sent again after its host broke the connection in the middle of it. */
    @Test
    void keptBodyIsSentToAnotherHostInFull() throws Exception {
        ServerSocket breaking = closeables.closeLater(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()));
        CountDownLatch broken = new CountDownLatch(1);
        Thread thread = new Thread(() -> {
            try {
                while (true) {
                    Socket s = breaking.accept();
                    s.getInputStream().readNBytes(1000);
                    s.setSoLinger(true, 0);
                    s.close();
                    broken.countDown();
                }
            } catch (IOException e) {
                // closed
            }
        });
        thread.setDaemon(true);
        thread.start();
        Server host = closeables.closeLater(new Server(
                (m, s) -> s.getOutputStream().write(okResponse(Integer.toString(m.body().length)))));
        Node node = node("127.0.0.1:" + breaking.getLocalPort(), host.address());
        byte[] body = pattern(KEPT_BYTES);
        List<Integer> statuses = new ArrayList<>();
        for (int i = 0; i < 20 && (broken.getCount() > 0 || !statuses.contains(200)); i++) {
            Client c = client(node).send(head("Content-Length: " + KEPT_BYTES, TIMEOUT_MS));
            c.socket.getOutputStream().write(body);
            statuses.add(c.receive().status());
        }
        assertEquals(0, broken.getCount());
        assertTrue(statuses.contains(200), statuses.toString());
        for (Message m : host.requests) {
            assertArrayEquals(body, m.body());
        }
    }

    /** Guards against a peer that sends most of a large request and then nothing more, and is never answered. */
    @Test
    void clientThatStopsInTheMiddleOfALargeRequestIsAnswered() throws Exception {
        Server host = closeables.closeLater(new Server((m, s) -> {}));
        Client c = client(node(host.address())).send(head("Content-Length: 30000000", TIMEOUT_MS));
        c.socket.getOutputStream().write(pattern(3_000_000));
        assertEquals(408, c.receive().status());
    }

    /** Guards against bodies that wait to be sent and that nothing counts or bounds. */
    @Test
    void bodiesThatHostsDoNotTakeAreCounted() throws Exception {
        Node node = node(stuckHost());
        List<Client> clients = new ArrayList<>();
        byte[] body = pattern(12_000_000); // more than the buffers of the system hold
        for (int i = 0; i < 4; i++) {
            Client c = client(node)
                    .send(head("Content-Length: 30000000", TIMEOUT_MS).replace(": o\r", ": o" + i + "\r"));
            clients.add(c);
            Thread writer = new Thread(() -> {
                try {
                    c.socket.getOutputStream().write(body);
                } catch (IOException e) {
                    // closed at the end of the test
                }
            });
            writer.setDaemon(true);
            writer.start();
        }
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (node.loop.submit(node.memoryBudget::usedBytes).get() < 2_000_000) {
            assertTrue(System.nanoTime() < end, "not counted");
            Thread.onSpinWait();
        }
        for (Client c : clients) {
            c.close();
        }
        while (node.loop.submit(node.memoryBudget::usedBytes).get() > 0) {
            assertTrue(System.nanoTime() < end, "still counted");
            Thread.onSpinWait();
        }
    }
}
