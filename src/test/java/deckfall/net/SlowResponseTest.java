package deckfall.net;

import static deckfall.net.TestEndpoints.TIMEOUT_MS;
import static deckfall.net.TestEndpoints.bytes;
import static deckfall.net.TestEndpoints.hostEntry;
import static deckfall.net.TestEndpoints.hostList;
import static deckfall.net.TestEndpoints.viewRequest;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import deckfall.Gateway.Actions;
import deckfall.Gateway.AttemptResult;
import deckfall.Gateway.Outcome;
import deckfall.net.TestEndpoints.Client;
import deckfall.net.TestEndpoints.DiscoveryServer;
import deckfall.net.TestEndpoints.Server;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;

/** Tests what becomes of a response that a host is still sending when its attempt would be ended. */
@Timeout(2 * TIMEOUT_MS / 1000)
class SlowResponseTest {
    private static final int FIRST_BYTES = 20_000;
    private static final int BODY_BYTES = 150_000;
    private static final int WAIT_MS = 300;
    private static final List<String> LENGTH_FIELDS =
            List.of("Content-Length: " + BODY_BYTES, "Transfer-Encoding: chunked", "Connection: close");

    @RegisterExtension
    final Closeables closeables = new Closeables();

    private final CountDownLatch firstPartSent = new CountDownLatch(1);
    private final CountDownLatch firstByteSeen = new CountDownLatch(1);
    private final AtomicReference<Actions> actions = new AtomicReference<>();
    private final List<AttemptResult> results = new CopyOnWriteArrayList<>();

    /** Writes the first part, and the rest once the client has seen the first byte of the response. */
    private void writeInTwoParts(OutputStream out, String lengthField, int firstBytes)
            throws IOException, InterruptedException {
        out.write(bytes("HTTP/1.1 200 OK\r\n" + lengthField + "\r\n\r\n"));
        boolean chunked = lengthField.startsWith("Transfer");
        writePart(out, firstBytes, chunked);
        firstPartSent.countDown();
        firstByteSeen.await();
        writePart(out, BODY_BYTES - firstBytes, chunked);
        out.write(bytes(chunked ? "0\r\n\r\n" : ""));
    }

    private static void writePart(OutputStream out, int count, boolean chunked) throws IOException {
        if (count > 0) {
            String part = "x".repeat(count);
            out.write(bytes(chunked ? Integer.toHexString(count) + "\r\n" + part + "\r\n" : part));
        }
    }

    private Server slowHost(String lengthField, int firstBytes) throws IOException {
        return closeables.closeLater(new Server((m, s) -> {
            writeInTwoParts(s.getOutputStream(), lengthField, firstBytes);
            if (lengthField.startsWith("Connection")) {
                s.close();
            }
        }));
    }

    private Node node(ScriptedModule module, String... addresses) throws IOException {
        String[] entries = new String[addresses.length];
        for (int i = 0; i < addresses.length; i++) {
            entries[i] = hostEntry("h" + i, addresses[i], "ready");
        }
        DiscoveryServer discovery = closeables.closeLater(new DiscoveryServer(hostList(1, true, entries)));
        Node node = TestEndpoints.node(TestEndpoints.config(discovery.server.address(), "127.0.0.1:0"), a -> {
            actions.set(a);
            return module;
        });
        closeables.push(node::stop);
        return node;
    }

    /** Sends each request to the first hosts, one attempt each, and fails it once all attempts have ended. */
    private ScriptedModule module(int attempts) {
        return new ScriptedModule(
                (now, r) -> {
                    for (int i = 0; i < attempts; i++) {
                        actions.get().send(r.id(), "h" + i, 0);
                    }
                },
                result -> {
                    results.add(result);
                    if (!result.requestClosed() && results.size() == attempts) {
                        actions.get().fail(result.id());
                    }
                });
    }

    private Client client(Node node) throws IOException {
        return closeables.closeLater(new Client(node));
    }

