package deckfall.net;

import com.fasterxml.jackson.databind.ObjectMapper;
import deckfall.DecisionModule;
import deckfall.Gateway.Actions;
import deckfall.Gateway.Events;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * Clients, hosts and a discovery service for tests of a node, on ports that the system chooses, and the messages that
 * they exchange.
 */
final class TestEndpoints {
    // Connections that fit in an accept queue with a backlog of one
    private static final int CONNECTIONS_IN_QUEUE_OF_ONE = 2;
    static final int TIMEOUT_MS = 30_000; // how long a test waits for an expected event

    private TestEndpoints() {}

    /** An HTTP message as received from a socket. */
    record Message(String startLine, Map<String, String> headers, byte[] body) {
        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String header(String name) {
            return headers.get(name.toLowerCase(java.util.Locale.ROOT));
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    /** Reads the next message. Returns null if the connection ends before or inside it. */
    static Message readMessage(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int b = in.read();
            if (b < 0) {
                return null;
            }
            head.write(b);
        }
        String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        Map<String, String> headers = new TreeMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            headers.put(
                    lines[i].substring(0, colon).toLowerCase(java.util.Locale.ROOT),
                    lines[i].substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        return body.length < length ? null : new Message(lines[0], headers, body);
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static byte[] okResponse(String body) {
        return bytes("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** What a server does with a request. It may keep the socket, write to it or close it. */
    interface RequestHandler {
        void handle(Message request, Socket socket) throws IOException, InterruptedException;
    }

    /** A server that records the requests it receives and passes them to a handler. */
    static final class Server implements Closeable {
        final List<Message> requests = new CopyOnWriteArrayList<>();
        final BlockingQueue<Message> pendingRequests = new LinkedBlockingQueue<>();
        // Connections that the other side has closed
        final BlockingQueue<Socket> closedConnections = new LinkedBlockingQueue<>();
        private final ServerSocket listener;
        private final List<Socket> connections = new CopyOnWriteArrayList<>();
        private final RequestHandler handler;

        Server(RequestHandler handler) throws IOException {
            this.handler = handler;
            listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
            startThread(this::accept);
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        private static void startThread(Runnable work) {
            Thread t = new Thread(work);
            t.setDaemon(true);
            t.start();
        }

        private void accept() {
            try {
                while (true) {
                    Socket s = listener.accept();
                    connections.add(s);
                    startThread(() -> serve(s));
                }
            } catch (IOException e) {
                // closed
            }
        }

        private void serve(Socket s) {
            try {
                for (Message m = readMessage(s.getInputStream()); m != null; m = readMessage(s.getInputStream())) {
                    requests.add(m);
                    pendingRequests.add(m);
                    handler.handle(m, s);
                }
            } catch (IOException | InterruptedException e) {
                // the connection has ended either way
            }
            closedConnections.add(s);
        }

        Message nextRequest() throws InterruptedException {
            return pendingRequests.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket s : connections) {
                s.close();
            }
        }
    }

    /** A server to which no connection can be established, as its accept queue is full. */
    static final class UnreachableServer implements Closeable {
        private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        private final List<SocketChannel> queueFillers = new ArrayList<>();

        UnreachableServer() throws IOException {
            for (int i = 0; i < CONNECTIONS_IN_QUEUE_OF_ONE; i++) {
                SocketChannel c = SocketChannel.open();
                queueFillers.add(c);
                c.connect(listener.getLocalSocketAddress());
            }
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        /** Accepts the next connection after those that filled the queue. */
        Socket accept() throws IOException {
            for (SocketChannel c : queueFillers) {
                c.close();
                listener.accept().close();
            }
            queueFillers.clear();
            return listener.accept();
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (SocketChannel c : queueFillers) {
                c.close();
            }
        }
    }

    /** A discovery service with one full list, and watches that wait until an update is added. */
    static final class DiscoveryServer implements Closeable {
        final BlockingQueue<String> updates = new LinkedBlockingQueue<>();
        final Server server;
        volatile String fullList;

        DiscoveryServer(String fullList) throws IOException {
            this.fullList = fullList;
            server = new Server((m, s) -> {
                String body = m.startLine().contains("from=") ? updates.take() : this.fullList;
                s.getOutputStream().write(okResponse(body));
            });
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    static String hostList(int version, boolean full, String... entries) {
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + String.join(",", entries) + "]}";
    }

    static String hostEntry(String id, String address, String state) {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + address + "\",\"zone\":\"a\",\"kind\":\"k\",\"cell\":0,"
                + "\"state\":\"" + state + "\",\"weight\":1.0,\"started_ms\":0}";
    }

    /** A client's connection to a node. */
    static final class Client implements Closeable {
        final Socket socket;

        Client(Node node) throws IOException {
            socket = new Socket(InetAddress.getLoopbackAddress(), node.port());
            socket.setSoTimeout(TIMEOUT_MS);
        }

        Client send(String text) throws IOException {
            socket.getOutputStream().write(bytes(text));
            return this;
        }

        Message receive() throws IOException {
            return readMessage(socket.getInputStream());
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static String viewRequest(String id, int expiresMs) {
        return "GET /view/" + id + "?z=3 HTTP/1.1\r\nHost: h\r\n" + headers(id, expiresMs) + "\r\n";
    }

    static String orderRequest(String id, String body) {
        return "POST /order/x HTTP/1.1\r\nHost: h\r\n" + headers(id, TIMEOUT_MS) + "Idempotency-Key: key-" + id
                + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static String headers(String id, int expiresMs) {
        return "X-Trace-Id: " + id + "\r\nX-Plan: free\r\nX-Customer: 00000000b4d65521\r\nX-Expires-In-Ms: " + expiresMs
                + "\r\nX-Quota: units=1,spread=1,first=0\r\n";
    }

    /** The configuration of a node with one repeatable and one keyed class of requests. */
    static String config(String discovery, String peerListen, String... peers) {
        List<String> quoted = new ArrayList<>();
        for (String p : peers) {
            quoted.add('"' + p + '"');
        }
        return """
                {"name": "n0", "listen": "127.0.0.1:0", "discovery": "%s", "seed": "8c1f30d27a5be964",
                 "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                 "peer_listen": "%s", "peers": [%s], "known": {"version": 0, "full": true, "servers": []},
                 "settings": {"ordinal": 0, "balancers": %d, "az": "a",
                  "limits": {"max_attempts": 3, "cancel": true, "peer_messages": true, "retry_after": true,
                   "max_retry_after_ms": 500, "connect_timeout_ms": 5000},
                  "rules": {"warm_within_ms": 1000, "cold_from": 0.2, "fall_multiple": 2},
                  "specifics": {"max_units": 4, "mail_per_s": 40},
                  "classes": [{"name": "view", "effect": "repeatable", "goal_time_ms": 20000, "hard_limit_ms": 60000},
                   {"name": "order", "effect": "by_key", "key_scope": "zone", "window_ms": 60000,
                    "goal_time_ms": 20000, "hard_limit_ms": 60000}],
                  "plans": [{"name": "free", "units_per_s": 100000, "depth": 100000},
                   {"name": "tiny", "units_per_s": 0.001, "depth": 1}]}}
                """.formatted(discovery, peerListen, String.join(",", quoted), Math.max(1, peers.length));
    }

    static Node node(String config) throws IOException {
        return node(config, DecisionModule::new);
    }

    static Node node(String config, Function<Actions, Events> module) throws IOException {
        Node node = new Node(NodeConfig.of(new ObjectMapper().readTree(config)), module);
        node.start();
        return node;
    }

    /** A node whose only host handles requests like this. Both are closed at the end of the test. */
    static Node nodeWithHost(Closeables closeables, RequestHandler handler) throws IOException {
        Server host = closeables.closeLater(new Server(handler));
        DiscoveryServer discovery =
                closeables.closeLater(new DiscoveryServer(hostList(1, true, hostEntry("h", host.address(), "ready"))));
        Node node = node(config(discovery.server.address(), "127.0.0.1:0"));
        closeables.push(node::stop);
        return node;
    }
}
