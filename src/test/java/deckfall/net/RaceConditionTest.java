package deckfall.net;

import static deckfall.net.TestEndpoints.bytes;
import static deckfall.net.TestEndpoints.hostEntry;
import static deckfall.net.TestEndpoints.hostList;
import static deckfall.net.TestEndpoints.okResponse;
import static deckfall.net.TestEndpoints.orderRequest;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import deckfall.DecisionModule;
import deckfall.Gateway.Actions;
import deckfall.Gateway.AttemptResult;
import deckfall.Gateway.Events;
import deckfall.Gateway.Outcome;
import deckfall.Gateway.Request;
import deckfall.net.TestEndpoints.Client;
import deckfall.net.TestEndpoints.DiscoveryServer;
import deckfall.net.TestEndpoints.Message;
import deckfall.net.TestEndpoints.Server;
import deckfall.net.TestEndpoints.UnreachableServer;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/** Tests races between two events, each in the harmful order. The test controls the time of one of the two events. */
class RaceConditionTest {
    private static final int MAX_REQUESTS_PER_HOST = 8; // further requests for one host are queued

    @RegisterExtension
    final Closeables closeables = new Closeables();

    // Requests, added after the module has acted on them
    private final BlockingQueue<Request> handledRequests = new LinkedBlockingQueue<>();
    private final BlockingQueue<AttemptResult> results = new LinkedBlockingQueue<>();
    // Ids of requests whose client has disconnected, added after the module has acted on that
    private final BlockingQueue<String> disconnectedClients = new LinkedBlockingQueue<>();
    private final ManualClock clock = new ManualClock();
    private DiscoveryServer discovery;

    private static void echo(Message m, Socket s) throws IOException {
        s.getOutputStream().write(okResponse("for " + m.header("X-Trace-Id")));
    }

