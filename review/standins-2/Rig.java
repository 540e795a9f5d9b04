import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What the cases of this review share: gateways as separate processes, started with the `run` command of the deploy
 * file, and small stand-ins for discovery, the counter, seat servers and clients. All of it is on 127.0.0.1.
 */
final class Rig {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    static final InetAddress LOCAL = InetAddress.getLoopbackAddress();
    private final long startNanos = System.nanoTime();
    private final StringBuilder record = new StringBuilder();
    private final Path folder;
    final Path temp;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final List<Gateway> gateways = new ArrayList<>();
    private final AtomicLong ids = new AtomicLong();
    private final String runTag = Long.toHexString(System.nanoTime() & 0xffffffffffL);

    /** The case's check, which returns the exit code. */
    interface Check {
        int run(Rig rig) throws Exception;
    }

    private Rig(Path folder) throws IOException {
        this.folder = folder;
        this.temp = Files.createTempDirectory("review");
    }

    /** Runs a case: its folder is the first argument. */
    static void main(String[] args, Check check) throws Exception {
        Rig rig = new Rig(Path.of(args[0]));
        int[] code = {NOT_RUN};
        Thread watchdog = new Thread(() -> {
            sleep(110_000);
            rig.note("the case took too long");
            rig.end();
            Runtime.getRuntime().halt(NOT_RUN);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        Runtime.getRuntime().addShutdownHook(new Thread(rig::killAll));
        try {
            rig.note(rig.trouble ? "with the disruption" : "TROUBLE=0: without the disruption");
            code[0] = check.run(rig);
        } catch (Throwable e) {
            rig.note("could not run: " + e);
            e.printStackTrace();
            code[0] = NOT_RUN;
        }
        rig.note("exit code " + code[0]);
        rig.end();
        Runtime.getRuntime().halt(code[0]);
    }

    private void killAll() {
        synchronized (gateways) {
            for (Gateway g : gateways) {
                g.process.destroyForcibly();
            }
        }
    }

    private void end() {
        killAll();
        try {
            synchronized (record) {
                Files.writeString(folder.resolve("record.txt"), record);
            }
            if (System.getenv("KEEP") == null) {
                try (var files = Files.walk(temp)) {
                    files.sorted((a, b) -> b.compareTo(a)).forEach(p -> p.toFile().delete());
                }
            }
        } catch (IOException e) {
            e.printStackTrace();
        }
    }

    double ms() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    /** Writes a line to the record, with the time since the start of the case. */
    void note(String line) {
        String text = String.format(Locale.ROOT, "%9.1f ms  %s%n", ms(), line);
        synchronized (record) {
            record.append(text);
        }
        System.out.print(text);
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, LOCAL)) {
            return s.getLocalPort();
        }
    }

    String newId() {
        return runTag + String.format("%06x", ids.incrementAndGet());
    }

    static Thread daemon(String name, Runnable r) {
        Thread t = new Thread(r, name);
        t.setDaemon(true);
        t.start();
        return t;
    }

    interface Action {
        void run() throws Exception;
    }

    static Thread task(String name, Action a) {
        return daemon(name, () -> {
            try {
                a.run();
            } catch (Exception e) {
                // a connection that ended
            }
        });
    }

    // ---- gateways

