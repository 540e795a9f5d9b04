package deckfall.soak;

import deckfall.soak.GatewayUnderTest.GatewayProcess;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Real gateway processes between clients and seat servers that write long responses, or read large requests, slowly.
 * The sockets of all of them have small buffers, as the buffers of loopback connections hide that a peer is slow.
 */
final class SlowPeers implements AutoCloseable {
    private static final int BUFFER_BYTES = 48 * 1024; // of each socket; the system doubles it
    private static final int SERVERS = 6;
    private static final int READ_TIMEOUT_MS = 20_000;
    private static final long READY_TIMEOUT_MS = 30_000;
    private static final int ANSWER_GRACE_MS = 500; // an answer that comes later is lost
    private static final int TIMED_BY_LAST_BYTE = 64 * 1024; // of longer answers the first byte is timed
    private static final int PIECE_MS = 50; // between the parts that a steady writer or a slow reader handles
    private static final int LAG_PROBE_MS = 5;
    private static final int PROBES_PER_PROCESS_CHECK = 20;
    private static final double NANOS_PER_MS = 1e6;

    /** How the end of a message is marked. */
    enum Framing {
        LENGTH,
        CHUNKED,
        /** The close of the connection ends the message, which has announced it. */
        CLOSE
    }

    /** A lookup whose response has this many bytes, written {@code lumpMs} worth of them at a time. */
    record LongResponse(Framing framing, int bytes, int bytesPerSecond, int lumpMs, int waitMs) {}

    /** A booking with a body of this many bytes, of which the server reads so many a second, and no more than a part. */
    record LargeRequest(Framing framing, int bytes, int bytesPerSecond, int readAtMost, int waitMs) {}

    private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
    private final SimulatedDiscovery discovery = new SimulatedDiscovery((EventLoop) eventLoops.next());
    private final List<GatewayUnderTest> gateways = new ArrayList<>();
    private final List<SlowServer> servers = new ArrayList<>();
    private final ConcurrentLinkedQueue<String> broken = new ConcurrentLinkedQueue<>();
    private final Map<String, ConcurrentLinkedQueue<Double>> arrivals = new ConcurrentHashMap<>();
    private final Thread lagProbe = new Thread(this::probeLag);
    private volatile double maxLagMs;
    private int nextId;

    /** Starts gateways of one process each. */
    SlowPeers(Path folder, int gatewayCount, String faults) throws IOException, InterruptedException {
        this(folder, gatewayCount, faults, false);
    }

    /** The same; with an inherited listener, a second process can serve beside the first one. */
    SlowPeers(Path folder, int gatewayCount, String faults, boolean inheritsListener)
            throws IOException, InterruptedException {
        for (int i = 0; i < SERVERS; i++) {
            SlowServer server = new SlowServer();
            servers.add(server);
            discovery.publish("s-" + i, server.address(), "ready", 0);
        }
        FaultLibrary library = FaultLibrary.compile(folder);
        for (int g = 0; g < gatewayCount; g++) {
            GatewayUnderTest gateway = new GatewayUnderTest(
                    g,
                    inheritsListener,
                    SoakOptions.DEFAULT_SOCKETS,
                    folder.resolve("g" + g),
                    library,
                    SoakCommand.command());
            gateways.add(gateway);
            gateway.configure(config(gateway));
            gateway.start(plan(faults));
        }
        for (GatewayUnderTest gateway : gateways) {
            awaitReady(gateway.processes.get(0));
        }
        lagProbe.setDaemon(true);
        lagProbe.start();
    }

    private static String plan(String faults) {
        return "buffers," + BUFFER_BYTES + (faults.isEmpty() ? "" : ";" + faults);
    }

    /** Starts another process of a gateway and waits until it is ready. */
    GatewayProcess startAnother(int gateway) throws IOException, InterruptedException {
        GatewayProcess process = gateways.get(gateway).start(plan(""));
        awaitReady(process);
        return process;
    }