    private static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
        T next = queue.poll(TestEndpoints.TIMEOUT_MS, TimeUnit.MILLISECONDS);
        assertNotNull(next, "no event within the timeout");
        return next;
    }

    private Outcome resultOf(String id) throws InterruptedException {
        AttemptResult result = next(results);
        return result.id().equals(id) ? result.outcome() : resultOf(id);
    }

    /** Starts a node whose connect timeout is as long as the deadlines of requests. */
    private Node node(Function<Actions, Events> module, UnaryOperator<String> configChange, String... entries)
            throws IOException {
        discovery = closeables.closeLater(new DiscoveryServer(hostList(1, true, entries)));
        String config = TestEndpoints.config(discovery.server.address(), "127.0.0.1:0")
                .replace("\"connect_timeout_ms\": 5000", "\"connect_timeout_ms\": 60000");
        Node node = new Node(NodeConfig.of(new ObjectMapper().readTree(configChange.apply(config))), module, clock);
        closeables.push(node::stop);
        node.start();
        return node;
    }

    private Client client(Node node) throws IOException {
        return closeables.closeLater(new Client(node));
    }

    /** A module that sends each request to one host. */
    private Function<Actions, Events> sendingTo(String host) {
        return act -> new ScriptedModule(
                (now, r) -> {
                    act.send(r.id(), host, 0);
                    handledRequests.add(r);
                },
                results::add);
    }

    /** The real module, with some of its events recorded after it has acted on them. */
    private Events recordingModule(Actions actions) {
        DecisionModule module = new DecisionModule(actions);
        return (Events) Proxy.newProxyInstance(
                Events.class.getClassLoader(), new Class<?>[] {Events.class}, (proxy, method, args) -> {
                    Object result = method.invoke(module, args);
                    switch (method.getName()) {
                        case "requestReceived" -> handledRequests.add((Request) args[1]);
                        case "attemptEnded" -> results.add((AttemptResult) args[1]);
                        case "clientDisconnected" -> disconnectedClients.add((String) args[1]);
                        default -> {}
                    }
                    return result;
                });
    }

    /**
     * A request counts as sent with its first byte, which would go to a draining host as soon as the connection is
     * established.
     */
    @Test
    void attemptWaitingForAConnectionMovesWhenItsHostDrains() throws Exception {
        for (String state : new String[] {"draining", "gone"}) {
            UnreachableServer unreachable = closeables.closeLater(new UnreachableServer());
            Server other = closeables.closeLater(new Server(RaceConditionTest::echo));
            Node node = node(this::recordingModule, c -> c, hostEntry("h0", unreachable.address(), "ready"));
            Client c = client(node).send(orderRequest("o", "b"));
            assertEquals("o", next(handledRequests).id());
            discovery.updates.add(hostList(
                    2,
                    false,
                    hostEntry("h0", unreachable.address(), state),
                    hostEntry("h1", other.address(), "ready")));
            assertEquals("for o", c.receive().text());
            assertEquals(Outcome.FULL, next(results).outcome());
            assertEquals(Outcome.OK, next(results).outcome());
        }
    }

    /** The same for a host that has restarted, or that is missing from a new list. */
    @Test
    void attemptWaitingForAReplacedOrRemovedHostEndsAsFull() throws Exception {
        String[] lists = {hostList(2, true), hostList(2, false, hostEntry("h0", "127.0.0.1:1", "ready"))};
        for (String list : lists) {
            UnreachableServer unreachable = closeables.closeLater(new UnreachableServer());
            Node node = node(sendingTo("h0"), c -> c, hostEntry("h0", unreachable.address(), "ready"));
            client(node).send(orderRequest("o", "b"));
            assertEquals("o", next(handledRequests).id());
            discovery.updates.add(list);
            assertEquals(Outcome.FULL, next(results).outcome());
        }
    }

    /**
     * Settings that forbid cancelling apply to requests that were sent. An unsent request must not be sent once its
     * client has left.
     */
    @Test
    void requestIsNotSentIfItsClientLeavesBeforeTheHostConnects() throws Exception {
        for (String cancel : new String[] {"true", "false"}) {
            UnreachableServer unreachable = closeables.closeLater(new UnreachableServer());
            Node node = node(
                    this::recordingModule,
                    c -> c.replace("\"cancel\": true", "\"cancel\": " + cancel),
                    hostEntry("h0", unreachable.address(), "ready"));
            Client c = client(node).send(orderRequest("o" + cancel, "b"));
            next(handledRequests);
            c.close();
            assertEquals("o" + cancel, next(disconnectedClients));
            assertEquals(Outcome.MOOT, resultOf("o" + cancel));
            client(node).send(orderRequest("p", "b"));
            next(handledRequests);
            try (Socket hostSocket = unreachable.accept()) {
                assertEquals(
                        "p",
                        TestEndpoints.readMessage(hostSocket.getInputStream()).header("X-Trace-Id"));
            }
        }
    }

    /**
     * An attempt was sent for a client that had left, as the connection to the host was established in the same
     * iteration of a busy event loop.
     */
    @Test
    void attemptIsNotSentIfItsClientLeavesWhileTheHostConnects() throws Exception {
        UnreachableServer unreachable = closeables.closeLater(new UnreachableServer());
        Node node = node(sendingTo("h0"), c -> c, hostEntry("h0", unreachable.address(), "ready"));
        Client c = client(node).send(orderRequest("o", "b"));
        next(handledRequests);
        CountDownLatch release = new CountDownLatch(1);
        node.loop.execute(() -> await(release));
        try (Socket hostSocket = unreachable.accept()) {
            c.close();
            release.countDown();
            assertEquals(Outcome.MOOT, resultOf("o"));
            assertNull(TestEndpoints.readMessage(hostSocket.getInputStream()));
        }
    }

    /**
     * The remaining time sent to the host was counted from the end of the request before, not from when the pipelined
     * request was received.
     */
    @Test
    void pipelinedRequestLosesTheTimeItWaited() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        Server host = closeables.closeLater(new Server((m, s) -> {
            await(release);
            echo(m, s);
        }));
        Node node = node(sendingTo("h0"), c -> c, hostEntry("h0", host.address(), "ready"));
        clock.frozen = true;
        int ms = TestEndpoints.TIMEOUT_MS;
        Client c = client(node).send(TestEndpoints.viewRequest("first", ms) + TestEndpoints.viewRequest("second", ms));
        assertNotNull(host.nextRequest());
        node.loop.submit(() -> {}).sync(); // both have been read
        clock.offsetMs = ms / 2;
        release.countDown();
        assertEquals("for first", c.receive().text());
        assertTrue(Integer.parseInt(host.nextRequest().header("X-Expires-In-Ms")) <= ms / 2);
    }

    /**
     * The remaining time sent to the host did not exclude the time for which the request had waited for a busy event
     * loop.
     */
    @Test
    @Tag("known-red")
    void requestLosesTheTimeItWaitedForABusyEventLoop() throws Exception {
        int busyMs = 400;
        CountDownLatch loopBusy = new CountDownLatch(1);
        Server host = closeables.closeLater(new Server(RaceConditionTest::echo));
        Node node = node(
                act -> new ScriptedModule((now, r) -> {
                    if (r.id().equals("first")) {
                        loopBusy.countDown();
                        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(busyMs));
                    }
                    act.send(r.id(), "h0", 0);
                }),
                c -> c,
                hostEntry("h0", host.address(), "ready"));
        Client first = client(node);
        Client second = client(node);
        first.send(TestEndpoints.viewRequest("first", TestEndpoints.TIMEOUT_MS));
        await(loopBusy);
        second.send(TestEndpoints.viewRequest("second", TestEndpoints.TIMEOUT_MS));
        assertEquals("first", host.nextRequest().header("X-Trace-Id"));
        int forwardedMs = Integer.parseInt(host.nextRequest().header("X-Expires-In-Ms"));
        assertTrue(forwardedMs <= TestEndpoints.TIMEOUT_MS - busyMs / 2, forwardedMs + " ms");
    }

    /** A queued request whose client has left occupies neither the queue nor a host any more. */
    @Test
    void queuedRequestIsNotSentAfterItsClientLeaves() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        Server host = closeables.closeLater(new Server((m, s) -> {
            release.await(TestEndpoints.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            echo(m, s);
        }));
        Node node = node(this::recordingModule, c -> c, hostEntry("h0", host.address(), "ready"));
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < MAX_REQUESTS_PER_HOST; i++) {
            clients.add(client(node).send(orderRequest("o" + i, "b")));
            next(handledRequests);
        }
        Client gone = client(node).send(orderRequest("gone", "b"));
        next(handledRequests);
        gone.close();
        assertEquals("gone", next(disconnectedClients));
        release.countDown();
        // Queued behind the one whose client left
        clients.add(client(node).send(orderRequest("o" + MAX_REQUESTS_PER_HOST, "b")));
        for (int i = 0; i <= MAX_REQUESTS_PER_HOST; i++) {
            assertEquals("for o" + i, clients.get(i).receive().text());
        }
        assertTrue(host.requests.stream().noneMatch(m -> m.header("X-Trace-Id").equals("gone")));
    }

    /**
     * A connection that was never established proves that nothing has run, even if the request ends at its deadline.
     */
    @Test
    void requestWhoseHostNeverConnectedIsRefusedAtItsDeadline() throws Exception {
        UnreachableServer unreachable = closeables.closeLater(new UnreachableServer());
        Node node = node(
                this::recordingModule,
                c -> c.replace("by_key", "once"),
                hostEntry("h0", unreachable.address(), "ready"));
        String shortDeadline =
                orderRequest("o", "b").replace("X-Expires-In-Ms: " + TestEndpoints.TIMEOUT_MS, "X-Expires-In-Ms: 300");
        assertEquals(429, client(node).send(shortDeadline).receive().status());
        assertEquals(Outcome.CONNECT_FAILED, next(results).outcome());
    }

    /** The duplicate arrives once the next request has been written, whichever connection that one uses. */
    @Test
    void lateDuplicateResponseReachesNoOtherRequest() throws Exception {
        clock.frozen = true;
        AtomicReference<Socket> first = new AtomicReference<>();
        Server host = closeables.closeLater(new Server((m, s) -> {
            if (first.compareAndSet(null, s)) {
                echo(m, s);
                return;
            }
            first.get().getOutputStream().write(okResponse("for one"));
            echo(m, s);
        }));
        Node node = node(this::recordingModule, c -> c, hostEntry("h0", host.address(), "ready"));
        Client c = client(node);
        assertEquals("for one", c.send(orderRequest("one", "b")).receive().text());
        clock.offsetMs = 25; // duplicates have been seen this long after the first response
        assertEquals("for two", c.send(orderRequest("two", "b")).receive().text());
    }

    @Test
    void connectionIsReusedAfterTheReuseDelay() throws Exception {
        clock.frozen = true;
        Set<Socket> used = ConcurrentHashMap.newKeySet();
        Server host = closeables.closeLater(new Server((m, s) -> {
            used.add(s);
            echo(m, s);
        }));
        Node node = node(this::recordingModule, c -> c, hostEntry("h0", host.address(), "ready"));
        Client c = client(node);
        for (int i = 0; i < 3; i++) {
            assertEquals(
                    "for o" + i, c.send(orderRequest("o" + i, "b")).receive().text());
            clock.offsetMs += 45; // less than the shortest idle time after which a connection is no longer reused
        }
        assertEquals(1, used.size());
    }

    /** The start of a second response is received at once; its rest arrives once the next request has been written. */
    @Test
    void partialSecondResponseReachesNoOtherRequest() throws Exception {
        clock.frozen = true;
        for (String partialResponse : new String[] {
            "HTTP/1.1 200 OK\r\n",
            "HTTP/1.1 200 OK\r\nContent-Le",
            "left over",
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
        }) {
            AtomicReference<Socket> first = new AtomicReference<>();
            Server host = closeables.closeLater(new Server((m, s) -> {
                if (first.compareAndSet(null, s)) {
                    s.getOutputStream()
                            .write(bytes(
                                    new String(okResponse("for one"), StandardCharsets.ISO_8859_1) + partialResponse));
                    return;
                }
                writeIfOpen(first.get(), "Content-Length: 4\r\n\r\nfake");
                echo(m, s);
            }));
            Node node = node(this::recordingModule, c -> c, hostEntry("h0", host.address(), "ready"));
            Client c = client(node);
            assertEquals("for one", c.send(orderRequest("one", "b")).receive().text());
            clock.offsetMs += 45; // the reuse delay has passed
            assertEquals("for two", c.send(orderRequest("two", "b")).receive().text());
        }
    }

    private static void writeIfOpen(Socket s, String text) {
        try {
            s.getOutputStream().write(bytes(text));
        } catch (IOException e) {
            // the other side has closed it, as it should
        }
    }

    /** A head that stops after a complete line is as incomplete as one that stops inside a line. */
    @Test
    void laterRequestThatStopsAfterAWholeLineTimesOut() throws Exception {
        clock.frozen = true;
        Server host = closeables.closeLater(new Server(RaceConditionTest::echo));
        Node node = node(this::recordingModule, c -> c, hostEntry("h0", host.address(), "ready"));
        Client c = client(node);
        assertEquals("for one", c.send(orderRequest("one", "b")).receive().text());
        c.send("\r\nGET /view/x HTTP/1.1\r\n");
        Client other = client(node);
        assertEquals(
                "for two", other.send(orderRequest("two", "b")).receive().text()); // what was sent before has been read
        clock.offsetMs = 2600;
        assertEquals(408, c.receive().status());
        assertEquals(
                "for three",
                other.send("\r\n" + orderRequest("three", "b")).receive().text());
    }

    /**
     * A client that has not completed its first request gets a response within 3 s of connecting, however late its head
     * arrived.
     */
    @Test
    void firstRequestTimesOutFromTheConnectOn() throws Exception {
        clock.frozen = true;
        Server host = closeables.closeLater(new Server(RaceConditionTest::echo));
        Node node = node(this::recordingModule, c -> c, hostEntry("h0", host.address(), "ready"));
        Client newClient = client(node);
        Client other = client(node);
        assertEquals("for one", other.send(orderRequest("one", "b")).receive().text()); // both have been accepted
        clock.offsetMs = 2000;
        newClient.send(orderRequest("o", "whole").replace("whole", "ha"));
        assertEquals("for two", other.send(orderRequest("two", "b")).receive().text());
        clock.offsetMs = 2600;
        assertEquals(408, newClient.receive().status());
    }

    /** A module that sends nothing and records whose client has left. */
    private Function<Actions, Events> holdingModule() {
        return act -> new ScriptedModule((now, r) -> handledRequests.add(r)) {
            @Override
            public void clientDisconnected(double now, String id) {
                disconnectedClients.add(id);
            }
        };
    }

    private static long memoryUsed(Node node) throws Exception {
        return node.loop.submit(node.memoryBudget::usedBytes).get();
    }

    /**
     * While reading is paused, a close is not noticed, and waiting requests would be sent for a client that has left.
     */
    @Test
    void clientCloseIsNoticedBehindUnprocessedData() throws Exception {
        String large = orderRequest(
                "long", "b".repeat(IncomingRequest.MAX_KEPT_BODY_BYTES + IncomingRequest.MAX_SMALL_BODY_BYTES));
        String many = orderRequest("many", "b") + orderRequest("behind", "b").repeat(64);
        Node node = node(holdingModule(), c -> c);
        for (String sent : List.of(large, many)) {
            Client c = client(node).send(sent);
            String id = next(handledRequests).id();
            c.close();
            assertEquals(id, next(disconnectedClients));
            assertEquals(0, memoryUsed(node));
        }
        assertTrue(handledRequests.isEmpty());
    }

    /** Memory is bounded, so a client that sends too much to be read while its request waits is refused. */
    @Test
    void clientThatSendsTooMuchAheadIsRefused() throws Exception {
        Node node = node(holdingModule(), c -> c);
        Client large = client(node).send(orderRequest("long", "b".repeat(8 << 20)));
        assertEquals("long", next(handledRequests).id());
        assertEquals("long", next(disconnectedClients));
        assertEquals(503, large.receive().status());
        Client flood = client(node);
        Thread sending = new Thread(() -> {
            try {
                flood.send(orderRequest("flood", "b").repeat(50_000));
            } catch (IOException e) {
                // closed by the other side, as it should be
            }
        });
        sending.start();
        assertEquals("flood", next(handledRequests).id());
        assertEquals("flood", next(disconnectedClients));
        sending.join();
        assertTrue(handledRequests.isEmpty());
        assertEquals(0, memoryUsed(node));
    }

    /**
     * Guards against passing on a second copy of a response as the response to the next request: it arrived while the
     * event loop was held up, after the connection had rested for long enough by the clock.
     */
    @Test
    void copyThatArrivedWhileTheLoopWasHeldUpReachesNoOtherRequest() throws Exception {
        clock.frozen = true;
        CountDownLatch copyRequested = new CountDownLatch(1);
        CountDownLatch copyWritten = new CountDownLatch(1);
        Server host = closeables.closeLater(new Server((m, s) -> {
            echo(m, s);
            if (m.header("X-Trace-Id").equals("one")) {
                await(copyRequested);
                echo(m, s);
                copyWritten.countDown();
            }
        }));
        Node node = node(
                act -> new ScriptedModule((now, r) -> {
                    if (r.id().equals("two")) {
                        copyRequested.countDown();
                        await(copyWritten);
                        clock.offsetMs += 100;
                    }
                    act.send(r.id(), "h0", 0);
                }),
                c -> c,
                hostEntry("h0", host.address(), "ready"));
        Client c = client(node).send(orderRequest("one", "b"));
        assertEquals("for one", c.receive().text());
        assertEquals("for two", c.send(orderRequest("two", "b")).receive().text());
    }

    /**
     * Guards against a refusal of a booking that a host is running, as its client sent too much behind it: its retry
     * would book twice. What comes behind is refused without being sent until all has been read.
     */
    @Test
    void requestThatAHostIsRunningIsNotRefusedForWhatFollowsIt() throws Exception {
        CountDownLatch paused = new CountDownLatch(1);
        Server host = closeables.closeLater(new Server((m, s) -> {
            if (m.header("X-Trace-Id").equals("first")) {
                await(paused);
            }
            echo(m, s);
        }));
        Node node = node(DecisionModule::new, c -> c, hostEntry("h0", host.address(), "ready"));
        String body = "b".repeat(60_000);
        int count = 20;
        Client c = client(node);
        Thread sending = new Thread(() -> {
            try {
                c.send(orderRequest("first", "b"));
                for (int i = 0; i < count; i++) {
                    c.send(orderRequest("next" + i, body));
                }
            } catch (IOException e) {
                // closed by the other side
            }
        });
        sending.start();
        assertEquals("first", host.nextRequest().header("X-Trace-Id"));
        long readPauses = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(300);
        while (System.nanoTime() < readPauses) {
            node.loop.submit(() -> {}).sync();
        }
        paused.countDown();
        assertEquals("for first", c.receive().text());
        int refused = 0;
        for (int i = 0; i < count; i++) {
            Message response = c.receive();
            assertTrue(response.status() == 200 || response.status() == 503, "next" + i + ": " + response.status());
            refused += response.status() == 503 ? 1 : 0;
        }
        sending.join();
        assertEquals(1 + count - refused, host.requests.size()); // what was refused was not sent
        assertEquals("for last", c.send(orderRequest("last", "b")).receive().text());
    }

    /**
     * The event loop notices a close only after the task in which the module acts. An attempt that starts before that
     * would be sent for a client that has left.
     */
    @Test
    void noAttemptStartsIfItsClientLeftWhileTheLoopWasBusy() throws Exception {
        CountDownLatch[] gone = {new CountDownLatch(1), new CountDownLatch(1)};
        Server host = closeables.closeLater(new Server((m, s) -> s.close()));
        Node node = node(
                act -> new ScriptedModule(
                        (now, r) -> {
                            handledRequests.add(r);
                            if (r.id().equals("first")) {
                                await(gone[0]);
                            }
                            act.send(r.id(), "h0", 0);
                        },
                        r -> {
                            results.add(r);
                            if (r.id().equals("second") && r.outcome() == Outcome.RESET) {
                                await(gone[1]);
                                act.send(r.id(), "h0", 0);
                            }
                        }),
                c -> c,
                hostEntry("h0", host.address(), "ready"));
        Client first = client(node).send(orderRequest("first", "b"));
        next(handledRequests);
        first.close();
        gone[0].countDown();
        assertEquals(Outcome.MOOT, next(results).outcome());
        Client second = client(node).send(orderRequest("second", "b"));
        next(handledRequests);
        assertEquals(Outcome.RESET, next(results).outcome());
        second.close();
        gone[1].countDown();
        assertEquals(Outcome.MOOT, next(results).outcome());
        assertEquals(1, host.requests.size());
    }

    private static void await(CountDownLatch latch) {
        try {
            assertTrue(latch.await(TestEndpoints.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