    /** The settings of a small deployment; a case may change values by their dotted names. */
    static final class Settings {
        final Map<String, String> values = new TreeMap<>();
        String classes = "[{\"effect\":\"repeatable\",\"goal_time_ms\":1000,\"hard_limit_ms\":2500,\"key_scope\":\"all\","
                + "\"late_value\":0,\"name\":\"seat-lookup\",\"streaming\":false,\"window_ms\":5000,\"worth\":1},"
                + "{\"effect\":\"once\",\"goal_time_ms\":1500,\"hard_limit_ms\":6000,\"key_scope\":\"all\","
                + "\"late_value\":0,\"name\":\"seat-booking\",\"streaming\":false,\"window_ms\":5000,\"worth\":5}]";
        String plans = "[{\"name\":\"wholesale\",\"units_per_s\":%RATE%,\"depth\":%DEPTH%,\"at_once\":0,\"cap_rate\":0,"
                + "\"cap_slack\":0,\"never_over_depth\":0,\"excess_cost\":1.2,\"over_worth\":0,\"value_factor\":1.6}]";
        double rate = 1000;
        double depth = 2000;
        int gatewayCount = 1;
        int memoryMb = 192;
        int sockets = 1024;
        String limits = "{\"cancel\":true,\"conn_idle_ms\":30000,\"connect_timeout_ms\":250,\"cpu_us_per_request\":0,"
                + "\"cpu_us_per_s\":500000,\"max_attempts\":3,\"max_open\":20000,\"max_retry_after_ms\":1000,"
                + "\"may_duplicate\":false,\"peer_messages\":false,\"probes\":true,\"retry_after\":false,"
                + "\"streams_per_conn\":1}";
        String rules = "{\"answer_slack_ms\":8,\"ask_within_ms\":10000,\"cold_from\":0.15,\"drain_grace_ms\":250,"
                + "\"fall_ms\":2000,\"fall_multiple\":4,\"warm_within_ms\":18000}";

        String json(int ordinal) {
            return "{\"az\":\"akl-dc1\",\"balancers\":" + gatewayCount + ",\"ordinal\":" + ordinal
                    + ",\"discovery\":\"automatic\",\"domain_type\":\"gate\",\"classes\":" + classes
                    + ",\"client_habits\":{\"marks_retry\":true},"
                    + "\"costs\":{\"connection\":0,\"cross_zone\":0,\"discovery\":0,\"handshake\":0,\"late_fail\":0.03,"
                    + "\"moves\":0,\"origin\":0,\"peer\":0,\"probe\":0.01,\"waste\":0.05},"
                    + "\"goal\":{\"whole\":0.5,\"worst_class\":0.1,\"worst_tenant\":0.15,\"worst_window\":0.25},"
                    + "\"limits\":" + limits + ",\"models\":[\"std-4core\"],\"plans\":"
                    + plans.replace("%RATE%", "" + rate).replace("%DEPTH%", "" + depth)
                    + ",\"rules\":" + rules
                    + ",\"specifics\":{\"counter\":true,\"counter_price\":0.005,\"counter_timeout_ms\":80,"
                    + "\"mail_per_s\":0,\"max_units\":1,\"meter_period_ms\":1000,\"post_paid\":false},"
                    + "\"stage\":0,\"telemetry\":{\"names\":[\"qps\",\"latency_ms\"],\"source\":\"inline\"},"
                    + "\"tick_ms\":2,\"tiers\":[\"seat-servers\"],\"weights\":\"rough\",\"zones\":[\"akl-dc1\"]}";
        }
    }

    /** One gateway process. */
    final class Gateway {
        final Process process;
        final int port;
        final int operatorPort;
        final Path config;
        final Path log;
        final String name;

        private Gateway(Process process, int port, int operatorPort, Path config, Path log, String name) {
            this.process = process;
            this.port = port;
            this.operatorPort = operatorPort;
            this.config = config;
            this.log = log;
            this.name = name;
        }

        void signal(String signalName) throws Exception {
            note("SIG" + signalName + " to " + name);
            new ProcessBuilder("/bin/sh", "-c", "kill -" + signalName + " " + process.pid()).start().waitFor();
        }

        String logText() throws IOException {
            return Files.readString(log);
        }

        /** Writes the configuration that the next SIGHUP or start reads; the file is replaced in one step. */
        void configure(String json) throws IOException {
            Path part = config.resolveSibling(config.getFileName() + ".new");
            Files.writeString(part, json);
            Files.move(
                    part,
                    config,
                    java.nio.file.StandardCopyOption.ATOMIC_MOVE,
                    java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }
    }

