package deckfall.net;

import com.fasterxml.jackson.databind.ObjectMapper;
import deckfall.Gateway.CustomerSnapshot;
import deckfall.Gateway.Effect;
import deckfall.Gateway.Plan;
import deckfall.Gateway.RequestClass;
import deckfall.Gateway.Settings;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A short run of a node that is its own host, peer and discovery, so that the code of each part is executed. The build
 * runs it ({@code deckfall rehearse}) to store the classes it loads in a class data sharing archive, with which a
 * restarted node starts in half the time. A node runs it again before it serves, so that its first clients find
 * compiled code.
 */
public final class WarmUp {
    private static final int RESPONSE_TIMEOUT_MS = 10_000;
    private static final int MAX_REQUESTS = 400; // by then most methods that handle a request are compiled
    private static final long MAX_DURATION_MS = 3000;
    private static final int MAX_HEAD_BYTES = 512; // enough for the head of a response
    private static final String CONFIG_TEMPLATE = """
            {"name": "rehearsal", "listen": "%1$s", "discovery": "%1$s", "seed": "1", "peer_listen": "%1$s",
             "peers": ["%1$s", "%1$s"], "known": {"version": 1, "full": true, "servers": [{"id": "self",
               "addr": "%1$s", "zone": "a", "kind": "k", "cell": 0, "state": "ready", "weight": 1,
               "started_ms": 0}]},
             "settings": {"ordinal": 0, "balancers": 2, "az": "a", "limits": {"max_attempts": 3, "cancel": true,
               "peer_messages": true, "retry_after": true, "max_retry_after_ms": 500},
               "specifics": {"max_units": 4, "mail_per_s": 40}, "classes": [{"name": "view",
               "effect": "repeatable", "goal_time_ms": 300, "hard_limit_ms": 600}, {"name": "order",
               "effect": "once", "goal_time_ms": 300, "hard_limit_ms": 600}],
               "plans": [{"name": "p", "units_per_s": 10, "depth": 10, "cap_rate": 20, "never_over_depth": 20}]}}
            """;
    private static final String REQUEST_TEMPLATE =
            "%s /%s/%d HTTP/1.1\r\nHost: h\r\nX-Trace-Id: rehearsal-%d\r\nX-Plan: %s\r\n"
                    + "X-Customer: %016x\r\nX-Expires-In-Ms: 2000\r\nX-Quota: units=1,spread=%d,first=0\r\n"
                    + "Idempotency-Key: k\r\nContent-Length: %d\r\n\r\n%s";
    private static final String BODY = "a body of some length";

    private WarmUp() {}

    /** Runs a warm-up for the build. Returns when it is complete. */
    public static void run() throws IOException {
        NodeProcess.configureLogging();
        InetSocketAddress socketAddress = freePort(InetAddress.getLoopbackAddress());
        String address = socketAddress.getAddress().getHostAddress() + ':' + socketAddress.getPort();
        sendRequests(NodeConfig.of(new ObjectMapper().readTree(CONFIG_TEMPLATE.formatted(address))), MAX_DURATION_MS);
        exchangeSiblingFiles();
    }

    /**
     * Writes and reads sibling files, so that the archive contains the classes that a process needs if it starts beside
     * another one.
     */
    private static void exchangeSiblingFiles() throws IOException {
        Path folder = Files.createTempDirectory("rehearsal");
        SiblingFiles firstProcessFiles = new SiblingFiles(folder, 1);
        CustomerSnapshot customer = new CustomerSnapshot(1, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0);
        firstProcessFiles.write(new SiblingFiles.Status(1, 0, true, 0, 0, List.of(customer)));
        new SiblingFiles(folder, 2).presentSiblings(0);
        firstProcessFiles.remove();
        Files.delete(folder);
    }

    /**
     * Warms up a node before it serves, and returns how many requests were answered. Otherwise its first requests run
     * in the interpreter and compete with the compiler for a fraction of one core.
     *
     * <p>The warm-up has a port of its own. At the gateway's port a client could connect, whose request would be lost
     * when the warm-up ends, and if the listener is shared, another process may answer. A gateway with clients waiting
     * skips the warm-up, as each second of it would cost more requests than slower code does.
     */
    static int warmUp(NodeConfig config, boolean clientsWaiting) {
        return clientsWaiting ? 0 : warmUp(config);
    }

    private static int warmUp(NodeConfig config) {
        try {
            NodeConfig selfHosted = config.forWarmUp(freePort(config.listen().getAddress()));
            return sendRequests(selfHosted, MAX_DURATION_MS);
        } catch (IOException | RuntimeException e) {
            Node.log("warm-up failed: " + e.getMessage()); // the node serves anyway, only slower at first
            return 0;
        }
    }

    private static InetSocketAddress freePort(InetAddress address) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, address)) {
            return new InetSocketAddress(address, socket.getLocalPort());
        }
    }

    /** Sends requests to a node of its own; returns how many were answered. */
    private static int sendRequests(NodeConfig config, long maxDurationMs) throws IOException {
        int answered = 0;
        Node node = new Node(config);
        node.markAsWarmUp();
        try {
            node.start();
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(maxDurationMs);
            try (Socket socket =
                    new Socket(config.listen().getAddress(), config.listen().getPort())) {
                socket.setSoTimeout(RESPONSE_TIMEOUT_MS);
                socket.setTcpNoDelay(true);
                for (; answered < MAX_REQUESTS && System.nanoTime() < end; answered++) {
                    sendRequest(socket, request(config.settings(), answered));
                }
            }
        } finally {
            node.stop(); // otherwise the build would never end
        }
        return answered;
    }

    /** Builds a request. The numbers cycle through classes, plans and customers, and some exceed quotas. */
    private static String request(Settings settings, int number) {
        RequestClass requestClass =
                settings.classes().get(number % settings.classes().size());
        boolean repeatable = requestClass.effect() == Effect.REPEATABLE;
        String body = repeatable ? "" : BODY;
        return REQUEST_TEMPLATE.formatted(
                repeatable ? "GET" : "POST",
                requestClass.name(),
                number,
                number,
                planName(settings, number / 2),
                number % 64,
                1 + number % settings.gatewayCount(),
                body.length(),
                body);
    }

    private static String planName(Settings settings, int i) {
        List<Plan> plans = settings.plans();
        return plans.isEmpty() ? "none" : plans.get(i % plans.size()).name();
    }

    /**
     * Sends a request and reads the head of its response. No response has a body, as the only host is the node itself,
     * which refuses the requests it receives.
     */
    private static void sendRequest(Socket socket, String request) throws IOException {
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        byte[] head = new byte[MAX_HEAD_BYTES];
        int length = 0;
        while (length < 4 || head[length - 1] != '\n' || head[length - 3] != '\n') {
            int read =
                    length < MAX_HEAD_BYTES ? socket.getInputStream().read(head, length, MAX_HEAD_BYTES - length) : -1;
            if (read < 0) {
                throw new IOException("no response to a warm-up request");
            }
            length += read;
        }
    }
}
