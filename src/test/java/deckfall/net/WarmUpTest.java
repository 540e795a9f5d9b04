package deckfall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import deckfall.net.TestEndpoints.Client;
import deckfall.net.TestEndpoints.DiscoveryServer;
import deckfall.net.TestEndpoints.Server;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the warm-up of a node before it serves. */
class WarmUpTest {
    private static final String HEALTH_REQUEST = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n";

    private static NodeConfig config(String text) throws Exception {
        return NodeConfig.of(new ObjectMapper().readTree(text));
    }

    /**
     * Warm-up requests must not reach a host, and no client may reach a warm-up: the configured address is in use here.
     */
    @Test
    void warmUpRequestsReachNoHostAndNoDiscovery() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Server host = new Server((m, s) -> s.getOutputStream().write(TestEndpoints.okResponse("")));
                DiscoveryServer discovery = new DiscoveryServer(
                        TestEndpoints.hostList(1, true, TestEndpoints.hostEntry("h0", host.address(), "ready")))) {
            String text = TestEndpoints.config(discovery.server.address(), "127.0.0.1:0")
                    .replace("127.0.0.1:0\", \"disc", "127.0.0.1:" + listener.getLocalPort() + "\", \"disc");
            assertTrue(WarmUp.warmUp(config(text), false) > 0);
            assertEquals(List.of(), host.requests);
            assertEquals(List.of(), discovery.server.requests);
        }
    }

    /** Settings without plans limit no customer; the start once divided by the number of plans. */
    @Test
    void warmUpAndServingWorkWithoutPlans() throws Exception {
        try (Server host = new Server((m, s) -> s.getOutputStream().write(TestEndpoints.okResponse("")));
                DiscoveryServer discovery = new DiscoveryServer(
                        TestEndpoints.hostList(1, true, TestEndpoints.hostEntry("h0", host.address(), "ready")))) {
            String text = TestEndpoints.config(discovery.server.address(), "127.0.0.1:0")
                    .replaceAll("(?s),\\s*\"plans\": \\[.*?\\]", "");
            assertTrue(WarmUp.warmUp(config(text), false) > 0);
            Node node = TestEndpoints.node(text);
            try (Client c = new Client(node)) {
                String bare =
                        TestEndpoints.viewRequest("v", TestEndpoints.TIMEOUT_MS).replace("X-Plan: free\r\n", "");
                assertEquals(200, c.send(bare).receive().status());
            } finally {
                node.stop();
            }
        }
    }

    /** Meanwhile its clients would find a closed port, and many gateways may be restarting at once. */
    @Test
    void warmUpIsSkippedWhenClientsAreWaiting() throws Exception {
        String text = TestEndpoints.config("127.0.0.1:1", "127.0.0.1:0");
        assertEquals(0, WarmUp.warmUp(config(text), true));
    }

    @Test
    void healthCheckFailsDuringWarmUp() throws Exception {
        Node node = new Node(config(TestEndpoints.config("127.0.0.1:1", "127.0.0.1:0")));
        node.markAsWarmUp();
        node.start();
        try (Client c = new Client(node)) {
            assertEquals(503, c.send(HEALTH_REQUEST).receive().status());
        } finally {
            node.stop();
        }
    }
}
