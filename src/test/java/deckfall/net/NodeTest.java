package deckfall.net;

import static deckfall.net.TestEndpoints.bytes;
import static deckfall.net.TestEndpoints.headers;
import static deckfall.net.TestEndpoints.hostEntry;
import static deckfall.net.TestEndpoints.hostList;
import static deckfall.net.TestEndpoints.okResponse;
import static deckfall.net.TestEndpoints.orderRequest;
import static deckfall.net.TestEndpoints.viewRequest;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import deckfall.Gateway.Actions;
import deckfall.Gateway.Events;
import deckfall.Gateway.Outcome;
import deckfall.Gateway.Refusal;
import deckfall.net.TestEndpoints.Client;
import deckfall.net.TestEndpoints.DiscoveryServer;
import deckfall.net.TestEndpoints.Message;
import deckfall.net.TestEndpoints.Server;
import io.netty.buffer.PooledByteBufAllocator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests a node with real sockets on both sides. Each test causes a failure that must neither lose a request nor break
 * a rule.
 */
class NodeTest {
    private static final Logger LEAK_LOGGER = Logger.getLogger("io.netty.util.ResourceLeakDetector");
    private static final List<String> LEAK_REPORTS = new CopyOnWriteArrayList<>();
    private static final Handler LEAK_RECORDER = new Handler() {
        @Override
        public void publish(LogRecord r) {
            LEAK_REPORTS.add(r.getMessage());
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    };

    private static final String HEALTH_REQUEST = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n";
    private static final String REFUSING_ADDRESS = "127.0.0.1:1"; // below the ports that the system assigns

    private static final List<String> UNREADABLE_COUNTER_REPLIES = List.of(
            "$4\r\nnone",
            "$3\r\nNaN",
            "$8\r\nInfinity",
            "$5\r\n1e999",
            "$5\r\n0x1p3",
            "$2\r\n7d",
            "$0\r\n",
            "$3\r\n1\u00b2",
            "$4\r\n7.5",
            "$2\r\n7.5",
            "$x\r\n7.5",
            "$+3\r\n7.5",
            "$3 \r\n7.5",
            "$\r\n7.5",
            "$99999999999\r\n7.5",
            "$-1",
            "7.5");

    @RegisterExtension
    final Closeables closeables = new Closeables();

    private DiscoveryServer discovery;

    @BeforeAll
    static void recordLeaks() {
        LEAK_LOGGER.addHandler(LEAK_RECORDER);
    }

    /** A buffer that was not released is reported once it has been collected and another one is allocated. */
    @AfterAll
    static void noBufferWasLeaked() {
        for (int i = 0; i < 5; i++) {
            System.gc();
            PooledByteBufAllocator.DEFAULT.buffer(64).release();
        }
        LEAK_LOGGER.removeHandler(LEAK_RECORDER);
        assertEquals(List.of(), LEAK_REPORTS);
    }

    private Server host(TestEndpoints.RequestHandler handler) throws IOException {
        return closeables.closeLater(new Server(handler));
    }

    private static void echo(Message m, java.net.Socket s) throws IOException {
        s.getOutputStream().write(okResponse("for " + m.header("X-Trace-Id") + " " + m.text()));
    }

    private Node nodeWithHostEntries(String... entries) throws IOException {
        discovery = closeables.closeLater(new DiscoveryServer(hostList(1, true, entries)));
        Node node = TestEndpoints.node(TestEndpoints.config(discovery.server.address(), "127.0.0.1:0"));
        closeables.push(node::stop);
        return node;
    }

    /** The host list from before a restart may name hosts that drain by now, to which nothing may be sent. */
    @Test
    void noClientIsAcceptedBeforeTheCurrentHostList() throws Exception {
        CompletableFuture<Node> started = new CompletableFuture<>();
        CompletableFuture<Integer> portDuringDiscovery = new CompletableFuture<>();
        Server discoveryServer = closeables.closeLater(new Server((m, s) -> {
            Node node = started.join();
            node.loop.submit(() -> {}).sync(); // what was started before the call is done
            portDuringDiscovery.complete(node.port());
            s.getOutputStream().write(okResponse(hostList(1, true)));
        }));
        String config = TestEndpoints.config(discoveryServer.address(), "127.0.0.1:0");
        Node node = new Node(NodeConfig.of(new ObjectMapper().readTree(config)));
        closeables.push(node::stop);
        started.complete(node);
        node.start();
        assertEquals(0, portDuringDiscovery.get(TestEndpoints.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertNotEquals(0, node.port());
    }

    /**
     * A drain closes idle connections. A client whose request crosses the close reconnects at once and sends it again.
     */
    @Test
    void clientReconnectsAfterADrainClosedItsIdleConnection() throws Exception {
        Node node = nodeWithHosts(host(NodeTest::echo));
        Client idle = client(node);
        assertEquals(
                200,
                idle.send(viewRequest("a", TestEndpoints.TIMEOUT_MS)).receive().status());
        idle.socket.setSoTimeout(1);
        CompletableFuture<Client> reconnected = new CompletableFuture<>();
        node.loop.execute(node::drain);
        node.loop.execute(() -> reconnectOnceClosed(node, idle, reconnected));
        Client second = reconnected.get(TestEndpoints.TIMEOUT_MS, TimeUnit.MILLISECONDS);
        assertEquals(200, second.receive().status());
        assertTrue(node.awaitDrained(TestEndpoints.TIMEOUT_MS));
    }

    /**
     * Runs on the node's event loop, so that nothing else of the node can run between the close and the new request.
     */
    private void reconnectOnceClosed(Node node, Client idle, CompletableFuture<Client> reconnected) {
        try {
            if (idle.socket.getInputStream().read() < 0) {
                reconnected.complete(client(node).send(viewRequest("b", TestEndpoints.TIMEOUT_MS)));
            }
        } catch (SocketTimeoutException e) { // still open
            node.loop.schedule(() -> reconnectOnceClosed(node, idle, reconnected), 1, TimeUnit.MILLISECONDS);
        } catch (IOException e) {
            reconnected.completeExceptionally(e);
        }
    }

    /**
     * A gateway that missed the reload signal would never use the new address of discovery, and would miss all drains
     * of hosts.
     */
    @Test
    void configurationIsReloadedWhenDiscoveryIsLost(@TempDir Path folder) throws Exception {
        DiscoveryServer old = new DiscoveryServer(hostList(1, true));
        DiscoveryServer moved = closeables.closeLater(new DiscoveryServer(hostList(2, true)));
        Path file = Files.writeString(
                folder.resolve("config.json"), TestEndpoints.config(old.server.address(), "127.0.0.1:0"));
        Node node = new Node(NodeConfig.read(file.toString()));
        closeables.push(node::stop);
        node.setConfigFile(file);
        node.start();
        Files.writeString(file, TestEndpoints.config(moved.server.address(), "127.0.0.1:0"));
        old.close();
        assertNotNull(moved.server.nextRequest(), "no call to the address of the replaced configuration");
    }

    private Node nodeWithHosts(Server... hosts) throws IOException {
        String[] entries = new String[hosts.length];
        for (int i = 0; i < hosts.length; i++) {
            entries[i] = hostEntry("h" + i, hosts[i].address(), "ready");
        }
        return nodeWithHostEntries(entries);
    }

    private Client client(Node node) throws IOException {
        return closeables.closeLater(new Client(node));
    }

    @Test
    void requestAndResponseArePassedUnchanged() throws Exception {
        byte[] body = new byte[60_000];
        for (int i = 0; i < body.length; i++) {
            body[i] = (byte) (i * 31);
        }
        Server host = host((m, s) -> {
            s.getOutputStream().write(bytes("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n"));
            s.getOutputStream().write(body);
        });
        Client c = client(nodeWithHosts(host));
        Message response = c.send(orderRequest("id-1", "two copies")).receive();
        assertEquals(200, response.status());
        assertArrayEquals(body, response.body());
        Message sent = host.nextRequest();
        assertEquals("POST /order/x HTTP/1.1", sent.startLine());
        assertEquals("id-1", sent.header("X-Trace-Id"));
        assertEquals("key-id-1", sent.header("Idempotency-Key"));
        assertEquals("two copies", sent.text());
        assertTrue(Integer.parseInt(sent.header("X-Expires-In-Ms")) <= TestEndpoints.TIMEOUT_MS);
        assertEquals(
                200,
                c.send(viewRequest("id-2", TestEndpoints.TIMEOUT_MS)).receive().status());
        assertEquals("GET /view/id-2?z=3 HTTP/1.1", host.nextRequest().startLine());
    }

    @Test
    void hostThatRefusesConnectionsCostsNoRequest() throws Exception {
        Server host = host(NodeTest::echo);
        Node node = nodeWithHostEntries(
                hostEntry("dead", REFUSING_ADDRESS, "ready"), hostEntry("live", host.address(), "ready"));
        for (int i = 0; i < 10; i++) {
            assertEquals(
                    "for o" + i + " b",
                    client(node).send(orderRequest("o" + i, "b")).receive().text());
        }
        assertEquals(10, host.requests.size());
    }

    /** The request may have run, so the status must not imply that a retry is harmless. */
    @Test
    void keyedRequestFailsIfItsConnectionsBreak() throws Exception {
        Server host = host((m, s) -> s.close());
        int status = client(nodeWithHosts(host))
                .send(orderRequest("o", "b"))
                .receive()
                .status();
        assertEquals(502, status);
        assertEquals(3, host.requests.size());
    }

    @Test
    void requestThatNeverRanIsRefusedWithRetryAfter() throws Exception {
        Server host = host((m, s) ->
                s.getOutputStream().write(bytes("HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")));
        Message response =
                client(nodeWithHosts(host)).send(orderRequest("o", "b")).receive();
        assertEquals(429, response.status());
        assertTrue(Double.parseDouble(response.header("Retry-After")) > 0);
    }

    @Test
    void requestBeyondQuotaIsRefusedWithRetryAfter() throws Exception {
        Server host = host(NodeTest::echo);
        Client c = client(nodeWithHosts(host));
        String tiny = viewRequest("t", TestEndpoints.TIMEOUT_MS).replace("X-Plan: free", "X-Plan: tiny");
        assertEquals(200, c.send(tiny).receive().status());
        Message response = c.send(tiny).receive();
        assertEquals(429, response.status());
        assertTrue(Double.parseDouble(response.header("Retry-After")) > 0);
        assertEquals(1, host.requests.size());
    }

    @Test
    void partialResponseIsNeverPassedOn() throws Exception {
        AtomicInteger requestCount = new AtomicInteger();
        Server host = host((m, s) -> {
            if (requestCount.incrementAndGet() > 1) {
                echo(m, s);
                return;
            }
            s.getOutputStream().write(bytes("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"));
            s.close();
        });
        assertEquals(
                "for v ",
                client(nodeWithHosts(host))
                        .send(viewRequest("v", TestEndpoints.TIMEOUT_MS))
                        .receive()
                        .text());
        assertEquals(2, requestCount.get());
    }

    /** After a malformed header line it is unclear what the rest of the response is. */
    @Test
    void responseWithAMalformedHeaderIsNeverPassedOn() throws Exception {
        Deque<String> lines = new ArrayDeque<>(List.of("no colon here", "no", "X-Pad : 1"));
        Server host = host((m, s) -> {
            String line = lines.poll();
            s.getOutputStream()
                    .write(
                            line == null
                                    ? okResponse("for " + m.header("X-Trace-Id"))
                                    : bytes("HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 4\r\n\r\nfake"));
        });
        Client c = client(nodeWithHosts(host));
        assertEquals(502, c.send(orderRequest("o", "b")).receive().status()); // each of its three attempts may have run
        assertEquals(
                "for v",
                c.send(viewRequest("v", TestEndpoints.TIMEOUT_MS)).receive().text());
        assertEquals(4, host.requests.size());
    }

    /**
     * Requests wait for the concurrency limit, so that one is sent on the connection that a response has just freed.
     */
    @Test
    void bytesAfterAResponseReachNoOtherRequest() throws Exception {
        AtomicInteger responseCount = new AtomicInteger();
        Server host = host((m, s) -> {
            String id = m.header("X-Trace-Id");
            byte[] good = okResponse("for " + id);
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(good);
            switch (responseCount.getAndIncrement() % 4) {
                case 0 -> all.write(good);
                case 1 -> all.write(bytes("HTTP/1.1 200 OK\r\nContent-Le"));
                case 2 -> all.write(bytes("left over"));
                default -> {}
            }
            s.getOutputStream().write(all.toByteArray());
        });
        Node node = nodeWithHosts(host);
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            clients.add(client(node).send(orderRequest("o" + i, "b")));
        }
        for (int i = 0; i < 40; i++) {
            assertEquals("for o" + i, clients.get(i).receive().text());
        }
        assertEquals(40, host.requests.size());
    }

    /**
     * The settings give only the latest time at which a host closes an idle connection; hosts often close it much
     * earlier.
     */
    @Test
    void connectionIdleAsLongAsAResetOneIsNotReused() throws Exception {
        List<Long> idleNanos = new CopyOnWriteArrayList<>(); // idle time before each request that was reset
        Map<java.net.Socket, Long> respondedAtNanos = new ConcurrentHashMap<>();
        Server host = host((m, s) -> {
            long idle = System.nanoTime() - respondedAtNanos.getOrDefault(s, System.nanoTime());
            if (idle > TimeUnit.MILLISECONDS.toNanos(200)) {
                idleNanos.add(idle);
                s.setSoLinger(true, 0);
                s.close();
                return;
            }
            respondedAtNanos.put(s, System.nanoTime());
            echo(m, s);
        });
        Client c = client(nodeWithHosts(host));
        for (int i = 0; i < 5; i++) {
            assertEquals(
                    "for v" + i + " ",
                    c.send(viewRequest("v" + i, TestEndpoints.TIMEOUT_MS))
                            .receive()
                            .text());
            TimeUnit.MILLISECONDS.sleep(300); // the idle time under test; a longer one changes nothing
        }
        assertTrue(idleNanos.size() > 0);
        for (int i = 1; i < idleNanos.size(); i++) {
            assertTrue(idleNanos.get(i) < 0.95 * idleNanos.get(i - 1), "idle before each reset, in ns: " + idleNanos);
        }
    }

    @Test
    void attemptIsCancelledWhenItsClientLeaves() throws Exception {
        Server host = host((m, s) -> {});
        Client c = client(nodeWithHosts(host));
        c.send(viewRequest("v", TestEndpoints.TIMEOUT_MS));
        assertNotNull(host.nextRequest());
        c.close();
        assertNotNull(host.closedConnections.poll(TestEndpoints.TIMEOUT_MS, TimeUnit.MILLISECONDS));
    }

    /** A response after the deadline must reach neither that client nor the next request. */
    @Test
    void lateResponseReachesNoOtherRequest() throws Exception {
        CountDownLatch deadlinePassed = new CountDownLatch(1);
        Server host = host((m, s) -> {
            if (m.header("X-Trace-Id").equals("slow")) {
                deadlinePassed.await(TestEndpoints.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            }
            echo(m, s);
        });
        Client c = client(nodeWithHosts(host));
        assertNotEquals(200, c.send(viewRequest("slow", 300)).receive().status());
        deadlinePassed.countDown();
        for (int i = 0; i < 5; i++) {
            assertEquals(
                    "for v" + i + " ",
                    c.send(viewRequest("v" + i, TestEndpoints.TIMEOUT_MS))
                            .receive()
                            .text());
        }
    }

    @Test
    void badRequestsAreRejectedAndReachNoHost() throws Exception {
        Server host = host(NodeTest::echo);
        Node node = nodeWithHosts(host);
        String good = viewRequest("v", 1000);
        for (String bad : List.of(
                good.replace("X-Plan: free\r\n", ""),
                good.replace("X-Plan: free", "X-Plan: none"),
                good.replace("/view/", "/nothing/"),
                good.replace("units=1", "units=x"),
                good.replace("b4d65521", "zzd65521"),
                good.replace("In-Ms: 1000", "In-Ms: soon"),
                good.replace("spread=1,", ""),
                good.replace("GET", "POST").replace("\r\n\r\n", "\r\nContent-Length: 0\r\n\r\n"),
                orderRequest("o", "b").replace("Idempotency-Key", "X-Other"),
                "nonsense\r\n\r\n")) {
            assertEquals(400, client(node).send(bad).receive().status(), bad);
        }
        assertEquals(
                404,
                client(node)
                        .send("GET /favicon.ico HTTP/1.1\r\nHost: h\r\n\r\n")
                        .receive()
                        .status());
        assertEquals(
                413,
                client(node)
                        .send("POST /order/x HTTP/1.1\r\nHost: h\r\n" + headers("o", 1000)
                                + "Idempotency-Key: k\r\nContent-Length: 33554433\r\n\r\n")
                        .receive()
                        .status());
        assertEquals(
                200,
                client(node)
                        .send("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
                        .receive()
                        .status());
        assertEquals(List.of(), host.requests);
    }

    @Test
    void requestsOfAmbiguousLengthReachNoHost() throws Exception {
        Server host = host(NodeTest::echo);
        Node node = nodeWithHosts(host);
        String headStart = orderRequest("o", "b").replace("Content-Length: 1\r\n\r\nb", "");
        for (String length : List.of(
                "Content-Length: 1\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: xchunked",
                "Transfer-Encoding: gzip, chunked",
                "Content-Length: 1\r\nContent-Length: 2",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                "Content-Length: 1, 2")) {
            String bad = headStart + length + "\r\n\r\n1\r\nb\r\n0\r\n\r\n";
            assertEquals(400, client(node).send(bad).receive().status(), length);
        }
        assertEquals(List.of(), host.requests);
    }

    @Test
    void allRequestFormsAreForwarded() throws Exception {
        Server host = host(NodeTest::echo);
        Node node = nodeWithHosts(host);
        String headStart = orderRequest("o", "").replace("Content-Length: 0\r\n\r\n", "");
        Client c = client(node);
        String chunks = headStart
                + "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nX-T: 1\r\n\r\n";
        assertEquals("for o abcde", c.send(chunks).receive().text());
        c.send(headStart + "Content-Length: 3\r\nExpect: 100-continue\r\n\r\n");
        assertEquals(100, c.receive().status());
        assertEquals("for o xyz", c.send("xyz").receive().text());
        assertEquals(
                417,
                client(node)
                        .send(headStart + "Content-Length: 3\r\nExpect: more\r\n\r\n")
                        .receive()
                        .status());
        assertEquals(
                "for v ",
                c.send(viewRequest("v", TestEndpoints.TIMEOUT_MS).replace("/view", "http://h:1/view"))
                        .receive()
                        .text());
        assertEquals("GET /view/v?z=3 HTTP/1.1", host.requests.get(2).startLine());
        Client old = client(node);
        old.send(viewRequest("w", TestEndpoints.TIMEOUT_MS).replace("HTTP/1.1", "HTTP/1.0\r\nConnection: keep-alive"));
        assertEquals("keep-alive", old.receive().header("Connection"));
        assertEquals(
                200,
                old.send(viewRequest("x", TestEndpoints.TIMEOUT_MS).replace("HTTP/1.1", "HTTP/1.0"))
                        .receive()
                        .status());
        assertNull(old.receive());
    }

    private static byte[] pattern(int length) {
        byte[] bytes = new byte[length];
        for (int i = 0; i < length; i++) {
            bytes[i] = (byte) (i * 31 + (i >> 8));
        }
        return bytes;
    }

    @Test
    void longResponseIsStreamed() throws Exception {
        byte[] body = pattern(3_000_000);
        int first = 200_000;
        CountDownLatch firstRead = new CountDownLatch(1);
        Server host = host((m, s) -> {
            s.getOutputStream().write(bytes("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n"));
            s.getOutputStream().write(body, 0, first);
            firstRead.await();
            s.getOutputStream().write(body, first, body.length - first);
        });
        Node node = nodeWithHosts(host);
        Client c = client(node).send(viewRequest("v", 5000));
        java.io.InputStream in = c.socket.getInputStream();
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        while (received.size() < first) {
            received.write(in.read());
        }
        assertEquals(1, metric(node, "concurrent"));
        firstRead.countDown();
        String head =
                received.toString(java.nio.charset.StandardCharsets.ISO_8859_1).split("\r\n\r\n")[0];
        received.write(in.readNBytes(body.length - (received.size() - head.length() - 4)));
        assertArrayEquals(
                body, java.util.Arrays.copyOfRange(received.toByteArray(), head.length() + 4, received.size()));
        assertEquals(200, c.send(HEALTH_REQUEST).receive().status()); // the connection stays open
        assertEquals(1, metric(node, "success_total{type=\"view\"}"));
        assertEquals(0, metric(node, "concurrent"));
    }

    /** A close that the host has announced ends a response; a reset or an unannounced close does not. */
    @Test
    void announcedConnectionCloseEndsAResponse() throws Exception {
        for (int length : List.of(5, 300_000)) {
            String body = "x".repeat(length);
            AtomicInteger requestCount = new AtomicInteger();
            Server host = host((m, s) -> {
                int requestIndex = requestCount.getAndIncrement();
                String head =
                        requestIndex == 0 ? "HTTP/1.1 200 OK\r\n\r\n" : "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
                s.getOutputStream().write(bytes(head + (requestIndex < 2 ? "half" : body)));
                s.setSoLinger(requestIndex == 1, 0);
                s.close();
            });
            Client c = client(nodeWithHosts(host))
                    .send(viewRequest("v", TestEndpoints.TIMEOUT_MS).replace("HTTP/1.1", "HTTP/1.0"));
            String received =
                    new String(c.socket.getInputStream().readAllBytes(), java.nio.charset.StandardCharsets.US_ASCII);
            assertTrue(
                    received.startsWith("HTTP/1.1 200") && received.endsWith("\r\n\r\n" + body),
                    received.split("\r\n\r\n")[0]);
            assertEquals(3, requestCount.get());
        }
    }

    /**
     * A response that has started can't be retried, and the client must not mistake the part that it has for the whole.
     */
    @Test
    void brokenLongResponseIsResetForTheClient() throws Exception {
        for (String length : List.of("Content-Length: 1000000", "Transfer-Encoding: chunked")) {
            Server host = host((m, s) -> {
                s.getOutputStream().write(bytes("HTTP/1.1 200 OK\r\n" + length + "\r\n\r\n20000\r\n"));
                s.getOutputStream().write(pattern(0x20000));
                s.close();
            });
            Node node = nodeWithHosts(host);
            Client c = client(node).send(viewRequest("v", TestEndpoints.TIMEOUT_MS));
            assertThrows(IOException.class, () -> c.socket.getInputStream().readAllBytes(), length); // a reset
            assertEquals(1, host.requests.size());
            assertEquals(1, metric(node, "error_total{type=\"view\"}"));
            assertEquals(0, metric(node, "concurrent"));
        }
    }

    /** A body that is too long to be kept is streamed to one attempt and is not sent again. */
    @Test
    void longBodyIsStreamedAndSentOnlyOnce() throws Exception {
        byte[] body = pattern(4_000_000);
        List<byte[]> received = new CopyOnWriteArrayList<>();
        CountDownLatch begun = new CountDownLatch(1);
        java.net.ServerSocket listener =
                closeables.closeLater(new java.net.ServerSocket(0, 50, InetAddress.getLoopbackAddress()));
        Thread raw = new Thread(() -> {
            try {
                while (true) {
                    java.net.Socket s = listener.accept();
                    byte[] first = s.getInputStream().readNBytes(1);
                    begun.countDown();
                    Message m = TestEndpoints.readMessage(new java.io.SequenceInputStream(
                            new java.io.ByteArrayInputStream(first), s.getInputStream()));
                    received.add(m.body());
                    s.close();
                }
            } catch (IOException e) {
                // closed
            }
        });
        raw.setDaemon(true);
        raw.start();
        Node node = nodeWithHostEntries(hostEntry("h0", "127.0.0.1:" + listener.getLocalPort(), "ready"));
        String head = orderRequest("o", "").replace("Length: 0", "Length: " + body.length);
        Client c = client(node).send(head);
        c.socket.getOutputStream().write(body, 0, 1_000_000);
        assertTrue(begun.await(TestEndpoints.TIMEOUT_MS, TimeUnit.MILLISECONDS)); // before the last byte was sent
        c.socket.getOutputStream().write(body, 1_000_000, 3_000_000);
        assertEquals(502, c.receive().status()); // it may have run
        assertEquals(1, received.size());
        assertArrayEquals(body, received.get(0));
    }

    /**
     * A client that sends nothing, or no complete request, gets a response; one that has sent a request may stay
     * silent.
     */
    @Test
    void clientWithoutACompleteRequestTimesOut() throws Exception {
        Node node = nodeWithHosts(host(NodeTest::echo));
        Client servedClient = client(node);
        assertEquals(
                200,
                servedClient
                        .send(viewRequest("v", TestEndpoints.TIMEOUT_MS))
                        .receive()
                        .status());
        for (String part : List.of("", "GET /vi", "POST /order/x HTTP/1.1\r\nContent-Length: 5\r\n\r\nab")) {
            Client c = client(node).send(part);
            assertEquals(408, c.receive().status());
            assertNull(c.receive());
        }
        assertEquals(
                200,
                servedClient
                        .send(viewRequest("w", TestEndpoints.TIMEOUT_MS))
                        .receive()
                        .status());
    }

    @Test
    void connectionWithAPartialRequestIsNotShed() throws Exception {
        Server host = host(NodeTest::echo);
        discovery =
                closeables.closeLater(new DiscoveryServer(hostList(1, true, hostEntry("h0", host.address(), "ready"))));
        Node node = TestEndpoints.node(TestEndpoints.config(discovery.server.address(), "127.0.0.1:0")
                .replace("\"sockets\": 1024", "\"sockets\": 12"));
        closeables.push(node::stop);
        String request = viewRequest("v", TestEndpoints.TIMEOUT_MS);
        Client partialClient = client(node).send(request.substring(0, 30));
        List<Client> idle = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            idle.add(client(node));
            assertEquals(200, idle.get(i).send(HEALTH_REQUEST).receive().status());
        }
        assertNull(idle.get(0).receive()); // the longest idle one, though not the oldest
        assertEquals(
                "for v ", partialClient.send(request.substring(30)).receive().text());
    }

    @Test
    void clientsHoldAtMostAThirdOfTheDescriptors() throws Exception {
        CountDownLatch releaseHost = new CountDownLatch(1);
        Server host = host((m, s) -> {
            releaseHost.await(TestEndpoints.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            echo(m, s);
        });
        discovery =
                closeables.closeLater(new DiscoveryServer(hostList(1, true, hostEntry("h0", host.address(), "ready"))));
        Node node = TestEndpoints.node(TestEndpoints.config(discovery.server.address(), "127.0.0.1:0")
                .replace("\"sockets\": 1024", "\"sockets\": 12"));
        closeables.push(node::stop);
        List<Client> waitingClients = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            waitingClients.add(client(node).send(viewRequest("v" + i, TestEndpoints.TIMEOUT_MS)));
            assertNotNull(host.nextRequest());
        }
        assertNull(client(node).receive()); // closed, as every other connection has an open request
        releaseHost.countDown();
        for (int i = 0; i < 4; i++) {
            assertEquals("for v" + i + " ", waitingClients.get(i).receive().text());
        }
    }

    /**
     * New client connections were closed without being read once both processes of a gateway together held the clients'
     * share.
     */
    @Test
    void newConnectionIsServedWhileASiblingHoldsTheClientShare(@TempDir Path folder) throws Exception {
        Node node = nodeWithHosts(host(NodeTest::echo));
        int share = ConnectionLimits.maxKeepAlive(1024);
        SiblingFiles.Status siblingStatus =
                new SiblingFiles.Status(1, SiblingWatch.monotonicMs(), true, share, 0, List.of());
        new SiblingFiles(folder, 1).write(siblingStatus);
        SiblingWatch watch = node.watchSiblings(folder);
        watch.poll();
        node.loop
                .submit(() -> assertEquals(share, node.siblings().clientConnections()))
                .sync();
        Message response =
                client(node).send(viewRequest("v", TestEndpoints.TIMEOUT_MS)).receive();
        assertEquals("for v ", response.text());
        assertEquals("close", response.header("Connection"));
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        Client c = client(nodeWithHosts(host(NodeTest::echo)));
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < 40; i++) {
            all.append(viewRequest("p" + i, TestEndpoints.TIMEOUT_MS));
        }
        c.send(all.toString());
        for (int i = 0; i < 40; i++) {
            assertEquals("for p" + i + " ", c.receive().text());
        }
    }

    /** The module identifies requests by id. A request with the id of an open one must not replace it. */
    @Test
    void twoOpenRequestsWithOneIdGetTwoResponses() throws Exception {
        CountDownLatch both = new CountDownLatch(2);
        Server host = host((m, s) -> {
            both.countDown();
            both.await(TestEndpoints.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            echo(m, s);
        });
        Node node = nodeWithHosts(host);
        Client a = client(node).send(viewRequest("same", TestEndpoints.TIMEOUT_MS));
        Client b = client(node).send(viewRequest("same", TestEndpoints.TIMEOUT_MS));
        assertEquals("for same ", a.receive().text());
        assertEquals("for same ", b.receive().text());
    }

    @Test
    void drainingHostGetsNoNewRequestsAndAMovedHostIsFollowed() throws Exception {
        Server old = host(NodeTest::echo);
        Server movedTo = host(NodeTest::echo);
        Node node = nodeWithHosts(old);
        Client c = client(node);
        assertEquals(
                200,
                c.send(viewRequest("a", TestEndpoints.TIMEOUT_MS)).receive().status());
        awaitDiscoveryWatches(1);
        discovery.updates.add(hostList(
                2, false, hostEntry("h0", old.address(), "draining"), hostEntry("h1", REFUSING_ADDRESS, "ready")));
        discovery.updates.add(hostList(3, false, hostEntry("h1", movedTo.address(), "ready")));
        awaitDiscoveryWatches(3);
        for (int i = 0; i < 5; i++) {
            assertEquals(
                    200,
                    c.send(viewRequest("b" + i, TestEndpoints.TIMEOUT_MS))
                            .receive()
                            .status());
        }
        assertEquals(1, old.requests.size());
        assertEquals(5, movedTo.requests.size());
    }

    @Test
    void fullListRemovesTheHostsThatItDoesNotName() throws Exception {
        Server old = host(NodeTest::echo);
        Server fresh = host(NodeTest::echo);
        Node node = nodeWithHosts(old);
        awaitDiscoveryWatches(1);
        discovery.updates.add(hostList(9, true, hostEntry("h1", fresh.address(), "ready")));
        awaitDiscoveryWatches(2);
        assertEquals(
                200,
                client(node)
                        .send(viewRequest("a", TestEndpoints.TIMEOUT_MS))
                        .receive()
                        .status());
        assertEquals(0, old.requests.size());
    }

    /**
     * The connection of a watch breaks repeatedly. Each further call continues from the version that the node holds.
     */
    @Test
    void brokenWatchResumesFromItsVersion() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        Server broken = closeables.closeLater(new Server((m, s) -> {
            if (!m.startLine().contains("from=")) {
                s.getOutputStream().write(okResponse(hostList(7, true)));
            } else if (calls.incrementAndGet() < 4) {
                s.close();
            }
        }));
        closeables.push(TestEndpoints.node(TestEndpoints.config(broken.address(), "127.0.0.1:0"))::stop);
        for (int i = 0; i < 5; i++) {
            String call = broken.nextRequest().startLine();
            assertEquals(i > 0, call.contains("from=7&"), call);
        }
    }

    private void awaitDiscoveryWatches(int count) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TestEndpoints.TIMEOUT_MS);
        while (discovery.server.requests.stream()
                        .filter(m -> m.startLine().contains("from="))
                        .count()
                < count) {
            assertTrue(System.nanoTime() < end, "no watch call arrived");
            Thread.sleep(5);
        }
    }