    /** Reads a response up to its end, which the end of the connection marks for a client of HTTP/1.0. */
    private String receive(Client client) throws IOException {
        int first = client.socket.getInputStream().read();
        firstByteSeen.countDown();
        return (char) first + new String(client.socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    private static String closingRequest(int waitMs) {
        return viewRequest("v", waitMs).replace("HTTP/1.1", "HTTP/1.0");
    }

    private void assertWhole(String response, String description) {
        assertTrue(
                response.startsWith("HTTP/1.1 200"),
                description + ": " + response.lines().findFirst());
        int bodyBytes = response.length() - response.indexOf("\r\n\r\n") - 4;
        assertEquals(BODY_BYTES, bodyBytes, description);
    }

    /** Guards against cutting off a long response in each framing, with and without bytes of its body. */
    @Test
    void longResponseIsPassedOnWhenItsClientsTimeIsUp() throws Exception {
        for (String lengthField : LENGTH_FIELDS) {
            for (int firstBytes : new int[] {0, FIRST_BYTES}) {
                SlowResponseTest test = new SlowResponseTest();
                Server host = closeables.closeLater(new Server((m, s) -> {
                    test.writeInTwoParts(s.getOutputStream(), lengthField, firstBytes);
                    if (lengthField.startsWith("Connection")) {
                        s.close();
                    }
                }));
                results.clear();
                Client c = client(node(module(1), host.address())).send(closingRequest(WAIT_MS));
                assertWhole(test.receive(c), lengthField + " after " + firstBytes);
                assertEquals(1, host.requests.size());
            }
        }
    }

    /** A long response is timed by its first byte, which is not held back until 64 KiB have come. */
    @Test
    void longResponseIsPassedOnBeforeItsClientsTimeIsUp() throws Exception {
        Server host = slowHost(LENGTH_FIELDS.get(0), FIRST_BYTES);
        Client c = client(node(module(1), host.address())).send(closingRequest(TIMEOUT_MS));
        assertWhole(receive(c), "early");
    }

    /** Guards against losing the requests behind one whose long response breaks off: it can still be tried again. */
    @Test
    void requestsBehindAResponseThatBreaksOffAreAnswered() throws Exception {
        AtomicInteger broken = new AtomicInteger();
        Server host = closeables.closeLater(new Server((m, s) -> {
            if (m.header("X-Trace-Id").equals("first") && broken.getAndIncrement() == 0) {
                s.getOutputStream()
                        .write(bytes("HTTP/1.1 200 OK\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n"
                                + "x".repeat(FIRST_BYTES)));
                s.setSoLinger(true, 0);
                s.close();
                return;
            }
            s.getOutputStream().write(TestEndpoints.okResponse("for " + m.header("X-Trace-Id")));
        }));
        DiscoveryServer discovery =
                closeables.closeLater(new DiscoveryServer(hostList(1, true, hostEntry("h0", host.address(), "ready"))));
        Node node = TestEndpoints.node(TestEndpoints.config(discovery.server.address(), "127.0.0.1:0"));
        closeables.push(node::stop);
        Client c = client(node).send(viewRequest("first", TIMEOUT_MS) + viewRequest("second", TIMEOUT_MS));
        assertEquals("for first", c.receive().text());
        assertEquals("for second", c.receive().text());
    }

    /** Guards against cutting off a response because the decision module wants to try elsewhere. */
    @Test
    void longResponseIsPassedOnWhenItsAttemptIsCancelled() throws Exception {
        Server host = slowHost(LENGTH_FIELDS.get(1), FIRST_BYTES);
        Node node = node(module(1), host.address());
        Client c = client(node).send(closingRequest(TIMEOUT_MS));
        firstPartSent.await();
        awaitResponseInProgress(node);
        node.loop.execute(() -> actions.get().cancel("v", 0));
        assertWhole(receive(c), "cancelled");
        assertEquals(Outcome.OK, results.get(0).outcome());
    }

    /** Guards against a final answer for the request because another attempt of it ends first. */
    @Test
    void longResponseOfASecondAttemptIsPassedOn() throws Exception {
        Server silentHost = closeables.closeLater(new Server((m, s) -> {}));
        Server host = slowHost(LENGTH_FIELDS.get(2), FIRST_BYTES);
        Node node = node(module(2), silentHost.address(), host.address());
        assertWhole(receive(client(node).send(closingRequest(WAIT_MS))), "second attempt");
    }

    /** Guards against cutting off a response at the end of a drain. */
    @Test
    void longResponseIsPassedOnAtTheEndOfADrain() throws Exception {
        Server host = slowHost(LENGTH_FIELDS.get(1), FIRST_BYTES);
        Node node = node(module(1), host.address());
        Client c = client(node).send(closingRequest(TIMEOUT_MS));
        firstPartSent.await();
        awaitResponseInProgress(node);
        node.loop.execute(node::endOpenRequests);
        assertWhole(receive(c), "drain");
    }

    /** A short response is timed by its last byte: a part of it is no answer, and the client learns that in time. */
    @Test
    void shortResponseThatNeverEndsFailsInTime() throws Exception {
        for (String lengthField : List.of("Content-Length: 30000", "Transfer-Encoding: chunked")) {
            Server host = closeables.closeLater(new Server((m, s) ->
                    s.getOutputStream().write(bytes("HTTP/1.1 200 OK\r\n" + lengthField + "\r\n\r\n5\r\nseats\r\n"))));
            results.clear();
            Client c = client(node(module(1), host.address())).send(viewRequest("v", WAIT_MS));
            assertEquals(502, c.receive().status(), lengthField);
        }
    }

    /** A response of unknown length that was passed on and comes to a halt is reset, so that the client can tell. */
    @Test
    void responseThatComesToAHaltIsReset() throws Exception {
        Server host = closeables.closeLater(new Server(
                (m, s) -> s.getOutputStream().write(bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))));
        Client c = client(node(module(1), host.address())).send(viewRequest("v", WAIT_MS));
        InputStream in = c.socket.getInputStream();
        assertEquals("HTTP/1.1 200", new String(in.readNBytes(12), StandardCharsets.US_ASCII));
        assertThrows(SocketException.class, in::readAllBytes); // not a timeout
    }

    private void awaitResponseInProgress(Node node) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (node.loop
                .submit(() -> node.openRequest("v").attempts.get(0).responseProgress() == null)
                .get()) {
            assertTrue(System.nanoTime() < end, "no response");
            Thread.onSpinWait();
        }
    }

