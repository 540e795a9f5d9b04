package deckfall.net;

import static deckfall.net.TestEndpoints.hostEntry;
import static deckfall.net.TestEndpoints.hostList;
import static deckfall.net.TestEndpoints.okResponse;
import static deckfall.net.TestEndpoints.viewRequest;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import deckfall.net.TestEndpoints.Client;
import deckfall.net.TestEndpoints.Message;
import deckfall.net.TestEndpoints.Server;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/** Tests the calls of a node to discovery and how it applies the lists it receives. */
class DiscoveryTest {
    private static final String DRAINING = "draining";

    @RegisterExtension
    final Closeables closeables = new Closeables();

    private final BlockingQueue<String> responses = new LinkedBlockingQueue<>();

    private static void respondOk(Message m, Socket s) throws IOException {
        s.getOutputStream().write(okResponse(m.header("X-Trace-Id")));
    }

    /**
     * Responds to each call with the next of {@code responses}; an empty one closes the connection, and so does one that
     * has a head of its own.
     */
    private Server discovery() throws IOException {
        return closeables.closeLater(new Server((m, s) -> {
            String body = responses.take();
            if (body.isEmpty()) {
                s.close();
            } else if (body.startsWith(" HTTP/") || body.startsWith("HTTP/")) {
                s.getOutputStream().write(TestEndpoints.bytes(body));
                s.shutdownOutput();
            } else {
                s.getOutputStream().write(okResponse(body));
            }
        }));
    }

    private Node node(Server discovery, String known) throws IOException {
        String config = TestEndpoints.config(discovery.address(), "127.0.0.1:0")
                .replace("{\"version\": 0, \"full\": true, \"servers\": []}", known);
        Node node = new Node(NodeConfig.of(new ObjectMapper().readTree(config)));
        closeables.push(node::stop);
        node.start();
        return node;
    }

    private int status(Node node, String id) throws IOException {
        try (Client c = new Client(node)) {
            return c.send(viewRequest(id, TestEndpoints.TIMEOUT_MS)).receive().status();
        }
    }

    private static String nextRequestLine(Server discovery) throws InterruptedException {
        return discovery.nextRequest().startLine();
    }

    /** If many gateways started at once with full lists, their calls would queue up and changes would arrive late. */
    @Test
    void startupRequestsChangesSinceTheKnownList() throws Exception {
        Server old = closeables.closeLater(new Server(DiscoveryTest::respondOk));
        Server fresh = closeables.closeLater(new Server(DiscoveryTest::respondOk));
        Server discovery = discovery();
        responses.add(
                hostList(9, false, hostEntry("a", old.address(), DRAINING), hostEntry("b", fresh.address(), "ready")));
        Node node = node(discovery, hostList(7, true, hostEntry("a", old.address(), "ready")));
        assertEquals("GET /v1/servers?from=7&hold_ms=0 HTTP/1.1", nextRequestLine(discovery));
        assertEquals("GET /v1/servers?from=9&hold_ms=" + CallTiming.HOLD_MS + " HTTP/1.1", nextRequestLine(discovery));
        assertEquals(200, status(node, "one"));
        assertEquals(1, fresh.requests.size());
        assertEquals(0, old.requests.size());
    }

    @Test
    void fullListIsRequestedWhenNoHostIsKnown() throws Exception {
        Server discovery = discovery();
        responses.add(hostList(3, true));
        node(discovery, hostList(3, true));
        assertEquals("GET /v1/servers HTTP/1.1", nextRequestLine(discovery));
    }

    /** As if discovery had lost its state: changes since its own version numbers do not apply to the known list. */
    @Test
    void changesOfAnOlderVersionLeadToAFullList() throws Exception {
        Server host = closeables.closeLater(new Server(DiscoveryTest::respondOk));
        Server discovery = discovery();
        responses.add(hostList(2, false, hostEntry("a", host.address(), "gone")));
        responses.add(hostList(2, true, hostEntry("a", host.address(), "ready")));
        Node node = node(discovery, hostList(7, true, hostEntry("a", host.address(), "ready")));
        assertEquals("GET /v1/servers?from=7&hold_ms=0 HTTP/1.1", nextRequestLine(discovery));
        assertEquals("GET /v1/servers HTTP/1.1", nextRequestLine(discovery));
        assertEquals("GET /v1/servers?from=2&hold_ms=" + CallTiming.HOLD_MS + " HTTP/1.1", nextRequestLine(discovery));
        assertEquals(200, status(node, "one"));
    }