    private static void awaitReady(GatewayProcess process) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS);
        while (!process.isReady()) {
            if (!process.isAlive() || System.nanoTime() > end) {
                throw new IllegalStateException("a gateway did not become ready");
            }
            Thread.sleep(PIECE_MS);
        }
    }

    private String config(GatewayUnderTest gateway) {
        return """
                {"name": "n%d", "listen": "127.0.0.1:%d", "discovery": "%s", "seed": "%x",
                 "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": %s,
                 "settings": {"ordinal": 0, "balancers": 1, "az": "a",
                  "limits": {"max_attempts": 3, "cancel": true, "max_retry_after_ms": 1000, "connect_timeout_ms": 250},
                  "rules": {"answer_slack_ms": 8, "drain_grace_ms": 250, "fall_multiple": 4, "fall_ms": 2000,
                   "cold_from": 0.15, "warm_within_ms": 18000},
                  "specifics": {"max_units": 1},
                  "classes": [
                   {"name": "seat-lookup", "effect": "repeatable", "goal_time_ms": 1000, "hard_limit_ms": 2500, "worth": 1},
                   {"name": "seat-booking", "effect": "once", "goal_time_ms": 1500, "hard_limit_ms": 6000, "worth": 5}],
                  "plans": [{"name": "basic", "units_per_s": 100000, "depth": 100000},
                   {"name": "tiny", "units_per_s": 0.001, "depth": 1}]}}
                """.formatted(
                        gateway.number,
                        gateway.address().getPort(),
                        discovery.address(0),
                        gateway.number + 1,
                        discovery.fullList());
    }

    static double nowMs() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    /** Measures how late threads of this process and of the gateways get to run: answers may be that much later. */
    private void probeLag() {
        for (int i = 0; ; i++) {
            if (i % PROBES_PER_PROCESS_CHECK == 0) {
                gateways.forEach(gateway ->
                        gateway.processes.forEach(process -> maxLagMs = Math.max(maxLagMs, process.runDelayMs())));
            }
            double before = nowMs();
            try {
                Thread.sleep(LAG_PROBE_MS);
            } catch (InterruptedException e) {
                return;
            }
            maxLagMs = Math.max(maxLagMs, nowMs() - before - LAG_PROBE_MS);
        }
    }

    /** The first process of a gateway. */
    GatewayProcess process(int gateway) {
        return gateways.get(gateway).processes.get(0);
    }

    /** The most memory that a gateway has had resident so far. */
    long peakMemoryBytes(int gateway) throws IOException {
        String status =
                Files.readString(Path.of("/proc/" + process(gateway).handle.pid() + "/status"));
        String line =
                status.lines().filter(l -> l.startsWith("VmHWM")).findFirst().orElseThrow();
        return Long.parseLong(line.replaceAll("[^0-9]", "")) * 1024;
    }

    /**
     * Sends ordinary lookups to a gateway, one every {@code intervalMs} and each on a connection of its own, until the
     * returned handle is closed. Those that are not answered in time are among {@link #broken}.
     */
    OrdinaryClients startOrdinaryClients(int gateway, int intervalMs, int waitMs) {
        return new OrdinaryClients(gateway, intervalMs, waitMs);
    }

    /** Clients that keep sending ordinary lookups. */
    final class OrdinaryClients implements AutoCloseable {
        final AtomicInteger served = new AtomicInteger();
        final AtomicInteger sent = new AtomicInteger();
        private final ScheduledExecutorService clock = Executors.newSingleThreadScheduledExecutor();
        private final ExecutorService clients = Executors.newCachedThreadPool();

        private OrdinaryClients(int gateway, int intervalMs, int waitMs) {
            clock.scheduleAtFixedRate(
                    () -> clients.execute(() -> lookUpQuickly(gateway, waitMs)), 0, intervalMs, TimeUnit.MILLISECONDS);
        }

        private void lookUpQuickly(int gateway, int waitMs) {
            String id = newId();
            LongResponse expected = new LongResponse(Framing.LENGTH, id.length(), 0, 0, waitMs);
            try (Socket socket = connect(gateway)) {
                socket.getOutputStream().write(ascii(head("GET", "/seat-lookup/x", id, waitMs) + "\r\n"));
                sent.incrementAndGet();
                double sentAtMs = nowMs();
                Response response = Response.read(socket.getInputStream());
                checkTime(gateway, id, expected, response, sentAtMs + waitMs);
                served.addAndGet(response.status == 200 ? 1 : 0);
            } catch (IOException e) {
                broken.add(id + " on gateway " + gateway + ": " + e);
            }
        }

        @Override
        public void close() {
            clock.shutdownNow();
            clients.shutdown();
            try {
                clients.awaitTermination(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** When small requests arrived at seat servers, by id, in milliseconds of {@link #nowMs}. */
    Map<String, ConcurrentLinkedQueue<Double>> arrivals() {
        return arrivals;
    }

    /** What broke a rule so far, a line each. */
    List<String> broken() {
        return List.copyOf(broken);
    }

    // ---- clients

    /** One request after another, each on a connection of its own, to one gateway. */
    private final class ClientThread extends Thread {
        private final int gateway;
        private final List<Record> requests;

        ClientThread(int gateway, List<Record> requests) {
            this.gateway = gateway;
            this.requests = requests;
        }

        @Override
        public void run() {
            for (Record request : requests) {
                try {
                    if (request instanceof LongResponse response) {
                        lookUp(gateway, response);
                    } else {
                        book(gateway, (LargeRequest) request);
                    }
                } catch (IOException | InterruptedException e) {
                    broken.add(request + " on gateway " + gateway + ": " + e);
                }
            }
        }
    }

    /** Sends the requests of each list one after another, all lists at once, to each gateway; waits for all answers. */
    void sendToEachGateway(List<List<Record>> lists) throws InterruptedException {
        List<Thread> clients = new ArrayList<>();
        for (int g = 0; g < gateways.size(); g++) {
            for (List<Record> list : lists) {
                Thread client = new ClientThread(g, list);
                clients.add(client);
                client.start();
            }
        }
        for (Thread client : clients) {
            client.join();
        }
    }

    private synchronized String newId() {
        return String.format(Locale.ROOT, "%016x", ++nextId);
    }

    /** Opens a connection with small buffers to a gateway. */
    Socket connect(int gateway) throws IOException {
        Socket socket = new Socket();
        socket.setSendBufferSize(BUFFER_BYTES);
        socket.setReceiveBufferSize(BUFFER_BYTES);
        socket.setTcpNoDelay(true);
        socket.connect(gateways.get(gateway).address());
        socket.setSoTimeout(READ_TIMEOUT_MS);
        return socket;
    }

    /** The head of a request, without the line that ends it. */
    static String head(String method, String target, String id, int waitMs) {
        return method + " " + target + " HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: " + id
                + "\r\nX-Plan: basic\r\nX-Customer: 00000000b4d65521\r\nX-Expires-In-Ms: " + waitMs
                + "\r\nX-Quota: units=1,spread=1,first=0\r\n";
    }

    private void lookUp(int gateway, LongResponse expected) throws IOException {
        String id = newId();
        String target = String.format(
                Locale.ROOT,
                "/seat-lookup/x?framing=%s&bytes=%d&rate=%d&lump=%d",
                expected.framing,
                expected.bytes,
                expected.bytesPerSecond,
                expected.lumpMs);
        try (Socket socket = connect(gateway)) {
            socket.getOutputStream().write(ascii(head("GET", target, id, expected.waitMs) + "\r\n"));
            double sentAtMs = nowMs();
            Response response = Response.read(socket.getInputStream());
            checkTime(gateway, id, expected, response, sentAtMs + expected.waitMs);
            if (response.status != 200 || response.bodyBytes != expected.bytes || !response.complete) {
                broken.add(id + " " + expected + " on gateway " + gateway + " was cut off: status " + response.status
                        + ", " + response.bodyBytes + " bytes, " + (response.complete ? "whole" : "broken off"));
            }
        }
    }

    private void checkTime(int gateway, String id, Record request, Response response, double dueAtMs) {
        double countedAtMs = response.bodyBytes > TIMED_BY_LAST_BYTE ? response.firstByteAtMs : response.lastByteAtMs;
        double lateMs = countedAtMs - dueAtMs - ANSWER_GRACE_MS - maxLagMs;
        if (response.status == 0 || lateMs > 0) {
            broken.add(String.format(
                    Locale.ROOT,
                    "%s %s on gateway %d: status %d came %.0f ms after its time (lag %.0f ms)",
                    id,
                    request,
                    gateway,
                    response.status,
                    countedAtMs - dueAtMs,
                    maxLagMs));
        }
    }

    private void book(int gateway, LargeRequest request) throws IOException, InterruptedException {
        String id = newId();
        String target = String.format(
                Locale.ROOT, "/seat-booking/x?rate=%d&most=%d", request.bytesPerSecond, request.readAtMost);
        String length = request.framing == Framing.CHUNKED
                ? "Transfer-Encoding: chunked\r\n\r\n"
                : "Content-Length: " + request.bytes + "\r\n\r\n";
        try (Socket socket = connect(gateway)) {
            CountDownLatch written = new CountDownLatch(1);
            double[] sentAtMs = {Double.NaN};
            Thread writer = new Thread(() -> {
                try {
                    writeBody(socket.getOutputStream(), head("POST", target, id, request.waitMs) + length, request);
                    synchronized (sentAtMs) {
                        sentAtMs[0] = nowMs();
                    }
                } catch (IOException e) {
                    // the gateway has answered and closed the connection
                }
                written.countDown();
            });
            writer.start();
            Response response = Response.read(socket.getInputStream());
            synchronized (sentAtMs) {
                if (response.lastByteAtMs > 0 && Double.isNaN(sentAtMs[0])) {
                    return; // answered before it was written: never late
                }
                checkTime(gateway, id, request, response, sentAtMs[0] + request.waitMs);
            }
            written.await();
        }
    }

    private static void writeBody(OutputStream out, String head, LargeRequest request) throws IOException {
        out.write(ascii(head));
        byte[] part = new byte[16 * 1024];
        for (int left = request.bytes; left > 0; left -= part.length) {
            int length = Math.min(left, part.length);
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            writePart(bytes, request.framing, part, length);
            if (left <= part.length && request.framing == Framing.CHUNKED) {
                bytes.writeBytes(ascii("0\r\n\r\n"));
            }
            bytes.writeTo(out);
        }
    }

    private static void writePart(OutputStream out, Framing framing, byte[] part, int length) throws IOException {
        if (framing == Framing.CHUNKED) {
            out.write(ascii(Integer.toHexString(length) + "\r\n"));
        }
        out.write(part, 0, length);
        if (framing == Framing.CHUNKED) {
            out.write(ascii("\r\n"));
        }
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** A response as its client saw it; status 0 if none came. */
    static final class Response {
        int status;
        int bodyBytes;
        boolean complete;
        double firstByteAtMs;
        double lastByteAtMs;

        static Response read(InputStream raw) {
            Response response = new Response();
            try {
                InputStream in = new BufferedInputStream(raw);
                response.readFrom(in);
            } catch (IOException e) {
                // broken off or never answered
            }
            return response;
        }

        private void readFrom(InputStream in) throws IOException {
            in.mark(1);
            if (in.read() < 0) {
                return;
            }
            in.reset();
            firstByteAtMs = nowMs();
            Map<String, String> fields = new TreeMap<>();
            String first = readHead(in, fields);
            status = Integer.parseInt(first.split(" ")[1]);
            String length = fields.get("content-length");
            if (fields.containsKey("transfer-encoding")) {
                readChunks(in);
            } else if (length != null) {
                complete = readBytes(in, Integer.parseInt(length));
            }
            lastByteAtMs = nowMs();
        }

        private void readChunks(InputStream in) throws IOException {
            while (true) {
                int size = Integer.parseInt(readLine(in), 16);
                if (!readBytes(in, size)) {
                    return;
                }
                readLine(in);
                if (size == 0) {
                    complete = true;
                    return;
                }
            }
        }

        private boolean readBytes(InputStream in, int count) throws IOException {
            byte[] buffer = new byte[16 * 1024];
            int left = count;
            while (left > 0) {
                int read = in.read(buffer, 0, Math.min(left, buffer.length));
                if (read < 0) {
                    return false;
                }
                left -= read;
                bodyBytes += read;
            }
            return true;
        }
    }

    private static String readHead(InputStream in, Map<String, String> fields) throws IOException {
        String first = readLine(in);
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            fields.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return first;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new IOException("the connection has ended");
            }
            if (b != '\r') {
                line.append((char) b);
            }
        }
        return line.toString();
    }

    // ---- seat servers

    /** A seat server that does what the query of each request says. */
    private final class SlowServer {
        private final ServerSocket listener = new ServerSocket();

        SlowServer() throws IOException {
            listener.setReceiveBufferSize(BUFFER_BYTES);
            listener.bind(new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), 0), SoakOptions.FEW_SOCKETS);
            daemon(() -> {
                while (true) {
                    Socket socket = listener.accept();
                    daemon(() -> serve(socket));
                }
            });
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        private interface Action {
            void run() throws IOException, InterruptedException;
        }

        private void daemon(Action action) {
            Thread thread = new Thread(() -> {
                try {
                    action.run();
                } catch (IOException | InterruptedException e) {
                    // the connection or the test has ended
                }
            });
            thread.setDaemon(true);
            thread.start();
        }

        private void serve(Socket socket) throws IOException, InterruptedException {
            try (socket) {
                socket.setTcpNoDelay(true);
                socket.setSendBufferSize(BUFFER_BYTES);
                InputStream in = new BufferedInputStream(socket.getInputStream(), 1024);
                while (true) {
                    Map<String, String> fields = new TreeMap<>();
                    String first = readHead(in, fields);
                    Map<String, String> query = query(first.split(" ")[1]);
                    if (!query.containsKey("rate")) {
                        readAndAnswer(in, fields, query, socket.getOutputStream());
                        continue;
                    }
                    if (query.containsKey("most")) {
                        readSlowly(in, Integer.parseInt(query.get("rate")), Integer.parseInt(query.get("most")));
                        return;
                    }
                    writeSlowly(socket.getOutputStream(), query);
                    if (query.get("framing").equals(Framing.CLOSE.name())) {
                        return;
                    }
                }
            }
        }

        /** Answers a small request with its id, after a delay if the query asks for one. */
        private void readAndAnswer(
                InputStream in, Map<String, String> fields, Map<String, String> query, OutputStream out)
                throws IOException, InterruptedException {
            in.readNBytes(Integer.parseInt(fields.getOrDefault("content-length", "0")));
            String id = fields.get("x-trace-id");
            arrivals.computeIfAbsent(id, key -> new ConcurrentLinkedQueue<>()).add(nowMs());
            Thread.sleep(Long.parseLong(query.getOrDefault("delay", "0")));
            out.write(ascii("HTTP/1.1 200 OK\r\nContent-Length: " + id.length() + "\r\n\r\n" + id));
        }

        private Map<String, String> query(String target) {
            Map<String, String> query = new TreeMap<>();
            if (target.indexOf('?') < 0) {
                return query;
            }
            for (String part : target.substring(target.indexOf('?') + 1).split("&")) {
                int equals = part.indexOf('=');
                query.put(part.substring(0, equals), part.substring(equals + 1));
            }
            return query;
        }

        /** Reads at a rate until the connection ends, or until it has read {@code most} bytes, and then no more. */
        private void readSlowly(InputStream in, int bytesPerSecond, int most) throws IOException, InterruptedException {
            int pieceBytes = bytesPerSecond * PIECE_MS / 1000;
            for (int total = 0; total < most; total += pieceBytes) {
                if (in.readNBytes(pieceBytes).length < pieceBytes) {
                    return;
                }
                Thread.sleep(PIECE_MS);
            }
            Thread.sleep(READ_TIMEOUT_MS);
        }

        private void writeSlowly(OutputStream out, Map<String, String> query) throws IOException, InterruptedException {
            Framing framing = Framing.valueOf(query.get("framing"));
            int bytes = Integer.parseInt(query.get("bytes"));
            int lumpMs = Integer.parseInt(query.get("lump"));
            int lumpBytes = (int) (Long.parseLong(query.get("rate")) * lumpMs / 1000);
            String end = switch (framing) {
                case LENGTH -> "Content-Length: " + bytes;
                case CHUNKED -> "Transfer-Encoding: chunked";
                case CLOSE -> "Connection: close";
            };
            out.write(ascii("HTTP/1.1 200 OK\r\n" + end + "\r\n\r\n"));
            byte[] lump = new byte[lumpBytes];
            for (int left = bytes; left > 0; left -= lumpBytes) {
                Thread.sleep(lumpMs);
                writePart(out, framing, lump, Math.min(left, lumpBytes));
            }
            if (framing == Framing.CHUNKED) {
                out.write(ascii("0\r\n\r\n"));
            }
        }
    }

    @Override
    public void close() throws IOException {
        lagProbe.interrupt();
        for (GatewayUnderTest gateway : gateways) {
            gateway.close();
        }
        for (SlowServer server : servers) {
            server.listener.close();
        }
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
