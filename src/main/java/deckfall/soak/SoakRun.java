package deckfall.soak;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import deckfall.soak.GatewayUnderTest.GatewayProcess;
import deckfall.soak.RuleChecker.Rule;
import deckfall.soak.RuleChecker.Violation;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.EventExecutor;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** One run of the soak: starts the gateways, lets load and faults go on side by side, and gives the verdict. */
final class SoakRun {
    private static final int STAND_IN_THREADS = 3;
    private static final int SEAT_SERVERS = 6;
    private static final double SERVER_TROUBLE = 0.11; // share of requests that a server does not simply answer
    private static final long READY_MS = 30_000;
    private static final long KILL_AFTER_DEADLINE_MS = 700; // from SIGTERM, beyond the longest deadline
    private static final int FRONT_LEAST_MS = 200; // until the front sends nothing new to a gateway that ends
    private static final int FRONT_MOST_MS = 400;
    private static final long LOOK_MS = 30;
    private static final long WATCH_MS = 100;
    private static final long HEARTBEAT_MS = 10;
    private static final long END_GRACE_MS = 50; // of a SIGKILL, until the process is gone

    /** What came of a run. */
    record Verdict(
            long seed,
            int sent,
            int processes,
            Map<RuleChecker.End, Integer> ends,
            double mostLagMs,
            List<Violation> violations) {}

    private final SoakOptions options;
    private final Path folder;
    private final FaultLibrary faultLibrary;
    private final List<String> command;
    private final RuleChecker checker = new RuleChecker();
    private final NioEventLoopGroup standIns = new NioEventLoopGroup(STAND_IN_THREADS);
    private final List<GatewayUnderTest> gateways = new CopyOnWriteArrayList<>();
    private final List<LoadGenerator> loadGenerators = new ArrayList<>();
    private final Random random;
    private SimulatedServers servers;
    private SimulatedDiscovery discovery;
    private volatile boolean running = true;

    SoakRun(SoakOptions options, Path folder, FaultLibrary faultLibrary, List<String> command) {
        this.options = options;
        this.folder = folder;
        this.faultLibrary = faultLibrary;
        this.command = command;
        this.random = new Random(options.seed());
    }

    Verdict run() throws IOException, InterruptedException {
        List<Thread> scripts = new ArrayList<>();
        Thread atExit = new Thread(this::killAll); // also where the soak itself is ended
        Runtime.getRuntime().addShutdownHook(atExit);
        try {
            startStandIns();
            startGateways();
            awaitAllReady();
            loadGenerators.forEach(LoadGenerator::start);
            for (int g = 0; g < gateways.size(); g++) {
                scripts.add(script(g, random.nextLong()));
            }
            scripts.add(thread(this::serverEvents, random.nextLong()));
            scripts.add(thread(r -> watchProcesses(), 0));
            Thread.sleep(TimeUnit.SECONDS.toMillis(options.seconds()));
            loadGenerators.forEach(LoadGenerator::stop);
            Thread.sleep(LoadGenerator.settleTimeMs());
        } finally {
            running = false;
            for (Thread t : scripts) {
                t.join();
            }
            killAll();
            Runtime.getRuntime().removeShutdownHook(atExit);
            standIns.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        }
        int processes = gateways.stream().mapToInt(g -> g.processes.size()).sum();
        List<Violation> violations = checker.violations();
        return new Verdict(
                options.seed(), checker.recordSent(), processes, checker.countEnds(), checker.maxLagMs(), violations);
    }

    private void killAll() {
        gateways.forEach(GatewayUnderTest::close);
    }

    private void startStandIns() {
        for (EventExecutor loop : standIns) {
            double[] due = {RuleChecker.nowMs() + HEARTBEAT_MS};
            loop.scheduleAtFixedRate(
                    () -> {
                        checker.recordLag(Math.max(0, RuleChecker.nowMs() - due[0]));
                        due[0] = RuleChecker.nowMs() + HEARTBEAT_MS;
                    },
                    HEARTBEAT_MS,
                    HEARTBEAT_MS,
                    TimeUnit.MILLISECONDS);
        }
        servers = new SimulatedServers(standIns, checker, SEAT_SERVERS, SERVER_TROUBLE);
        discovery = new SimulatedDiscovery((EventLoop) standIns.next());
        for (int s = 0; s < SEAT_SERVERS; s++) {
            discovery.publish("s-" + s, servers.address(s), "ready", 0);
        }
    }

    private void startGateways() throws IOException {
        for (int g = 0; g < options.gateways(); g++) {
            boolean inherits = g % 2 == 1;
            GatewayUnderTest gateway = new GatewayUnderTest(
                    g, inherits, options.sockets(), folder.resolve("g" + g), faultLibrary, command);
            gateways.add(gateway);
            gateway.configure(config(gateway, 0));
            gateway.start(faults(random));
            double perSecond = 30 + random.nextInt(90);
            int mostKept = random.nextInt(3) == 0 ? Integer.MAX_VALUE : 20 + random.nextInt(400);
            loadGenerators.add(new LoadGenerator(
                    (EventLoop) standIns.next(),
                    checker,
                    g,
                    gateway.address(),
                    random.nextLong(),
                    perSecond,
                    mostKept));
        }
    }