    static String configJson(
            String name, int port, int operatorPort, int discovery, int counter, Settings s, int ordinal, String known) {
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"operator\":\"127.0.0.1:" + operatorPort
                + "\",\"discovery\":\"127.0.0.1:" + discovery + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":" + s.memoryMb + ",\"sockets\":" + s.sockets + "},"
                + "\"counter\":\"127.0.0.1:" + counter + "\",\"known\":" + known + ",\"settings\":" + s.json(ordinal)
                + "}";
    }

    static String runCommand() throws IOException {
        Matcher m = Pattern.compile("(?m)^run = \"(.*)\"").matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!m.find()) {
            throw new IOException("no run command in the deploy file");
        }
        return m.group(1);
    }

    /** Starts a gateway and waits until it answers GET /healthz with 200. */
    Gateway startGateway(int ordinal, int port, Discovery discovery, Counter counter, Settings s) throws Exception {
        Gateway g = launch(ordinal, port, discovery, counter, s);
        awaitReady(g);
        return g;
    }

    Gateway launch(int ordinal, int port, Discovery discovery, Counter counter, Settings s) throws Exception {
        String name = "n" + ordinal;
        int operatorPort = freePort();
        Path home = Files.createTempDirectory(temp, name + "-");
        Path config = home.resolve("config.json");
        Files.writeString(
                config, configJson(name, port, operatorPort, discovery.port, counter.port, s, ordinal, discovery.json(true)));
        Path log = home.resolve("log");
        ProcessBuilder b = new ProcessBuilder("/bin/sh", "-c", runCommand());
        Path tmp = Files.createDirectory(home.resolve("tmp"));
        b.environment().put("NODE_NAME", name);
        b.environment().put("NODE_LISTEN", "127.0.0.1:" + port);
        b.environment().put("NODE_DISCOVERY", "127.0.0.1:" + discovery.port);
        b.environment().put("NODE_OPERATOR", "127.0.0.1:" + operatorPort);
        b.environment().put("NODE_CONFIG", config.toString());
        b.environment().put("TMPDIR", tmp.toString());
        b.redirectErrorStream(true).redirectOutput(log.toFile()).redirectInput(new File("/dev/null"));
        Gateway g = new Gateway(b.start(), port, operatorPort, config, log, name);
        synchronized (gateways) {
            gateways.add(g);
        }
        note("started " + name + " on port " + port);
        return g;
    }

    void awaitReady(Gateway g) throws Exception {
        double end = ms() + 30_000;
        while (ms() < end) {
            if (!g.process.isAlive()) {
                throw new IOException(g.name + " ended: " + g.logText());
            }
            try (Conn c = new Conn(g.port)) {
                c.socket.setSoTimeout(1000);
                c.send("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n");
                if (c.readMessage(true).status() == 200) {
                    note(g.name + " is ready");
                    return;
                }
            } catch (IOException e) {
                // not yet
            }
            sleep(50);
        }
        throw new IOException(g.name + " not ready in 30 s");
    }

    // ---- HTTP

    /** A message that was read whole. */
    static final class Message {
        String startLine = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String path() {
            return startLine.split(" ")[1];
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String id() {
            return header("x-trace-id");
        }
    }

    /** A message was not framed as HTTP/1.1 demands. */
    static final class Malformed extends IOException {
        private static final long serialVersionUID = 1L;

        Malformed(String message) {
            super(message);
        }
    }

    /** A connection, as a client or as a server. */
    static final class Conn implements AutoCloseable {
        final Socket socket;
        InputStream in;
        final OutputStream out;

        Conn(int port) throws IOException {
            this(connect(port));
        }

        Conn(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream(), 8192);
            out = socket.getOutputStream();
        }

        private static Socket connect(int port) throws IOException {
            Socket s = new Socket();
            s.connect(new InetSocketAddress(LOCAL, port), 3000);
            return s;
        }