    private static int freePort() throws IOException {
        try (DatagramSocket s = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return s.getLocalPort();
        }
    }

    @Test
    void peersGetShortDatagramsAndUnknownSendersAreIgnored() throws Exception {
        try (DatagramSocket peer = new DatagramSocket(0, InetAddress.getLoopbackAddress());
                DatagramSocket unknownSender = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            int port = freePort();
            String nodeAddress = "127.0.0.1:" + port;
            Server host = host(NodeTest::echo);
            discovery = closeables.closeLater(
                    new DiscoveryServer(hostList(1, true, hostEntry("h0", host.address(), "ready"))));
            Node node = TestEndpoints.node(TestEndpoints.config(
                    discovery.server.address(), nodeAddress, nodeAddress, "127.0.0.1:" + peer.getLocalPort()));
            closeables.push(node::stop);
            InetSocketAddress recipient = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
            for (DatagramSocket sender : List.of(unknownSender, peer)) {
                for (int size : new int[] {0, 1, 40, 256, 257, 4000}) {
                    sender.send(new DatagramPacket(new byte[size], size, recipient));
                }
            }
            // Several customers, as the node itself is the owner of some of them.
            for (int i = 0; i < 8; i++) {
                String shared = viewRequest("s" + i, TestEndpoints.TIMEOUT_MS)
                        .replace("spread=1", "spread=2")
                        .replace("b4d65521", "b4d6552" + i);
                assertEquals(200, client(node).send(shared).receive().status());
            }
            peer.setSoTimeout(TestEndpoints.TIMEOUT_MS);
            DatagramPacket received = new DatagramPacket(new byte[1000], 1000);
            peer.receive(received);
            assertTrue(received.getLength() > 0 && received.getLength() <= 256);
        }
    }