    @Test
    void malformedListIsIgnored() throws Exception {
        Server host = closeables.closeLater(new Server(DiscoveryTest::respondOk));
        Server discovery = discovery();
        responses.add("{\"servers\":[" + hostEntry("a", host.address(), DRAINING) + "]}");
        responses.add(
                hostList(9, false, hostEntry("a", host.address(), DRAINING), hostEntry("b", host.address(), "odd")));
        responses.add("[]");
        responses.add("{\"version\":8,\"full\":true}");
        responses.add("{\"version\":8,\"full\":true,\"servers\":{}}");
        responses.add("{\"version\":8,\"servers\":[]}");
        responses.add(hostList(8, true, hostEntry("", host.address(), DRAINING)));
        responses.add(
                hostList(8, true, hostEntry("a", host.address(), "ready"), hostEntry("a", host.address(), DRAINING)));
        responses.add("");
        responses.add(hostList(7, false));
        Node node = node(discovery, hostList(7, true, hostEntry("a", host.address(), "ready")));
        for (int i = 0; i < 10; i++) {
            assertEquals("GET /v1/servers?from=7&hold_ms=0 HTTP/1.1", nextRequestLine(discovery));
        }
        assertEquals(200, status(node, "one"));
    }

    /** As from a discovery agent that lags behind: a drain or removal stays in force until the host restarts. */
    @Test
    void olderListDoesNotRevertADrain() throws Exception {
        Server drainingHost = closeables.closeLater(new Server(DiscoveryTest::respondOk));
        Server goneHost = closeables.closeLater(new Server(DiscoveryTest::respondOk));
        Server readyHost = closeables.closeLater(new Server(DiscoveryTest::respondOk));
        Server discovery = discovery();
        String[] old = {
            hostEntry("a", drainingHost.address(), "ready"),
            hostEntry("b", goneHost.address(), "ready"),
            hostEntry("c", readyHost.address(), "ready")
        };
        responses.add(hostList(
                9,
                false,
                hostEntry("a", drainingHost.address(), DRAINING),
                hostEntry("b", goneHost.address(), "gone"),
                hostEntry("d", goneHost.address(), "ready")));
        responses.add(hostList(10, true, old[2], hostEntry("a", drainingHost.address(), DRAINING)));
        responses.add(hostList(8, true, old[0], old[1], old[2], hostEntry("d", goneHost.address(), "ready")));
        responses.add(hostList(8, false));
        Node node = node(discovery, hostList(7, true, old));
        for (int i = 0; i < 5; i++) {
            // a call is sent before the response to the previous one is applied, so wait for the loop
            nextRequestLine(discovery);
        }
        node.loop.submit(() -> {}).sync();
        for (int i = 0; i < 20; i++) {
            assertEquals(200, status(node, "v" + i));
        }
        assertEquals(0, drainingHost.requests.size() + goneHost.requests.size());
    }

    @Test
    void olderListStillReportsARestartedHost() throws Exception {
        Server host = closeables.closeLater(new Server(DiscoveryTest::respondOk));
        Server discovery = discovery();
        responses.add(hostList(9, true, hostEntry("a", host.address(), DRAINING)));
        responses.add(hostList(
                2, true, hostEntry("a", host.address(), "ready").replace("\"started_ms\":0", "\"started_ms\":5")));
        Node node = node(discovery, hostList(3, true));
        for (int i = 0; i < 3; i++) {
            nextRequestLine(discovery);
        }
        node.loop.submit(() -> {}).sync();
        assertEquals(200, status(node, "v"));
    }

