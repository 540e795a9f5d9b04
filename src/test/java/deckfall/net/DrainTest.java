package deckfall.net;

import static deckfall.net.TestEndpoints.hostEntry;
import static deckfall.net.TestEndpoints.hostList;
import static deckfall.net.TestEndpoints.orderRequest;
import static deckfall.net.TestEndpoints.viewRequest;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import deckfall.DecisionModule;
import deckfall.Gateway.Settings;
import deckfall.net.TestEndpoints.Client;
import deckfall.net.TestEndpoints.DiscoveryServer;
import deckfall.net.TestEndpoints.Message;
import deckfall.net.TestEndpoints.Server;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/**
 * Tests the drain at the end of a process. The time until SIGKILL depends on the longest deadline of the settings, and
 * requests that are still open then are lost.
 */
class DrainTest {
    private static final double KILL_DELAY_MS = 700;

    @RegisterExtension
    final Closeables closeables = new Closeables();

    private static Settings settings(int longestDeadlineMs) throws Exception {
        String config = TestEndpoints.config("127.0.0.1:1", "127.0.0.1:0")
                .replace("\"hard_limit_ms\": 60000}]", "\"hard_limit_ms\": " + longestDeadlineMs + "}]")
                .replace("\"hard_limit_ms\": 60000", "\"hard_limit_ms\": 100");
        return NodeConfig.of(new ObjectMapper().readTree(config)).settings();
    }

    @Test
    void allRequestsAreAnsweredBeforeTheKillForAnyDeadline() throws Exception {
        for (int longest : new int[] {100, 400, 900, 2500, 3000, 15_000}) {
            double kill = Math.min(3000, longest) + KILL_DELAY_MS;
            long answerBy = Drain.answerDeadlineMs(settings(longest));
            assertTrue(answerBy <= kill - 200, longest + ": " + answerBy);
            assertTrue(answerBy >= kill / 2, longest + ": " + answerBy);
            assertTrue(
                    Drain.acceptDeadlineMs(settings(longest)) <= Math.max(Drain.MIN_ACCEPT_MS, answerBy), "" + longest);
        }
        assertEquals(3400, Drain.answerDeadlineMs(settings(15_000)));
    }

    private Node node(String... entries) throws IOException {
        DiscoveryServer discoveryServer = closeables.closeLater(new DiscoveryServer(hostList(1, true, entries)));
        Node node = TestEndpoints.node(TestEndpoints.config(discoveryServer.server.address(), "127.0.0.1:0"));
        closeables.push(node::stop);
        return node;
    }

    private Client client(Node node) throws IOException {
        return closeables.closeLater(new Client(node));
    }

    /**
     * Covers a request at a host that hangs, a request read up to a part of its head or body, and connections without a
     * request.
     */
    @Test
    void nothingStaysOpenAtTheDrainsEnd() throws Exception {
        Server hangingHost = closeables.closeLater(new Server((m, s) -> {}));
        Node node = node(hostEntry("h0", hangingHost.address(), "ready"));
        Client sent = client(node).send(orderRequest("out", "b"));
        assertNotNull(hangingHost.nextRequest());
        Client partialHead = client(node).send("GET /view/x HTT");
        Client partialBody = client(node).send(orderRequest("body", "whole").replace("whole", "ha"));
        Client unused = client(node);
        Client last = client(node); // once this one is answered, everything sent before has been read
        assertEquals(200, last.send("GET /healthz HTTP/1.1\r\n\r\n").receive().status());
        node.loop.submit(node::drain).sync();
        node.loop.submit(node::endOpenRequests).sync();
        assertEquals(502, sent.receive().status());
        assertEquals(503, partialBody.receive().status());
        for (Client c : new Client[] {partialHead, unused, last, sent}) {
            assertNull(c.receive());
        }
        partialBody.close();
        assertTrue(node.awaitDrained(TestEndpoints.TIMEOUT_MS));
    }