    private String faults(Random from) {
        return switch (options.faults()) {
            case SoakOptions.DRAWN -> FaultPlan.draw(from);
            case SoakOptions.NONE -> "";
            default -> options.faults();
        };
    }

    private void awaitAllReady() throws InterruptedException {
        for (GatewayUnderTest g : gateways) {
            awaitReady(g, g.processes.get(0));
        }
    }

    /** False where the process is not ready in time, which breaks a rule, or the run has ended. */
    private boolean awaitReady(GatewayUnderTest g, GatewayProcess m) throws InterruptedException {
        double end = RuleChecker.nowMs() + READY_MS;
        while (running && m.isAlive() && RuleChecker.nowMs() < end) {
            if (m.isReady()) {
                return true;
            }
            Thread.sleep(LOOK_MS);
        }
        if (running && m.isAlive()) {
            checker.recordViolation(Rule.NOT_READY, "gateway " + g.number + ", faults " + m.faults);
        }
        return false;
    }

    // ---- what happens to processes

    private interface Script {
        void play(Random random) throws IOException, InterruptedException;
    }

    private Thread thread(Script script, long seed) {
        Thread t = new Thread(() -> {
            try {
                script.play(new Random(seed));
            } catch (IOException | RuntimeException e) {
                throw new IllegalStateException("the soak itself failed", e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        t.start();
        return t;
    }

    private Thread script(int g, long seed) {
        return thread(r -> processEvents(gateways.get(g), loadGenerators.get(g), r), seed);
    }

    private void pause(double ms) throws InterruptedException {
        double end = RuleChecker.nowMs() + ms;
        while (running && RuleChecker.nowMs() < end) {
            Thread.sleep((long) Math.min(LOOK_MS, Math.max(1, end - RuleChecker.nowMs())));
        }
    }

    private void processEvents(GatewayUnderTest g, LoadGenerator loadGenerator, Random r)
            throws IOException, InterruptedException {
        pause(r.nextInt(3000));
        while (running && options.processEvents()) {
            if (options.crowd() && r.nextInt(2) == 0) {
                loadGenerator.openIdleConnections(options.sockets());
            }
            int event = r.nextInt(100);
            if (event < 25) {
                hangups(g, r);
            } else if (event < 35) {
                kill(g, loadGenerator, r);
            } else if (g.inheritsListener) {
                replace(g, r);
            } else {
                restart(g, loadGenerator, r);
            }
            pause(500 + r.nextInt(3000));
        }
    }

    private static GatewayProcess serving(GatewayUnderTest g) {
        return g.processes.get(g.processes.size() - 1);
    }

    /** New configurations in a row, of which some are being written when the signal comes. */
    private void hangups(GatewayUnderTest g, Random r) throws IOException, InterruptedException {
        GatewayProcess m = serving(g);
        int count = 1 + r.nextInt(3);
        for (int i = 0; i < count && m.isReachable(); i++) {
            String config = config(g, r.nextInt(2));
            if (r.nextInt(4) == 0) {
                g.configure(config.substring(0, config.length() / 2));
                m.signal("HUP");
            }
            g.configure(config);
            m.signal("HUP");
            pause(r.nextInt(300));
        }
    }

    private void kill(GatewayUnderTest g, LoadGenerator loadGenerator, Random r)
            throws IOException, InterruptedException {
        GatewayProcess m = serving(g);
        m.endRequested = true;
        RuleChecker.Outage outage = checker.recordKill(g.number);
        m.signal("KILL");
        pause(END_GRACE_MS);
        loadGenerator.allowNewConnections(false);
        startAndOpen(g, loadGenerator, r);
        outage.end();
    }

    private void startAndOpen(GatewayUnderTest g, LoadGenerator loadGenerator, Random r)
            throws IOException, InterruptedException {
        if (running && awaitReady(g, g.start(faults(r)))) {
            loadGenerator.allowNewConnections(true);
        }
    }

    /** A planned restart at the gateway's own listener. */
    private void restart(GatewayUnderTest g, LoadGenerator loadGenerator, Random r)
            throws IOException, InterruptedException {
        GatewayProcess m = serving(g);
        double signalled = terminate(m, r);
        pause(FRONT_LEAST_MS + r.nextInt(FRONT_MOST_MS - FRONT_LEAST_MS));
        loadGenerator.allowNewConnections(false);
        awaitEndOrKill(m, signalled);
        startAndOpen(g, loadGenerator, r);
    }

    /** A second process begins at the shared listener, both serve for a while, and the first one ends. */
    private void replace(GatewayUnderTest g, Random r) throws IOException, InterruptedException {
        GatewayProcess old = serving(g);
        GatewayProcess fresh = g.start(faults(r));
        if (!awaitReady(g, fresh)) {
            return;
        }
        pause(r.nextInt(4000));
        awaitEndOrKill(old, terminate(old, r));
    }

    /** SIGTERM, and sometimes more signals behind it. */
    private double terminate(GatewayProcess m, Random r) throws IOException, InterruptedException {
        m.endRequested = true;
        if (r.nextInt(4) == 0 && m.isReachable()) {
            m.signal("HUP");
        }
        double at = RuleChecker.nowMs();
        m.signal("TERM");
        if (r.nextInt(3) == 0) {
            m.signal(r.nextBoolean() ? "TERM" : "HUP");
        }
        return at;
    }

    private void awaitEndOrKill(GatewayProcess m, double signalledAt) throws IOException, InterruptedException {
        double killAt = signalledAt + LoadGenerator.longestDeadlineMs() + KILL_AFTER_DEADLINE_MS;
        while (m.isAlive() && RuleChecker.nowMs() < killAt) {
            Thread.sleep(1);
        }
        if (m.isAlive()) {
            m.signal("KILL");
        }
        while (m.isAlive()) {
            Thread.sleep(1);
        }
    }

    private void watchProcesses() throws InterruptedException {
        List<GatewayProcess> told = new ArrayList<>();
        while (running) {
            for (GatewayUnderTest g : gateways) {
                for (GatewayProcess m : g.processes) {
                    if (!m.isAlive() && !m.endRequested && !told.contains(m)) {
                        told.add(m);
                        checker.recordViolation(
                                Rule.CRASH, "gateway " + g.number + " ended by itself, faults " + m.faults);
                    }
                }
                g.processes.stream().filter(GatewayProcess::isAlive).forEach(m -> checker.recordLag(m.runDelayMs()));
                long held = g.countSockets();
                if (held > g.maxSockets) {
                    checker.recordViolation(Rule.DESCRIPTORS, "gateway " + g.number + " holds " + held + " sockets");
                }
            }
            Thread.sleep(WATCH_MS);
        }
    }

    /** Servers hang, drain, go and come back; discovery falls silent. */
    private void serverEvents(Random r) throws InterruptedException {
        int life = 0;
        while (running) {
            pause(500 + r.nextInt(2000));
            int s = r.nextInt(SEAT_SERVERS);
            switch (r.nextInt(3)) {
                case 0 -> servers.hang(s, 300 + r.nextInt(1500));
                case 1 -> discovery.stopResponding(r.nextInt(2000));
                default -> {
                    discovery.publish("s-" + s, servers.address(s), "draining", 0);
                    pause(300 + r.nextInt(1000));
                    discovery.publish("s-" + s, servers.address(s), "gone", 0);
                    pause(r.nextInt(1000));
                    discovery.publish("s-" + s, servers.address(s), "ready", System.currentTimeMillis() - ++life);
                }
            }
        }
    }

    // ---- configuration

    private String config(GatewayUnderTest g, int discoveryIndex) throws IOException {
        ObjectMapper json = new ObjectMapper();
        ObjectNode root = json.createObjectNode()
                .put("name", "n" + g.number)
                .put("listen", "127.0.0.1:" + g.address().getPort())
                .put("discovery", discovery.address(discoveryIndex))
                .put("seed", Long.toHexString(options.seed() * 1000 + g.number));
        root.putObject("limits").put("cores", 1.0).put("memory_mb", 192).put("sockets", g.maxSockets);
        root.set("known", json.readTree(discovery.fullList()));
        ObjectNode settings =
                root.putObject("settings").put("ordinal", 0).put("balancers", 1).put("az", "a");
        settings.putObject("limits")
                .put("max_attempts", 3)
                .put("cancel", true)
                .put("retry_after", true)
                .put("max_retry_after_ms", 500)
                .put("connect_timeout_ms", 250);
        settings.putObject("rules")
                .put("answer_slack_ms", 8)
                .put("drain_grace_ms", 250)
                .put("fall_multiple", 4)
                .put("fall_ms", 2000)
                .put("cold_from", 0.15)
                .put("warm_within_ms", 5000);
        settings.putObject("specifics").put("max_units", 1);
        settings.putArray("classes")
                .add(requestClass(json, "seat-lookup", "repeatable", 200, 400))
                .add(requestClass(json, "seat-booking", "once", 300, 600));
        settings.putArray("plans")
                .addObject()
                .put("name", "basic")
                .put("units_per_s", 100_000)
                .put("depth", 100_000);
        return root.toString();
    }

    private static ObjectNode requestClass(ObjectMapper json, String name, String effect, int aimMs, int deadlineMs) {
        return json.createObjectNode()
                .put("name", name)
                .put("effect", effect)
                .put("goal_time_ms", aimMs)
                .put("hard_limit_ms", deadlineMs)
                .put("worth", 1);
    }
}
