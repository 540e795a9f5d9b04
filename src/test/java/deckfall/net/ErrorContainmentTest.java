package deckfall.net;

import static deckfall.net.TestEndpoints.TIMEOUT_MS;
import static deckfall.net.TestEndpoints.hostEntry;
import static deckfall.net.TestEndpoints.hostList;
import static deckfall.net.TestEndpoints.okResponse;
import static deckfall.net.TestEndpoints.orderRequest;
import static deckfall.net.TestEndpoints.viewRequest;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import deckfall.Gateway.Actions;
import deckfall.Gateway.Events;
import deckfall.Gateway.Refusal;
import deckfall.net.TestEndpoints.Client;
import deckfall.net.TestEndpoints.DiscoveryServer;
import deckfall.net.TestEndpoints.Server;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/** Tests with real connections that an Error ends what it concerns, and not the gateway for all its clients. */
class ErrorContainmentTest {
    @RegisterExtension
    final Closeables closeables = new Closeables();

    /** An error of the kind that an exhausted heap causes: whatever handles it runs into it again. */
    private static final class UnreportableError extends OutOfMemoryError {
        private static final long serialVersionUID = 1L;

        @Override
        public String getMessage() {
            throw this;
        }
    }

    private Node node(Function<Actions, Events> module) throws IOException {
        Server host = new Server((m, s) -> s.getOutputStream().write(okResponse("x")));
        closeables.push(host);
        DiscoveryServer discovery = new DiscoveryServer(hostList(1, true, hostEntry("h0", host.address(), "ready")));
        closeables.push(discovery);
        Node node = TestEndpoints.node(TestEndpoints.config(discovery.server.address(), "127.0.0.1:0"), module);
        closeables.push(node::stop);
        return node;
    }

    private Client client(Node node) throws IOException {
        Client client = new Client(node);
        closeables.push(client);
        return client;
    }

    /** Guards against an Error whose handling fails as well: it ended the event loop, and nobody was answered. */
    @Test
    void errorThatCannotBeReportedEndsOnlyItsConnection() throws Exception {
        Node node = node(act -> new ScriptedModule((now, r) -> {
            if (r.requestClass().equals("view")) {
                throw new UnreportableError();
            }
            act.refuse(r.id(), 100, Refusal.QUOTA);
        }));
        Client other = client(node);
        assertEquals(429, other.send(orderRequest("a", "x")).receive().status());
        assertNull(client(node).send(viewRequest("v", TIMEOUT_MS)).receive());
        assertEquals(429, other.send(orderRequest("b", "x")).receive().status());
        assertEquals(429, client(node).send(orderRequest("c", "x")).receive().status());
        assertFalse(node.group.isShuttingDown());
    }

    /** Guards against requests that stay open for good when the module fails on the end of their attempt. */
    @Test
    void requestEndsWhenTheModuleFailsOnItsAttempt() throws Exception {
        Node node = node(act -> new ScriptedModule((now, r) -> act.send(r.id(), "h0", 0), result -> {
            throw new UnreportableError();
        }));
        Client client = client(node);
        assertEquals("x", client.send(viewRequest("a", TIMEOUT_MS)).receive().text());
        assertEquals("x", client.send(viewRequest("b", TIMEOUT_MS)).receive().text());
        node.loop.submit(node::drain).sync();
        assertTrue(node.awaitDrained(TIMEOUT_MS));
    }

    /** Guards against periodic work that ends with its first Error, such as the check for clients that are too slow. */
    @Test
    void repeatedWorkGoesOnAfterAnError() throws Exception {
        Node node = node(act -> new ScriptedModule((now, r) -> {}));
        CountDownLatch runs = new CountDownLatch(3);
        node.repeat(1, "test", () -> {
            runs.countDown();
            throw new UnreportableError();
        });
        assertTrue(runs.await(TIMEOUT_MS, TimeUnit.MILLISECONDS));
    }
}
