import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;

/**
 * Stand-ins for the cases: seat servers, discovery, clients, and the platform that starts a gateway by the deploy file.
 * All addresses are loopback addresses. Each stand-in runs on threads of this process; a gateway is a process of its
 * own.
 */
final class Bench implements AutoCloseable {
    /** A second answer that would be later than this is left out: a stand-in may be slow itself. */
    static final double MAX_SECOND_ANSWER_MS = 12;
    static final String HOST = "127.0.0.1";

    final Path root; // of the repository
    final Path folder; // temporary; for configurations, logs and the TMPDIR of each gateway
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final List<Gateway> gateways = new ArrayList<>();
    private final List<AutoCloseable> others = new ArrayList<>();

    Bench(Path root, Path recordFile) throws IOException {
        this.root = root;
        this.folder = Files.createTempDirectory("review-case");
        this.record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        note("disruption: " + (trouble ? "on" : "off"));
    }

    /** Milliseconds since the start of the case. */
    double now() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    synchronized void note(String line) {
        record.println(String.format(Locale.ROOT, "%9.1f %s", now(), line));
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread thread(String name, IoRunnable body) {
        Thread t = new Thread(
                () -> {
                    try {
                        body.run();
                    } catch (IOException e) {
                        // the connection ended; what that means is judged where it is read
                    }
                },
                name);
        t.setDaemon(true);
        t.start();
        return t;
    }

    interface IoRunnable {
        void run() throws IOException;
    }

    static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return s.getLocalPort();
        }
    }

    @Override
    public synchronized void close() {
        for (Gateway g : gateways) {
            g.kill();
        }
        gateways.clear();
        for (AutoCloseable o : others) {
            try {
                o.close();
            } catch (Exception e) {
                // it is closed
            }
        }
        others.clear();
        try (var files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
        } catch (IOException e) {
            // the folder is gone
        }
    }

    // ---- messages

    /** An HTTP/1.1 message: the first line, the header fields by lower-case name, and the body. */
    static final class Message {
        String first = "";
        final Map<String, String> fields = new TreeMap<>();
        byte[] body = new byte[0];
        boolean whole; // false if the connection ended before the end of the message

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String field(String name) {
            return fields.getOrDefault(name, "");
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            if (b != '\r') {
                out.write(b);
            }
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads one message; null if the connection ended before its first byte. */
    static Message read(InputStream in) throws IOException {
        Message m = new Message();
        String first = line(in);
        if (first == null) {
            return null;
        }
        m.first = first;
        for (String l = line(in); l != null && !l.isEmpty(); l = line(in)) {
            int colon = l.indexOf(':');
            m.fields.put(l.substring(0, colon).toLowerCase(Locale.ROOT), l.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (m.field("transfer-encoding").equalsIgnoreCase("chunked")) {
            while (true) {
                String size = line(in);
                if (size == null) {
                    return m;
                }
                int n = Integer.parseInt(size.trim(), 16);
                byte[] chunk = in.readNBytes(n);
                body.writeBytes(chunk);
                if (chunk.length < n || line(in) == null) {
                    return m;
                }
                if (n == 0) {
                    break;
                }
            }
        } else if (!m.field("content-length").isEmpty()) {
            int n = Integer.parseInt(m.field("content-length"));
            body.writeBytes(in.readNBytes(n));
            if (body.size() < n) {
                return m;
            }
        }
        m.body = body.toByteArray();
        m.whole = true;
        return m;
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** A client's request in the form of the protocol page. */
    static byte[] request(
            String method, String path, String id, String plan, long customer, int expiresInMs, byte[] body) {
        String head = method + " " + path + " HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: " + id + "\r\nX-Plan: "
                + plan + "\r\nX-Customer: " + String.format("%016x", customer) + "\r\nX-Expires-In-Ms: " + expiresInMs
                + "\r\nX-Quota: units=1,spread=1,first=0\r\n"
                + (method.equals("POST") ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(ascii(head));
        out.writeBytes(body);
        return out.toByteArray();
    }

    private static final AtomicLong IDS = new AtomicLong(System.nanoTime());

    /** A fresh trace id. */
    static String id() {
        return String.format("%016x", IDS.incrementAndGet() * 0x9E3779B97F4A7C15L);
    }

    /** Measures how long this process itself was held up, by a thread that sleeps 10 ms at a time. */
    final class Pause {
        private volatile double longestMs;

        Pause() {
            thread("pause", () -> {
                for (double last = now(); ; last = now()) {
                    sleep(10);
                    longestMs = Math.max(longestMs, now() - last - 10);
                }
            });
        }

        double longestMs() {
            return longestMs;
        }
    }

    // ---- seat servers

    /** What a seat server does with a request: it works so long, then writes the answer of this status. */
    record Work(long ms, int status, String body) {}

    /** A sound seat server: one request at a time on a connection, and each is answered after its work. */
    final class SeatServer implements AutoCloseable {
        final String name;
        final ServerSocket listener;
        volatile Function<Message, Work> work = m -> new Work(30, 200, "seat " + m.field("x-trace-id"));
        /** By id: how long after the answer its second copy was written, at most. */
        final Map<String, Double> secondAnswers = java.util.Collections.synchronizedMap(new LinkedHashMap<>());
        volatile double secondShare = 1;
        volatile int secondAnswerMs; // if above 0, each answer is written a second time so much later
        final Map<String, Double> begun = java.util.Collections.synchronizedMap(new LinkedHashMap<>());
        /** By path: how often a booking was begun. */
        final Map<String, Integer> bookings = java.util.Collections.synchronizedMap(new LinkedHashMap<>());

        SeatServer(String name) throws IOException {
            this.name = name;
            this.listener = new ServerSocket(0, 512, InetAddress.getByName(HOST));
            others.add(this);
            thread(name, () -> {
                while (true) {
                    Socket s = listener.accept();
                    thread(name + "-c", () -> serve(s));
                }
            });
        }

        String entry(String state) {
            return "{\"id\":\"" + name + "\",\"addr\":\"" + HOST + ":" + listener.getLocalPort()
                    + "\",\"zone\":\"akl-dc1\",\"kind\":\"std-4core\",\"cell\":0,\"state\":\"" + state
                    + "\",\"weight\":1.0,\"started_ms\":0}";
        }

        private void serve(Socket s) throws IOException {
            try (s) {
                s.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(s.getInputStream());
                for (Message m = read(in); m != null && m.whole; m = read(in)) {
                    String id = m.field("x-trace-id");
                    if (id.isEmpty()) {
                        s.getOutputStream().write(ascii("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"));
                        continue;
                    }
                    begun.put(id, now());
                    if (m.first.startsWith("POST ")) {
                        bookings.merge(m.first.split(" ")[1], 1, Integer::sum);
                    }
                    Work w = work.apply(m);
                    sleep(w.ms);
                    byte[] answer = ascii("HTTP/1.1 " + w.status + " X\r\nContent-Length: " + w.body.length()
                            + "\r\nEndpoint-Load-Metrics: TEXT qps=10, latency_ms=30\r\n\r\n" + w.body);
                    s.getOutputStream().write(answer);
                    double answeredAt = now();
                    if (secondAnswerMs > 0 && java.util.concurrent.ThreadLocalRandom.current().nextDouble() < secondShare) {
                        sleep(secondAnswerMs);
                        if (now() - answeredAt <= MAX_SECOND_ANSWER_MS) {
                            s.getOutputStream().write(answer);
                            secondAnswers.put(id, now() - answeredAt);
                        }
                    }
                }
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    // ---- discovery

    /** The discovery agent: it answers at once with what it has, or holds a watch until there is something new. */
    final class Discovery implements AutoCloseable {
        final ServerSocket listener;
        private final Map<String, String> entries = new LinkedHashMap<>();
        private final Map<String, Long> versions = new LinkedHashMap<>();
        private long version = 1;

        Discovery(SeatServer... servers) throws IOException {
            listener = new ServerSocket(0, 512, InetAddress.getByName(HOST));
            others.add(this);
            for (SeatServer s : servers) {
                entries.put(s.name, s.entry("ready"));
                versions.put(s.name, version);
            }
            thread("discovery", () -> {
                while (true) {
                    Socket s = listener.accept();
                    thread("discovery-c", () -> serve(s));
                }
            });
        }

        String address() {
            return HOST + ":" + listener.getLocalPort();
        }

        synchronized String list(long from) {
            StringBuilder text = new StringBuilder();
            for (Map.Entry<String, String> e : entries.entrySet()) {
                if (versions.get(e.getKey()) > from) {
                    text.append(text.length() == 0 ? "" : ",").append(e.getValue());
                }
            }
            return "{\"version\":" + version + ",\"full\":" + (from < 0) + ",\"servers\":[" + text + "]}";
        }

        /** Changes the state of a server. */
        synchronized void set(SeatServer s, String state) {
            version++;
            entries.put(s.name, s.entry(state));
            versions.put(s.name, version);
            notifyAll();
        }

        private synchronized void hold(long from, long ms) {
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
            try {
                for (long left = ms; version <= from && left > 0; left = (end - System.nanoTime()) / 1_000_000) {
                    wait(left);
                }
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        private void serve(Socket s) throws IOException {
            try (s) {
                s.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(s.getInputStream());
                for (Message m = read(in); m != null; m = read(in)) {
                    String path = m.first.split(" ")[1];
                    long from = -1;
                    long holdMs = 0;
                    if (path.contains("?")) {
                        for (String part : path.substring(path.indexOf('?') + 1).split("&")) {
                            long value = Long.parseLong(part.substring(part.indexOf('=') + 1));
                            from = part.startsWith("from=") ? value : from;
                            holdMs = part.startsWith("hold_ms=") ? value : holdMs;
                        }
                    }
                    if (from >= 0) {
                        hold(from, holdMs);
                    }
                    String body = list(from);
                    s.getOutputStream()
                            .write(ascii("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                                    + body.length() + "\r\n\r\n" + body));
                }
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    // ---- the platform

    /** The settings of a small deployment, after the example of the wire page; only what a case needs differs. */
    static String settings() {
        return "{\"balancers\":1,\"ordinal\":0,\"az\":\"akl-dc1\",\"zones\":[\"akl-dc1\"],\"models\":[\"std-4core\"],"
                + "\"discovery\":\"automatic\",\"domain_type\":\"gate\",\"tick_ms\":2.0,\"stage\":0,\"tiers\":[\"seat-servers\"],"
                + "\"weights\":\"rough\",\"client_habits\":{\"marks_retry\":true},"
                + "\"classes\":[{\"name\":\"seat-lookup\",\"effect\":\"repeatable\",\"goal_time_ms\":1000.0,\"hard_limit_ms\":2500.0,"
                + "\"key_scope\":\"all\",\"late_value\":0.0,\"streaming\":false,\"window_ms\":5000.0,\"worth\":1.0},"
                + "{\"name\":\"seat-booking\",\"effect\":\"once\",\"goal_time_ms\":1500.0,\"hard_limit_ms\":6000.0,"
                + "\"key_scope\":\"all\",\"late_value\":0.0,\"streaming\":false,\"window_ms\":5000.0,\"worth\":5.0}],"
                + "\"plans\":[{\"name\":\"wholesale\",\"units_per_s\":0.0,\"depth\":0.0,\"at_once\":0,\"cap_rate\":0.0,\"cap_slack\":0.0,"
                + "\"never_over_depth\":0.0,\"excess_cost\":1.2,\"over_worth\":0.0,\"value_factor\":1.6}],"
                + "\"limits\":{\"cancel\":true,\"conn_idle_ms\":30000.0,\"connect_timeout_ms\":250.0,\"cpu_us_per_s\":500000,"
                + "\"max_attempts\":3,\"max_open\":20000,\"max_retry_after_ms\":1000.0,\"may_duplicate\":false,"
                + "\"peer_messages\":false,\"probes\":true,\"retry_after\":false,\"streams_per_conn\":100},"
                + "\"costs\":{\"probe\":0.01,\"waste\":0.05,\"late_fail\":0.03},"
                + "\"rules\":{\"answer_slack_ms\":8.0,\"ask_within_ms\":10000.0,\"cold_from\":0.15,\"drain_grace_ms\":250.0,"
                + "\"fall_ms\":2000.0,\"fall_multiple\":4.0,\"warm_within_ms\":18000.0},"
                + "\"specifics\":{\"counter\":false,\"counter_price\":0.005,\"counter_timeout_ms\":80.0,\"mail_per_s\":0.0,"
                + "\"max_units\":1,\"meter_period_ms\":0.0,\"post_paid\":false},"
                + "\"telemetry\":{\"names\":[\"qps\",\"latency_ms\"],\"source\":\"inline\"}}";
    }

    /** One gateway, started by {@code run} of the deploy file from the root of the repository. */
    final class Gateway {
        final int port = freePort();
        final Path log;
        private final Process process;

        Gateway(Discovery discovery, String settings, int memoryMb, int sockets) throws IOException {
            Path home = Files.createTempDirectory(folder, "gateway");
            log = home.resolve("log.txt");
            Path config = home.resolve("config.json");
            Files.writeString(
                    config,
                    "{\"name\":\"n0\",\"listen\":\"" + HOST + ":" + port + "\",\"discovery\":\"" + discovery.address()
                            + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb
                            + ",\"sockets\":" + sockets + "},\"known\":" + discovery.list(-1) + ",\"settings\":"
                            + settings + "}");
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deployCommand("run"));
            builder.directory(root.toFile());
            builder.environment().put("NODE_NAME", "n0");
            builder.environment().put("NODE_LISTEN", HOST + ":" + port);
            builder.environment().put("NODE_DISCOVERY", discovery.address());
            builder.environment().put("NODE_CONFIG", config.toString());
            builder.environment().put("TMPDIR", Files.createDirectory(home.resolve("tmp")).toString());
            builder.redirectErrorStream(true).redirectOutput(log.toFile());
            process = builder.start();
            gateways.add(this);
        }

        /** Waits until the gateway answers its readiness check with 200. */
        boolean awaitReady(long ms) {
            for (double end = now() + ms; now() < end && process.isAlive(); sleep(50)) {
                if (healthy(1000)) {
                    return true;
                }
            }
            return false;
        }

        boolean healthy(int timeoutMs) {
            try (Socket s = connect()) {
                s.setSoTimeout(timeoutMs);
                s.getOutputStream().write(ascii("GET /healthz HTTP/1.1\r\nHost: n0\r\n\r\n"));
                Message m = read(s.getInputStream());
                return m != null && m.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        Socket connect() throws IOException {
            Socket s = new Socket();
            s.setTcpNoDelay(true);
            s.connect(new InetSocketAddress(HOST, port), 2000);
            return s;
        }

        boolean alive() {
            return process.isAlive();
        }

        long pid() {
            return process.pid();
        }

        /** Sends a signal to the gateway's process; returns once it is sent. */
        void signalNow(String name) throws IOException {
            try {
                new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        void kill() {
            process.destroyForcibly();
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        /** Copies the gateway's log to the record. */
        void noteLog() throws IOException {
            List<String> lines = Files.readAllLines(log, StandardCharsets.ISO_8859_1);
            lines.stream().limit(200).forEach(l -> note("gateway log: " + l));
            if (lines.size() > 200) {
                note("gateway log: " + (lines.size() - 200) + " further lines");
            }
        }
    }

    private String deployCommand(String key) throws IOException {
        for (String l : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (l.startsWith(key + " = \"")) {
                return l.substring(key.length() + 4, l.lastIndexOf('"')).replace("\\\"", "\"").replace("\\\\", "\\");
            }
        }
        throw new IOException("no " + key + " in the deploy file");
    }

    // ---- clients

    /** What a client saw of one request. */
    static final class Seen {
        final String id;
        double sent;
        double ended;
        int status; // 0: none
        String body = "";
        String end = ""; // how the connection ended, if there was no whole answer

        Seen(String id) {
            this.id = id;
        }

        @Override
        public String toString() {
            return id + " sent " + (long) sent + " ended " + (long) ended + " "
                    + (status > 0 ? "status " + status : "no answer: " + end);
        }
    }
}