    /** Pipelined requests that had been read were dropped with the first response in a drain. */
    @Test
    void pipelinedRequestsAreAnsweredInADrain() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        Server host = closeables.closeLater(new Server((m, s) -> {
            assertTrue(release.await(TestEndpoints.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            s.getOutputStream().write(TestEndpoints.okResponse(m.header("X-Trace-Id")));
        }));
        Node node = node(hostEntry("h0", host.address(), "ready"));
        int ms = TestEndpoints.TIMEOUT_MS;
        Client c = client(node).send(viewRequest("one", ms) + viewRequest("two", ms) + viewRequest("three", ms));
        assertNotNull(host.nextRequest());
        node.operatorCommands().quiesce();
        release.countDown();
        assertEquals("one", c.receive().text());
        assertEquals("two", c.receive().text());
        Message last = c.receive();
        assertEquals("three", last.text());
        assertEquals("close", last.header("Connection"));
    }

    /** A request that had arrived, but that the event loop had not read yet, was reset with its idle connection. */
    @Test
    void unreadRequestIsAnsweredAtTheDrainsEnd() throws Exception {
        Node node = node();
        Client servedClient = client(node);
        assertEquals(
                200,
                servedClient.send("GET /healthz HTTP/1.1\r\n\r\n").receive().status());
        node.loop
                .submit(() -> {
                    // Inside a task of the loop, which can't read meanwhile
                    servedClient.send(viewRequest("v", TestEndpoints.TIMEOUT_MS));
                    node.drain();
                    node.endOpenRequests();
                    return null;
                })
                .sync();
        assertEquals(503, servedClient.receive().status());
    }

    /** Responses that the system had not taken yet were lost with their idle connection. */
    @Test
    void unwrittenResponsesSurviveTheDrainsEnd() throws Exception {
        int count = 150; // more than the system's buffers hold for a client that does not read
        String body = "x".repeat(60_000);
        Server host =
                closeables.closeLater(new Server((m, s) -> s.getOutputStream().write(TestEndpoints.okResponse(body))));
        Node node = node(hostEntry("h0", host.address(), "ready"));
        Client c = client(node);
        for (int i = 0; i < count; i++) {
            c.send(viewRequest("v" + i, TestEndpoints.TIMEOUT_MS));
        }
        for (int i = 0; i < count; i++) {
            assertNotNull(host.nextRequest());
        }
        while (node.metrics.openRequests() > 0) {
            node.loop.submit(() -> {}).sync();
        }
        node.loop
                .submit(() -> {
                    node.drain();
                    node.endOpenRequests();
                })
                .sync();
        for (int i = 0; i < count; i++) {
            assertEquals(body.length(), c.receive().text().length());
        }
    }

    @Test
    void queuedRequestIsRefusedAtTheDrainsEnd() throws Exception {
        Node node = node();
        Client queued = client(node).send(viewRequest("v", TestEndpoints.TIMEOUT_MS));
        Client servedClient = client(node);
        assertEquals(
                200,
                servedClient.send("GET /healthz HTTP/1.1\r\n\r\n").receive().status());
        node.loop.submit(node::drain).sync();
        node.loop.submit(node::endOpenRequests).sync();
        assertEquals(503, queued.receive().status());
        assertTrue(node.awaitDrained(TestEndpoints.TIMEOUT_MS));
    }

    /** However long a drain has been going on, a new connection still has time to send a request. */
    @Test
    void newConnectionHasTimeToSendARequestLateInADrain() throws Exception {
        Server host =
                closeables.closeLater(new Server((m, s) -> s.getOutputStream().write(TestEndpoints.okResponse("x"))));
        DiscoveryServer discoveryServer =
                closeables.closeLater(new DiscoveryServer(hostList(1, true, hostEntry("h0", host.address(), "ready"))));
        ManualClock clock = new ManualClock();
        clock.frozen = true;
        Node node = new Node(
                NodeConfig.of(new ObjectMapper()
                        .readTree(TestEndpoints.config(discoveryServer.server.address(), "127.0.0.1:0"))),
                DecisionModule::new,
                clock);
        closeables.push(node::stop);
        node.start();
        Client idle = client(node);
        assertEquals(200, idle.send("GET /healthz HTTP/1.1\r\n\r\n").receive().status());
        node.operatorCommands().quiesce();
        node.loop.submit(() -> {}).sync(); // the task that wrote the response has read the clock before it is moved
        clock.offsetMs = 10_000;
        assertNull(idle.receive()); // from now on there is a sweep every 50 ms
        Client c = client(node);
        node.loop.schedule(() -> {}, 150, TimeUnit.MILLISECONDS).sync();
        assertEquals(
                200,
                c.send(viewRequest("v", TestEndpoints.TIMEOUT_MS)).receive().status());
    }

    /**
     * The close of the listener is scheduled next. If the sweep were scheduled in a later task, a slow event loop would
     * close the listener first.
     */
    @Test
    void firstSweepIsScheduledBeforeBeginReturns() throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        closeables.push(() -> group.shutdownGracefully(0, 1, TimeUnit.SECONDS));
        EventLoop loop = group.next();
        Drain drain = new Drain(loop, new ManualClock(), null);
        assertTrue(loop.submit(() -> {
                    drain.begin();
                    return drain.sweeping();
                })
                .get());
        drain.resume();
    }
}