        void send(String text) throws IOException {
            send(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        void send(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }

        String readLine() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            while (true) {
                int b = in.read();
                if (b < 0) {
                    throw new EOFException(line.size() == 0 ? "end" : "end inside a line");
                }
                if (b == '\n') {
                    String text = line.toString(StandardCharsets.ISO_8859_1);
                    return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
                }
                line.write(b);
            }
        }

        Message readHead() throws IOException {
            Message m = new Message();
            do {
                m.startLine = readLine();
            } while (m.startLine.isEmpty());
            for (String line = readLine(); !line.isEmpty(); line = readLine()) {
                int colon = line.indexOf(':');
                if (colon <= 0) {
                    throw new Malformed("header line '" + line + "'");
                }
                m.headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
            }
            return m;
        }

        /** Reads a message with its body; the body of a response without a length ends with the connection. */
        Message readMessage(boolean response) throws IOException {
            return readBody(readHead(), response);
        }

        Message readBody(Message m, boolean response) throws IOException {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            if ("chunked".equalsIgnoreCase(m.header("transfer-encoding"))) {
                readChunked(body);
            } else if (m.header("content-length") != null) {
                body.write(readExactly(Integer.parseInt(m.header("content-length"))));
            } else if (response && m.status() >= 200 && m.status() != 204) {
                in.transferTo(body);
            }
            m.body = body.toByteArray();
            return m;
        }

        private void readChunked(ByteArrayOutputStream body) throws IOException {
            while (true) {
                String size = readLine();
                int n;
                try {
                    n = Integer.parseInt(size.split(";")[0].trim(), 16);
                } catch (NumberFormatException e) {
                    throw new Malformed("chunk size '" + size + "' after " + body.size() + " body bytes");
                }
                if (n == 0) {
                    break;
                }
                body.write(readExactly(n));
                String after = readLine();
                if (!after.isEmpty()) {
                    throw new Malformed("no CRLF after a chunk but '" + after + "', after " + body.size()
                            + " body bytes");
                }
            }
            while (!readLine().isEmpty()) {
                // trailers
            }
        }

        byte[] readExactly(int n) throws IOException {
            byte[] bytes = in.readNBytes(n);
            if (bytes.length < n) {
                throw new EOFException("end after " + bytes.length + " of " + n + " bytes");
            }
            return bytes;
        }

        void reset() {
            try {
                socket.setSoLinger(true, 0);
            } catch (IOException e) {
                // closed already
            }
            close();
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // closed already
            }
        }
    }

    /** The head of a client's request. */
    static String head(String method, String path, String id, int expiresMs, String more) {
        return method + " " + path + " HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: " + id
                + "\r\nX-Plan: wholesale\r\nX-Customer: 00000000b4d65521\r\nX-Expires-In-Ms: " + expiresMs
                + "\r\nX-Quota: units=1,spread=1,first=0\r\n" + more + "\r\n";
    }