    @Test
    void openRequestsAreAnsweredInADrainAndTheirConnectionsClosed() throws Exception {
        CountDownLatch draining = new CountDownLatch(1);
        Server host = host((m, s) -> {
            draining.await(TestEndpoints.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            echo(m, s);
        });
        Node node = nodeWithHosts(host);
        Client busy = client(node).send(viewRequest("v", TestEndpoints.TIMEOUT_MS));
        Client idle = client(node);
        assertNotNull(host.nextRequest());
        node.loop.submit(node::drain).sync();
        // New clients are still served for a while
        Client late = client(node).send(viewRequest("w", TestEndpoints.TIMEOUT_MS));
        draining.countDown();
        for (Client c : List.of(busy, late)) {
            Message response = c.receive();
            assertEquals(200, response.status());
            assertEquals("close", response.header("Connection"));
            assertNull(c.receive());
        }
        assertNull(idle.receive());
        assertTrue(node.awaitDrained(TestEndpoints.TIMEOUT_MS));
    }

    @Test
    void quiesceDrainsAndResumeRevertsItAtAnyTime() throws Exception {
        Server host = host(NodeTest::echo);
        Node node = nodeWithHosts(host);
        OperatorServer.Commands commands = node.operatorCommands();
        assertNull(commands.notReadyReason());
        Client kept = client(node);
        assertEquals(
                200,
                kept.send(viewRequest("k", TestEndpoints.TIMEOUT_MS)).receive().status());
        Client idle = client(node);
        assertEquals(200, idle.send(HEALTH_REQUEST).receive().status());
        commands.quiesce();
        commands.quiesce(); // a second call changes nothing
        assertEquals("draining", commands.notReadyReason());
        assertEquals(503, client(node).send(HEALTH_REQUEST).receive().status());
        Message late = kept.send(viewRequest("l", TestEndpoints.TIMEOUT_MS)).receive();
        assertEquals(200, late.status());
        assertEquals("close", late.header("Connection"));
        assertNull(kept.receive());
        assertNull(idle.receive()); // closed without a request
        assertEquals(
                200,
                client(node)
                        .send(viewRequest("m", TestEndpoints.TIMEOUT_MS))
                        .receive()
                        .status()); // requests are served throughout the drain
        commands.resume();
        commands.resume();
        Client resumed = client(node);
        assertEquals(200, resumed.send(HEALTH_REQUEST).receive().status());
        assertNull(resumed.send(HEALTH_REQUEST).receive().header("Connection"));
        commands.quiesce();
        commands.resume(); // before the first sweep
        assertNull(commands.notReadyReason());
        assertEquals(200, resumed.send(HEALTH_REQUEST).receive().status());
    }

    @Test
    void metricsCountResultsByClassFromZero() throws Exception {
        Server host = host((m, s) -> {
            if (m.startLine().contains("broken")) {
                s.close();
            } else {
                echo(m, s);
            }
        });
        Node node = nodeWithHostEntries(
                hostEntry("h0", host.address(), "ready"), hostEntry("h1", host.address(), "draining"));
        assertEquals(0, metric(node, "success_total{type=\"order\"}"));
        Client c = client(node);
        assertEquals(
                200,
                c.send(viewRequest("a", TestEndpoints.TIMEOUT_MS)).receive().status());
        assertEquals(200, c.send(orderRequest("b", "x")).receive().status());
        assertEquals(
                502,
                c.send(orderRequest("c", "x").replace("/order/x", "/order/broken"))
                        .receive()
                        .status());
        String tiny = viewRequest("d", TestEndpoints.TIMEOUT_MS).replace("X-Plan: free", "X-Plan: tiny");
        assertEquals(200, c.send(tiny).receive().status());
        assertEquals(429, c.send(tiny).receive().status());
        assertEquals(2, metric(node, "success_total{type=\"view\"}"));
        assertEquals(1, metric(node, "success_total{type=\"order\"}"));
        assertEquals(1, metric(node, "overload_total{type=\"view\"}"));
        assertEquals(1, metric(node, "error_total{type=\"order\"}"));
        assertEquals(0, metric(node, "error_total{type=\"view\"}"));
        assertEquals(host.requests.size(), metric(node, "dispatches_total"));
        assertEquals(0, metric(node, "concurrent"));
        while (metric(node, "targets") != 2) { // updated periodically
            Thread.onSpinWait();
        }
        assertEquals(1, metric(node, "targets_disabled"));
    }

    private static long metric(Node node, String name) {
        for (String line : node.operatorCommands().metrics().split("\n")) {
            if (line.startsWith("edge_node_" + name + " ")) {
                return Long.parseLong(line.substring(line.lastIndexOf(' ') + 1));
            }
        }
        throw new AssertionError("no metric " + name);
    }

    /**
     * Nothing may be left open when the process is killed: requests that still run are failed or refused before that.
     */
    @Test
    void drainEndsRequestsThatAHostNeverAnswers() throws Exception {
        Server host = host((m, s) -> {});
        Node node = nodeWithHosts(host);
        Client c = client(node).send(orderRequest("o", "b"));
        assertNotNull(host.nextRequest());
        node.loop.submit(node::drain).sync();
        assertEquals(502, c.receive().status());
        assertTrue(node.awaitDrained(TestEndpoints.TIMEOUT_MS));
    }

    private Node nodeWithModule(Function<Actions, Events> module, String... entries) throws IOException {
        discovery = closeables.closeLater(new DiscoveryServer(hostList(1, true, entries)));
        Node node = TestEndpoints.node(TestEndpoints.config(discovery.server.address(), "127.0.0.1:0"), module);
        closeables.push(node::stop);
        return node;
    }

    /**
     * Meter readings are the module's only source for the use at other gateways; 0 means that a response had none.
     */
    @Test
    void quotaUseOfAResponseReachesTheModule() throws Exception {
        Deque<String> headerLines = new ArrayDeque<>(List.of(
                "",
                "X-Quota-Used: 0\r\n",
                "X-Quota-Used: 85\r\n",
                "X-Quota-Used: TEXT ?\r\nX-Quota-Used: 31\r\n",
                "X-Quota-Used: %%%\r\n",
                "X-Quota-Used: -7\r\n"));
        Server host = host((m, s) -> s.getOutputStream()
                .write(bytes("HTTP/1.1 200 OK\r\n" + headerLines.poll() + "Content-Length: 0\r\n\r\n")));
        List<Integer> readings = new CopyOnWriteArrayList<>();
        Node node = nodeWithModule(
                act -> new ScriptedModule((now, r) -> act.send(r.id(), "h0", 0), r -> readings.add(r.meterReading())),
                hostEntry("h0", host.address(), "ready"));
        awaitDiscoveryWatches(1);
        Client c = client(node);
        for (int i = 0; i < 6; i++) {
            assertEquals(
                    200,
                    c.send(viewRequest("v" + i, TestEndpoints.TIMEOUT_MS))
                            .receive()
                            .status());
        }
        node.loop.submit(() -> {}).sync(); // the client's response is sent before the module is called
        assertEquals(List.of(0, 1, 86, 32, 0, 0), readings);
    }

    /** The result of a counter call, as the module receives it. */
    private record CounterResult(String counter, Outcome outcome, double total) {}

    /**
     * Replies arrive in the order of the calls. A reply without a number ends the connection, and calls continue on a
     * new one.
     */
    @Test
    void counterRepliesReachTheModule() throws Exception {
        java.net.ServerSocket counter =
                closeables.closeLater(new java.net.ServerSocket(0, 50, InetAddress.getLoopbackAddress()));
        java.util.concurrent.BlockingQueue<CounterResult> results = new java.util.concurrent.LinkedBlockingQueue<>();
        Actions[] moduleActions = new Actions[1];
        discovery = closeables.closeLater(new DiscoveryServer(hostList(1, true)));
        String config = TestEndpoints.config(discovery.server.address(), "127.0.0.1:0")
                .replace("\"name\"", "\"counter\": \"127.0.0.1:" + counter.getLocalPort() + "\", \"name\"")
                .replace("\"max_units\"", "\"counter\": true, \"counter_timeout_ms\": 60000, \"max_units\"");
        Node node = TestEndpoints.node(config, actions -> {
            moduleActions[0] = actions;
            return new ScriptedModule((now, r) -> {}, end -> {}) {
                @Override
                public void counterCallEnded(double now, String name, Outcome outcome, double total) {
                    results.add(new CounterResult(name, outcome, total));
                }
            };
        });
        closeables.push(node::stop);
        for (String reply : UNREADABLE_COUNTER_REPLIES) {
            java.net.Socket s = closeables.closeLater(counter.accept());
            CounterResult refused;
            do { // until the node is connected, as a call that can't be written fails at once
                node.loop
                        .submit(() -> moduleActions[0].addToCounter("u1", 2.5, 4000))
                        .sync();
                refused = results.poll();
            } while (refused != null);
            node.loop
                    .submit(() -> moduleActions[0].addToCounter("u2", -1, 4000))
                    .sync();
            String call = "*4\r\n$6\r\nADDGET\r\n$2\r\nu1\r\n$3\r\n2.5\r\n$4\r\n4000\r\n";
            assertEquals(
                    call,
                    new String(
                            s.getInputStream().readNBytes(call.length()), java.nio.charset.StandardCharsets.US_ASCII));
            node.loop.submit(() -> moduleActions[0].addToCounter("u3", 1, 4000)).sync();
            s.getOutputStream().write(bytes("$3\r\n7.5\r\n-BUSY later\r\n" + reply + "\r\n"));
            assertEquals(
                    new CounterResult("u1", Outcome.OK, 7.5),
                    results.poll(TestEndpoints.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            assertEquals(
                    new CounterResult("u2", Outcome.FULL, 0),
                    results.poll(TestEndpoints.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            assertEquals(
                    new CounterResult("u3", Outcome.RESET, 0),
                    results.poll(TestEndpoints.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        }
    }

    @Test
    void connectionIsClosedWhenItsRequestThrowsAnError() throws Exception {
        Node node = nodeWithModule(act -> new ScriptedModule((now, r) -> {
            throw new AssertionError("thrown by the test");
        }));
        assertNull(client(node)
                .send(viewRequest("v", TestEndpoints.TIMEOUT_MS / 2))
                .receive());
    }

    /**
     * Connections to clients and hosts together leave the descriptors that discovery, the counter, the operator and the
     * process itself need.
     */
    @Test
    void descriptorsRemainInReserve() {
        for (int sockets = 256; sockets <= 1024; sockets++) {
            int left = sockets - ConnectionLimits.maxKeepAlive(sockets) - HostClient.connectionLimit(sockets);
            assertTrue(left >= HostClient.RESERVED_DESCRIPTORS, left + " of " + sockets);
        }
        assertTrue(HostClient.connectionLimit(20) > 1);
    }

    /** A request on which the module throws, or that it forgets, is failed and not refused, as it may have run. */
    @Test
    void requestIsAnsweredWhenTheModuleThrows() throws Exception {
        Node node = nodeWithModule(act -> new ScriptedModule((now, r) -> {
            if (r.requestClass().equals("view")) {
                throw new IllegalStateException("thrown by the test");
            }
            act.refuse(r.id(), 100, Refusal.QUOTA);
        }));
        Client c = client(node);
        assertEquals(504, c.send(viewRequest("v", 300)).receive().status());
        assertEquals(429, c.send(orderRequest("o", "b")).receive().status());
    }

    /** A second final response would be mistaken for the response to the next request. */
    @Test
    void onlyTheFirstFinalResponseIsSent() throws Exception {
        Node node = nodeWithModule(act -> new ScriptedModule((now, r) -> {
            if (r.requestClass().equals("view")) {
                act.fail(r.id());
            }
            act.refuse(r.id(), 100, Refusal.QUOTA);
            act.refuse(r.id(), 100, Refusal.QUOTA);
        }));
        Client c = client(node);
        assertEquals(
                502,
                c.send(viewRequest("v", TestEndpoints.TIMEOUT_MS)).receive().status());
        assertEquals(429, c.send(orderRequest("o", "b")).receive().status());
        assertEquals(
                502,
                c.send(viewRequest("w", TestEndpoints.TIMEOUT_MS)).receive().status());
    }

    /** Idle clients may not use up the descriptors that others need, nor may a busy connection be closed for them. */
    @Test
    void idleConnectionsAreShedBeforeDescriptorsRunOut() throws Exception {
        CountDownLatch releaseHost = new CountDownLatch(1);
        Server host = host((m, s) -> {
            if (m.header("X-Trace-Id").equals("held")) {
                releaseHost.await(TestEndpoints.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            }
            echo(m, s);
        });
        discovery =
                closeables.closeLater(new DiscoveryServer(hostList(1, true, hostEntry("h0", host.address(), "ready"))));
        Node node = TestEndpoints.node(TestEndpoints.config(discovery.server.address(), "127.0.0.1:0")
                .replace("\"sockets\": 1024", "\"sockets\": 20"));
        closeables.push(node::stop);
        Client waitingClient = client(node).send(viewRequest("held", TestEndpoints.TIMEOUT_MS));
        assertNotNull(host.nextRequest());
        Client first = client(node);
        for (int i = 0; i < 30; i++) {
            assertEquals(
                    "for v" + i + " ",
                    client(node)
                            .send(viewRequest("v" + i, TestEndpoints.TIMEOUT_MS))
                            .receive()
                            .text());
        }
        assertNull(first.receive());
        releaseHost.countDown();
        assertEquals("for held ", waitingClient.receive().text());
    }

    /** A single failed call during startup, here the bind to an address in use, ended the process. */
    @Test
    void nodeServesOnceItsAddressBecomesFree() throws Exception {
        discovery = closeables.closeLater(new DiscoveryServer(hostList(1, true)));
        ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        String config = TestEndpoints.config(discovery.server.address(), "127.0.0.1:0")
                .replace("127.0.0.1:0\", \"disc", "127.0.0.1:" + taken.getLocalPort() + "\", \"disc");
        CompletableFuture.delayedExecutor(1500, TimeUnit.MILLISECONDS).execute(() -> {
            try {
                taken.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
        Node node = TestEndpoints.node(config);
        closeables.push(node::stop);
        assertEquals(200, client(node).send(HEALTH_REQUEST).receive().status());
    }

    @Test
    void badConfigurationIsReportedInOneLine() {
        for (String bad : List.of(
                "[]",
                "{}",
                TestEndpoints.config("nowhere", "127.0.0.1:0"),
                TestEndpoints.config("127.0.0.1:1", "127.0.0.1:0").replace("by_key", "by_luck"))) {
            Exception e = assertThrows(
                    RuntimeException.class,
                    () -> NodeConfig.of(new com.fasterxml.jackson.databind.ObjectMapper().readTree(bad)));
            assertEquals(1, e.getMessage().lines().count());
        }
        NodeConfig.InvalidConfigException missing =
                assertThrows(NodeConfig.InvalidConfigException.class, () -> NodeConfig.read("/no/such/file"));
        assertEquals(1, missing.getMessage().lines().count());
    }
}
