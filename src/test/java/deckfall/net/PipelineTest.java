package deckfall.net;

import static deckfall.net.TestEndpoints.TIMEOUT_MS;
import static deckfall.net.TestEndpoints.bytes;
import static deckfall.net.TestEndpoints.hostEntry;
import static deckfall.net.TestEndpoints.hostList;
import static deckfall.net.TestEndpoints.okResponse;
import static deckfall.net.TestEndpoints.viewRequest;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import deckfall.net.TestEndpoints.Client;
import deckfall.net.TestEndpoints.DiscoveryServer;
import deckfall.net.TestEndpoints.Message;
import deckfall.net.TestEndpoints.Server;
import java.io.IOException;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;

/** Tests clients that send many requests at once on one connection. */
@Timeout(2 * TIMEOUT_MS / 1000)
class PipelineTest {
    private static final int REQUESTS = 500;
    private static final String IMPROPER = "GET /nothing HTTP/1.1\r\nHost: h\r\n\r\n";

    @RegisterExtension
    final Closeables closeables = new Closeables();

    private Node node;

    @BeforeEach
    void start() throws IOException {
        Server host = closeables.closeLater(
                new Server((m, s) -> s.getOutputStream().write(okResponse("for " + m.header("X-Trace-Id")))));
        DiscoveryServer discovery =
                closeables.closeLater(new DiscoveryServer(hostList(1, true, hostEntry("h0", host.address(), "ready"))));
        node = TestEndpoints.node(TestEndpoints.config(discovery.server.address(), "127.0.0.1:0"));
        closeables.push(node::stop);
    }

    private Client client() throws IOException {
        return closeables.closeLater(new Client(node));
    }

    private static String refusedRequest(String id) {
        return viewRequest(id, TIMEOUT_MS)
                .replace("X-Plan: free", "X-Plan: tiny")
                .replace("X-Customer: 00000000b4d65521", "X-Customer: 0000000000000007");
    }

    /** Guards against requests that are left behind when a connection's turn is over. */
    @Test
    void allRequestsAreAnsweredInOrder() throws Exception {
        StringBuilder requests = new StringBuilder();
        requests.append(refusedRequest("first"));
        for (int i = 0; i < REQUESTS; i++) {
            requests.append(i % 10 == 0 ? viewRequest("v" + i, TIMEOUT_MS) : refusedRequest("r" + i));
        }
        Client c = client().send(requests.toString());
        assertEquals(200, c.receive().status());
        for (int i = 0; i < REQUESTS; i++) {
            Message response = c.receive();
            assertEquals(i % 10 == 0 ? 200 : 429, response.status(), "request " + i);
            assertEquals(i % 10 == 0 ? "for v" + i : "", response.text());
        }
        assertEquals(200, c.send(viewRequest("last", TIMEOUT_MS)).receive().status());
    }

    /** Guards against a connection that is served for ever although no request on it is proper. */
    @Test
    void connectionIsClosedAfterSomeImproperRequests() throws Exception {
        Client c = client();
        int answered = 0;
        Message response = c.send(IMPROPER).receive();
        while (response.header("Connection") == null) {
            assertEquals(404, response.status());
            assertTrue(answered++ < REQUESTS, "still open");
            response = c.send(IMPROPER).receive();
        }
        assertEquals("close", response.header("Connection"));
        assertNull(c.receive());
    }

    /** A client that sends something improper now and then, such as a new path, is still served. */
    @Test
    void connectionIsServedAfterAnImproperRequest() throws Exception {
        Client c = client();
        assertEquals(404, c.send(IMPROPER).receive().status());
        assertEquals(200, c.send(viewRequest("v", TIMEOUT_MS)).receive().status());
    }

    /** The requests of a batch that ends with an unfinished one are answered, and the rest is awaited. */
    @Test
    void unfinishedRequestBehindABatchIsAwaited() throws Exception {
        String last = viewRequest("last", TIMEOUT_MS);
        Client c = client();
        c.socket.getOutputStream().write(bytes(refusedRequest("q").repeat(40) + last.substring(0, 30)));
        for (int i = 0; i < 40; i++) {
            assertEquals(i == 0 ? 200 : 429, c.receive().status());
        }
        c.socket.getOutputStream().write(bytes(last.substring(30)));
        assertEquals("for last", c.receive().text());
    }
}
