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
import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** What a node asks of discovery, and what it makes of the answers. */
class DiscoveryTest {
    private static final String DRAINED = "draining";
    private final Deque<Closeable> closeables = new ArrayDeque<>();
    private final BlockingQueue<String> answers = new LinkedBlockingQueue<>();

    @AfterEach
    void close() throws IOException {
        for (Closeable c : closeables) {
            c.close();
        }
    }

    private <T extends Closeable> T closeLater(T closeable) {
        closeables.push(closeable);
        return closeable;
    }

    private static void answerOk(Message m, Socket s) throws IOException {
        s.getOutputStream().write(okResponse(m.header("X-Trace-Id")));
    }

    /** Answers each call with the next of the answers; one that is empty ends the connection. */
    private Server discovery() throws IOException {
        return closeLater(new Server((m, s) -> {
            String body = answers.take();
            if (body.isEmpty()) {
                s.close();
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
        return discovery.nextRequest().start();
    }

    /** Many that start at once would queue for as many whole lists, and none would hear of a change meanwhile. */
    @Test
    void startupRequestsChangesSinceTheKnownList() throws Exception {
        Server old = closeLater(new Server(DiscoveryTest::answerOk));
        Server fresh = closeLater(new Server(DiscoveryTest::answerOk));
        Server discovery = discovery();
        answers.add(
                hostList(9, false, hostEntry("a", old.address(), DRAINED), hostEntry("b", fresh.address(), "ready")));
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
        answers.add(hostList(3, true));
        node(discovery, hostList(3, true));
        assertEquals("GET /v1/servers HTTP/1.1", nextRequestLine(discovery));
    }

    /** As after a discovery that lost its state: what changed since its own versions says nothing of ours. */
    @Test
    void changesOfAnOlderVersionLeadToAFullList() throws Exception {
        Server host = closeLater(new Server(DiscoveryTest::answerOk));
        Server discovery = discovery();
        answers.add(hostList(2, false, hostEntry("a", host.address(), "gone")));
        answers.add(hostList(2, true, hostEntry("a", host.address(), "ready")));
        Node node = node(discovery, hostList(7, true, hostEntry("a", host.address(), "ready")));
        assertEquals("GET /v1/servers?from=7&hold_ms=0 HTTP/1.1", nextRequestLine(discovery));
        assertEquals("GET /v1/servers HTTP/1.1", nextRequestLine(discovery));
        assertEquals("GET /v1/servers?from=2&hold_ms=" + CallTiming.HOLD_MS + " HTTP/1.1", nextRequestLine(discovery));
        assertEquals(200, status(node, "one"));
    }

    @Test
    void malformedListIsIgnored() throws Exception {
        Server host = closeLater(new Server(DiscoveryTest::answerOk));
        Server discovery = discovery();
        answers.add("{\"servers\":[" + hostEntry("a", host.address(), DRAINED) + "]}");
        answers.add(hostList(9, false, hostEntry("a", host.address(), DRAINED), hostEntry("b", host.address(), "odd")));
        answers.add("[]");
        answers.add("{\"version\":8,\"full\":true}");
        answers.add("{\"version\":8,\"full\":true,\"servers\":{}}");
        answers.add("{\"version\":8,\"servers\":[]}");
        answers.add(hostList(8, true, hostEntry("", host.address(), DRAINED)));
        answers.add(
                hostList(8, true, hostEntry("a", host.address(), "ready"), hostEntry("a", host.address(), DRAINED)));
        answers.add("");
        answers.add(hostList(7, false));
        Node node = node(discovery, hostList(7, true, hostEntry("a", host.address(), "ready")));
        for (int i = 0; i < 10; i++) {
            assertEquals("GET /v1/servers?from=7&hold_ms=0 HTTP/1.1", nextRequestLine(discovery));
        }
        assertEquals(200, status(node, "one"));
    }

    /** As of an agent that has fallen behind: what was told stays told for that life of a host. */
    @Test
    void olderListDoesNotRevertADrain() throws Exception {
        Server drains = closeLater(new Server(DiscoveryTest::answerOk));
        Server gone = closeLater(new Server(DiscoveryTest::answerOk));
        Server ready = closeLater(new Server(DiscoveryTest::answerOk));
        Server discovery = discovery();
        String[] old = {
            hostEntry("a", drains.address(), "ready"),
            hostEntry("b", gone.address(), "ready"),
            hostEntry("c", ready.address(), "ready")
        };
        answers.add(hostList(
                9,
                false,
                hostEntry("a", drains.address(), DRAINED),
                hostEntry("b", gone.address(), "gone"),
                hostEntry("d", gone.address(), "ready")));
        answers.add(hostList(10, true, old[2], hostEntry("a", drains.address(), DRAINED)));
        answers.add(hostList(8, true, old[0], old[1], old[2], hostEntry("d", gone.address(), "ready")));
        answers.add(hostList(8, false));
        Node node = node(discovery, hostList(7, true, old));
        for (int i = 0; i < 5; i++) {
            nextRequestLine(discovery); // the last call is made before its answer is told, so:
        }
        node.loop.submit(() -> {}).sync();
        for (int i = 0; i < 20; i++) {
            assertEquals(200, status(node, "v" + i));
        }
        assertEquals(0, drains.requests.size() + gone.requests.size());
    }

    @Test
    void olderListStillReportsARestartedHost() throws Exception {
        Server host = closeLater(new Server(DiscoveryTest::answerOk));
        Server discovery = discovery();
        answers.add(hostList(9, true, hostEntry("a", host.address(), DRAINED)));
        answers.add(hostList(
                2, true, hostEntry("a", host.address(), "ready").replace("\"started_ms\":0", "\"started_ms\":5")));
        Node node = node(discovery, hostList(3, true));
        for (int i = 0; i < 3; i++) {
            nextRequestLine(discovery);
        }
        node.loop.submit(() -> {}).sync();
        assertEquals(200, status(node, "v"));
    }

    /** A call that waits would be as long silent as the one before: what was missed is asked for first. */
    @Test
    void callsDoNotHoldBetweenAFailureAndTheNextSuccess() throws Exception {
        String unavailable = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
        String brokenOff = "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"version\":8,";
        BlockingQueue<String> raw = new LinkedBlockingQueue<>();
        Server discovery = closeLater(new Server((m, s) -> {
            String text = raw.take();
            s.getOutputStream().write(TestEndpoints.bytes(text));
            if (!text.endsWith("}")) {
                s.close();
            }
        }));
        String none = new String(okResponse(hostList(7, false)), StandardCharsets.ISO_8859_1);
        String caughtUp = "GET /v1/servers?from=7&hold_ms=" + CallTiming.HOLD_MS + " HTTP/1.1";
        raw.add(none);
        node(discovery, hostList(7, true, hostEntry("a", "127.0.0.1:1", "ready")));
        assertEquals("GET /v1/servers?from=7&hold_ms=0 HTTP/1.1", nextRequestLine(discovery));
        for (String failed : new String[] {"", unavailable, brokenOff}) {
            assertEquals(caughtUp, nextRequestLine(discovery));
            raw.add(failed);
            assertEquals("GET /v1/servers?from=7&hold_ms=0 HTTP/1.1", nextRequestLine(discovery), failed);
            raw.add(none);
        }
        assertEquals(caughtUp, nextRequestLine(discovery));
        raw.add(none.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
        assertEquals(caughtUp, nextRequestLine(discovery)); // the watch goes on
    }

    @Test
    void indentedListReceivedByteByByteIsParsed() throws Exception {
        Server host = closeLater(new Server(DiscoveryTest::answerOk));
        ObjectMapper json = new ObjectMapper();
        String list = json.readTree(hostList(9, false, hostEntry("a", host.address(), "ready")))
                .toPrettyString();
        Server discovery = closeLater(new Server((m, s) -> {
            if (m.start().contains("hold_ms=0")) {
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
}