    /**
     * A call that holds and gets no response would be noticed as late as the failed one, so changes are fetched first.
     */
    @Test
    void callsDoNotHoldBetweenAFailureAndTheNextSuccess() throws Exception {
        String unavailable = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
        String truncated = "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"version\":8,";
        BlockingQueue<String> rawResponses = new LinkedBlockingQueue<>();
        Server discovery = closeables.closeLater(new Server((m, s) -> {
            String text = rawResponses.take();
            s.getOutputStream().write(TestEndpoints.bytes(text));
            if (!text.endsWith("}")) {
                s.close();
            }
        }));
        String unchanged = new String(okResponse(hostList(7, false)), StandardCharsets.ISO_8859_1);
        String caughtUp = "GET /v1/servers?from=7&hold_ms=" + CallTiming.HOLD_MS + " HTTP/1.1";
        rawResponses.add(unchanged);
        node(discovery, hostList(7, true, hostEntry("a", "127.0.0.1:1", "ready")));
        assertEquals("GET /v1/servers?from=7&hold_ms=0 HTTP/1.1", nextRequestLine(discovery));
        for (String failed : new String[] {"", unavailable, truncated}) {
            assertEquals(caughtUp, nextRequestLine(discovery));
            rawResponses.add(failed);
            assertEquals("GET /v1/servers?from=7&hold_ms=0 HTTP/1.1", nextRequestLine(discovery), failed);
            rawResponses.add(unchanged);
        }
        assertEquals(caughtUp, nextRequestLine(discovery));
        rawResponses.add(unchanged.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
        assertEquals(caughtUp, nextRequestLine(discovery)); // the watch continues
    }

    @Test
    void indentedListReceivedByteByByteIsParsed() throws Exception {
        Server host = closeables.closeLater(new Server(DiscoveryTest::respondOk));
        ObjectMapper json = new ObjectMapper();
        String list = json.readTree(hostList(9, false, hostEntry("a", host.address(), "ready")))
                .toPrettyString();
        Server discovery = closeables.closeLater(new Server((m, s) -> {
            if (m.startLine().contains("hold_ms=0")) {
                s.setTcpNoDelay(true);
                for (byte b : okResponse(list)) {
                    s.getOutputStream().write(b);
                }
            }
        }));
        Node node = node(discovery, hostList(7, true, hostEntry("a", "127.0.0.1:1", "ready")));
        assertTrue(list.contains("\n  \"version\" : 9"), list);
        assertEquals("GET /v1/servers?from=7&hold_ms=0 HTTP/1.1", nextRequestLine(discovery));
        assertTrue(nextRequestLine(discovery).contains("from=9&"));
        node.loop.submit(() -> {}).sync();
        assertEquals(200, status(node, "v"));
    }

    /** Guards against a list that is a part of another one, or the coded form of one. */
    @Test
    void listsOfUnreadableResponsesAreIgnored() throws Exception {
        Server host = closeables.closeLater(new Server(DiscoveryTest::respondOk));
        Server discovery = discovery();
        String list = hostList(8, false, hostEntry("a", host.address(), DRAINING));
        String length = "Content-Length: " + list.length() + "\r\n\r\n" + list;
        String chunk = Integer.toHexString(list.length());
        List<String> unreadable = List.of(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n" + length,
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n" + chunk + "\r\n" + list + "\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + " bytes\r\n" + list + "\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + "\r\n" + list + "x\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + length,
                "HTTP/1.1 200 OK\r\nContent-Length: +" + list.length() + "\r\n\r\n" + list,
                "HTTP/1.1 +200 OK\r\n" + length,
                "HTTP/1.1\t200 OK\r\n" + length,
                " HTTP/1.1 200 OK\r\n" + length,
                "HTTP/2.0 200 OK\r\n" + length,
                "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n" + length,
                list + "{}",
                list + "x",
                list.replace("\"full\":false", "\"full\":true,\"full\":false"),
                list.replace("\"state\":\"draining\"", "\"state\":\"ready\",\"state\":\"draining\""),
                list.replace(":8,", ":-8,"),
                list.replace(":8,", ":99999999999999999999,"));
        responses.addAll(unreadable);
        Node node = node(discovery, hostList(7, true, hostEntry("a", host.address(), "ready")));
        for (String response : unreadable) {
            assertEquals("GET /v1/servers?from=7&hold_ms=0 HTTP/1.1", nextRequestLine(discovery), response);
        }
        assertEquals("GET /v1/servers?from=7&hold_ms=0 HTTP/1.1", nextRequestLine(discovery));
        responses.add(hostList(7, false));
        assertEquals(200, status(node, "one"));
    }

    @Test
    void listsInEveryFormOfResponseAreRead() throws Exception {
        String list = hostList(8, false);
        String length = "Content-Length: " + list.length() + "\r\n\r\n" + list;
        String chunk = Integer.toHexString(list.length()) + ";a=\"b\"\r\n" + list + "\r\n0\r\nX-T: 1\r\n\r\n";
        List<String> readable = List.of(
                "HTTP/1.1 200 OK\r\n" + length,
                "HTTP/1.0 200\nContent-Length: 000" + list.length() + "\n\n" + list,
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk,
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\n"
                        + length,
                "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + list,
                "HTTP/1.0 200 OK\r\n\r\n" + list);
        for (String response : readable) {
            assertListRead(response);
        }
    }

    /** Starts a node whose first call gets this response, and waits until the next call is for the changes behind it. */
    private void assertListRead(String response) throws Exception {
        Server discovery = closeables.closeLater(new Server((m, s) -> {
            if (m.startLine().contains("from=7")) {
                s.getOutputStream().write(TestEndpoints.bytes(response));
                s.shutdownOutput();
            }
        }));
        node(discovery, hostList(7, true, hostEntry("a", "127.0.0.1:1", "ready")));
        assertEquals("GET /v1/servers?from=7&hold_ms=0 HTTP/1.1", nextRequestLine(discovery), response);
        String next = nextRequestLine(discovery);
        assertTrue(next.startsWith("GET /v1/servers?from=8&"), response + " -> " + next);
    }
}