    @Test
    void unknownLengthIsJudgedByWhatHasCome() {
        long unknown = ResponseStreamingPolicy.UNKNOWN_LENGTH;
        assertTrue(ResponseStreamingPolicy.passesOn(unknown, 0, 2000));
        assertTrue(ResponseStreamingPolicy.passesOn(unknown, 4096, 2000));
        assertTrue(ResponseStreamingPolicy.passesOn(unknown, 3200, 100));
        assertFalse(ResponseStreamingPolicy.passesOn(unknown, 300, 100));
        assertTrue(ResponseStreamingPolicy.passesOn(64 * 1024 + 1, 300, 2000));
        assertFalse(ResponseStreamingPolicy.passesOn(64 * 1024, 60_000, 10));
    }

    @Test
    void onlyAResponseThatMayBeShortIsGivenUpSoon() {
        long unknown = ResponseStreamingPolicy.UNKNOWN_LENGTH;
        double shortTimeoutMs = ResponseStreamingPolicy.stallTimeoutMs(unknown, 64 * 1024);
        assertTrue(shortTimeoutMs > 2000 && shortTimeoutMs < ResponseStreamingPolicy.STALL_TIMEOUT_MS);
        assertEquals(
                ResponseStreamingPolicy.STALL_TIMEOUT_MS,
                ResponseStreamingPolicy.stallTimeoutMs(unknown, 64 * 1024 + 1));
        assertEquals(ResponseStreamingPolicy.STALL_TIMEOUT_MS, ResponseStreamingPolicy.stallTimeoutMs(100_000, 0));
    }
}