    static void answer(Conn c, int status, String more, byte[] body) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(("HTTP/1.1 " + status + " X\r\n" + more + "Content-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        c.send(all.toByteArray());
    }

    // ---- the counter

    /** The counter: keeps totals for their life. */
    static final class Counter {
        final int port;
        private final Map<String, double[]> totals = new LinkedHashMap<>();

        Counter() throws IOException {
            ServerSocket listener = new ServerSocket(0, 64, LOCAL);
            port = listener.getLocalPort();
            task("counter", () -> {
                while (true) {
                    Socket s = listener.accept();
                    task("counter connection", () -> serve(new Conn(s)));
                }
            });
        }

        private void serve(Conn c) throws IOException {
            while (true) {
                String line = c.readLine();
                int n = Integer.parseInt(line.substring(1));
                List<String> words = new ArrayList<>();
                for (int i = 0; i < n; i++) {
                    int length = Integer.parseInt(c.readLine().substring(1));
                    words.add(new String(c.readExactly(length), StandardCharsets.ISO_8859_1));
                    c.readLine();
                }
                if (words.get(0).equals("ADDGET")) {
                    String total = Double.toString(add(
                            words.get(1), Double.parseDouble(words.get(2)), Double.parseDouble(words.get(3))));
                    c.send("$" + total.length() + "\r\n" + total + "\r\n");
                } else {
                    c.send(words.get(0).equals("PING") ? "+PONG\r\n" : "+OK\r\n");
                }
            }
        }

        private synchronized double add(String name, double amount, double lifeMs) {
            double now = System.nanoTime() / 1e6;
            double[] entry = totals.get(name);
            if (entry == null || entry[1] < now) {
                entry = new double[] {0, now + Math.min(60_000, Math.max(1, lifeMs))};
                totals.put(name, entry);
            }
            entry[0] += amount;
            return entry[0];
        }
    }

    // ---- discovery

    /** The discovery agent: long polls, with the changes since a version. */
    static final class Discovery {
        final int port;
        private long version = 40;
        private final Map<String, String> entries = new LinkedHashMap<>(); // id to entry, without those that are gone
        private final List<Map.Entry<Long, String>> changes = new ArrayList<>();
        private final ServerSocket listener;

        Discovery() throws IOException {
            listener = new ServerSocket(0, 64, LOCAL);
            port = listener.getLocalPort();
            task("discovery", () -> {
                while (true) {
                    Socket s = listener.accept();
                    task("discovery connection", () -> serve(new Conn(s)));
                }
            });
        }

        static String entry(String id, int port, String state, double startedMs) {
            return "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + port
                    + "\",\"zone\":\"akl-dc1\",\"kind\":\"std-4core\",\"cell\":0,\"state\":\"" + state
                    + "\",\"weight\":1.0,\"started_ms\":" + String.format(Locale.ROOT, "%.0f", startedMs) + "}";
        }

        synchronized void set(String id, int serverPort, String state, double startedMs) {
            version++;
            String entry = entry(id, serverPort, state, startedMs);
            if (state.equals("gone")) {
                entries.remove(id);
            } else {
                entries.put(id, entry);
            }
            changes.add(Map.entry(version, entry));
            notifyAll();
        }

        synchronized String json(boolean full) {
            return "{\"version\":" + version + ",\"full\":true,\"servers\":[" + String.join(",", entries.values()) + "]}";
        }

        private synchronized String changesSince(long from, long holdMs) throws InterruptedException {
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Math.min(60_000, holdMs));
            while (version <= from) {
                long left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
                if (left <= 0) {
                    break;
                }
                wait(left);
            }
            List<String> newer = new ArrayList<>();
            for (var c : changes) {
                if (c.getKey() > from) {
                    newer.add(c.getValue());
                }
            }
            return "{\"version\":" + version + ",\"full\":false,\"servers\":[" + String.join(",", newer) + "]}";
        }

        private void serve(Conn c) throws Exception {
            while (true) {
                Message m = c.readMessage(false);
                Matcher from = Pattern.compile("from=(\\d+)").matcher(m.path());
                Matcher hold = Pattern.compile("hold_ms=(\\d+)").matcher(m.path());
                String list = from.find()
                        ? changesSince(Long.parseLong(from.group(1)), hold.find() ? Long.parseLong(hold.group(1)) : 0)
                        : json(true);
                answer(c, 200, "Content-Type: application/json\r\n", list.getBytes(StandardCharsets.UTF_8));
            }
        }
    }

    // ---- seat servers

    /** Handles one request of which the head has been read. */
    interface Handler {
        void handle(SeatServer server, Conn c, Message m) throws Exception;
    }

    /** A seat server. */
    static final class SeatServer {
        final String id;
        final int port;
        final ServerSocket listener;
        private final Handler handler;

        SeatServer(String id, int receiveBuffer, Handler handler) throws Exception {
            this.id = id;
            this.handler = handler;
            listener = new ServerSocket();
            if (receiveBuffer > 0) {
                listener.setReceiveBufferSize(receiveBuffer);
            }
            listener.bind(new InetSocketAddress(LOCAL, 0), 256);
            port = listener.getLocalPort();
            task(id, () -> {
                while (true) {
                    Socket s = listener.accept();
                    task(id + " connection", () -> serve(new Conn(s)));
                }
            });
        }

        private void serve(Conn c) throws Exception {
            try (c) {
                while (true) {
                    handler.handle(this, c, c.readHead());
                }
            }
        }
    }
}
