package deckfall.net;

import static deckfall.net.Sockets.entry;
import static deckfall.net.Sockets.list;
import static deckfall.net.Sockets.ok;
import static deckfall.net.Sockets.order;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import com.fasterxml.jackson.databind.ObjectMapper;
import deckfall.Brain;
import deckfall.Gateway.Actions;
import deckfall.Gateway.AttemptResult;
import deckfall.Gateway.Events;
import deckfall.Gateway.Outcome;
import deckfall.Gateway.Request;
import deckfall.net.Sockets.Client;
import deckfall.net.Sockets.Message;
import deckfall.net.Sockets.Registry;
import deckfall.net.Sockets.Server;
import deckfall.net.Sockets.Unreachable;
import java.io.Closeable;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Two events that cross, in the bad order each time: one end of each is in the test's hands. */
class CrossingTest {
    private final Deque<Closeable> ends = new ArrayDeque<>();
    private final BlockingQueue<Request> asked = new LinkedBlockingQueue<>(); // after the module has acted on it
    private final BlockingQueue<AttemptResult> results = new LinkedBlockingQueue<>();
    private Registry registry;

    @AfterEach
    void close() throws IOException {
        for (Closeable c : ends) {
            c.close();
        }
    }

    private <T extends Closeable> T kept(T end) {
        ends.push(end);
        return end;
    }

    private static void echo(Message m, Socket s) throws IOException {
        s.getOutputStream().write(ok("for " + m.header("X-Trace-Id")));
    }

    private static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
        T next = queue.poll(Sockets.PATIENCE_MS, TimeUnit.MILLISECONDS);
        assertNotNull(next, "nothing came");
        return next;
    }

    /** Connections may take as long as requests to come up. */
    private Node node(Function<Actions, Events> module, UnaryOperator<String> change, String... entries)
            throws IOException {
        registry = kept(new Registry(list(1, true, entries)));
        String config = Sockets.config(registry.server.address(), "127.0.0.1:0")
                .replace("\"connect_timeout_ms\": 5000", "\"connect_timeout_ms\": 60000");
        Node node = new Node(NodeConfig.of(new ObjectMapper().readTree(change.apply(config))), module);
        ends.push(node::stop);
        node.start();
        return node;
    }

    private Client client(Node node) throws IOException {
        return kept(new Client(node));
    }

    /** A module that sends each request to one host. */
    private Function<Actions, Events> sending(String host) {
        return act -> new Scripted((now, r) -> {
            act.send(r.id(), host, 0);
            asked.add(r);
        }, results::add);
    }

    /** The module itself, with what it was told of noted once it has acted on it. */
    private Events noted(Actions act) {
        Brain brain = new Brain(act);
        return (Events) Proxy.newProxyInstance(Events.class.getClassLoader(), new Class<?>[] {Events.class},
                (proxy, method, args) -> {
                    Object answer = method.invoke(brain, args);
                    switch (method.getName()) {
                        case "request" -> asked.add((Request) args[1]);
                        case "attemptEnded" -> results.add((AttemptResult) args[1]);
                        default -> { }
                    }
                    return answer;
                });
    }

    /** The first byte counts: it would go to a draining host whenever the connection comes up. */
    @Test
    void whatWaitsForAConnectionToAHostGoesElsewhereOnceThatDrains() throws Exception {
        for (String state : new String[] {"draining", "gone"}) {
            Unreachable slow = kept(new Unreachable());
            Server other = kept(new Server(CrossingTest::echo));
            Node node = node(this::noted, c -> c, entry("h0", slow.address(), "ready"));
            Client c = client(node).send(order("o", "b"));
            assertEquals("o", next(asked).id());
            registry.news.add(list(2, false, entry("h0", slow.address(), state), entry("h1", other.address(), "ready")));
            assertEquals("for o", c.receive().text());
            assertEquals(Outcome.FULL, next(results).outcome());
            assertEquals(Outcome.OK, next(results).outcome());
        }
    }

    /** The same where a host has restarted, or has left the list without a word. */
    @Test
    void whatWaitsForAConnectionToAFormerLifeOfAHostIsTurnedBack() throws Exception {
        String[] lists = {list(2, true), list(2, false, entry("h0", "127.0.0.1:1", "ready"))};
        for (String news : lists) {
            Unreachable slow = kept(new Unreachable());
            Node node = node(sending("h0"), c -> c, entry("h0", slow.address(), "ready"));
            client(node).send(order("o", "b"));
            assertEquals("o", next(asked).id());
            registry.news.add(news);
            assertEquals(Outcome.FULL, next(results).outcome());
        }
    }
}
