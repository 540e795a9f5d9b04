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

/** One run of the soak: starts the gateways, runs load and faults concurrently, and reports the result. */
final class SoakRun {
    private static final int EVENT_LOOP_THREADS = 3;
    private static final int SEAT_SERVERS = 6;
    private static final int RELOAD_PERCENT = 25; // of the process events
    private static final int KILL_PERCENT = 10;
    private static final int MAX_OVERLAP_MS = 4000; // while an old and a new process both serve
    private static final double SERVER_FAULT_SHARE = 0.11; // of the requests, which don't get a plain response
    private static final long READY_TIMEOUT_MS = 30_000;
    private static final long KILL_AFTER_DEADLINE_MS = 700; // from SIGTERM, beyond the longest deadline
    private static final int MIN_LOAD_BALANCER_DELAY_MS = 200; // from SIGTERM until new connections avoid the gateway
    private static final int MAX_LOAD_BALANCER_DELAY_MS = 400;
    private static final long POLL_INTERVAL_MS = 30;
    private static final long WATCH_INTERVAL_MS = 100;
    private static final long LAG_PROBE_INTERVAL_MS = 10;
    private static final long KILL_GRACE_MS = 50; // from SIGKILL until the process is gone

    /** The result of a run. */
    record RunResult(
            long seed,
            int requestsSent,
            int processes,
            Map<RuleChecker.End, Integer> ends,
            double maxLagMs,
            List<Violation> violations) {}

    private final SoakOptions options;
    private final Path folder;
    private final FaultLibrary faultLibrary;
    private final List<String> command;
    private final RuleChecker checker = new RuleChecker();
    private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(EVENT_LOOP_THREADS);
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

    /** Executes the run and returns its result once all processes have ended. */
    RunResult run() throws IOException, InterruptedException {
        List<Thread> scripts = new ArrayList<>();
        Thread shutdownHook = new Thread(this::killAll); // also if the soak itself is terminated
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        try {
            startSimulatedServices();
            startGateways();
            awaitAllReady();
            loadGenerators.forEach(LoadGenerator::start);
            for (int g = 0; g < gateways.size(); g++) {
                scripts.add(startProcessEvents(g, random.nextLong()));
            }
            scripts.add(startScript(this::runServerEvents, random.nextLong()));
            scripts.add(startScript(r -> watchProcesses(), 0));
            Thread.sleep(TimeUnit.SECONDS.toMillis(options.seconds()));
            loadGenerators.forEach(LoadGenerator::stop);
            Thread.sleep(LoadGenerator.settleTimeMs());
        } finally {
            running = false;
            for (Thread script : scripts) {
                script.join();
            }
            killAll();
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
            eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        }
        int processes = gateways.stream().mapToInt(g -> g.processes.size()).sum();
        List<Violation> violations = checker.findViolations();
        return new RunResult(
                options.seed(), checker.requestsSent(), processes, checker.countEnds(), checker.maxLagMs(), violations);
    }

    private void killAll() {
        gateways.forEach(GatewayUnderTest::close);
    }

    private void startSimulatedServices() {
        for (EventExecutor loop : eventLoops) {
            double[] dueMs = {RuleChecker.nowMs() + LAG_PROBE_INTERVAL_MS};
            loop.scheduleAtFixedRate(
                    () -> {
                        checker.recordLag(Math.max(0, RuleChecker.nowMs() - dueMs[0]));
                        dueMs[0] = RuleChecker.nowMs() + LAG_PROBE_INTERVAL_MS;
                    },
                    LAG_PROBE_INTERVAL_MS,
                    LAG_PROBE_INTERVAL_MS,
                    TimeUnit.MILLISECONDS);
        }
        servers = new SimulatedServers(eventLoops, checker, SEAT_SERVERS, SERVER_FAULT_SHARE);
        discovery = new SimulatedDiscovery((EventLoop) eventLoops.next());
        for (int s = 0; s < SEAT_SERVERS; s++) {
            discovery.publish("s-" + s, servers.address(s), "ready", 0);
        }
    }

    private void startGateways() throws IOException {
        for (int g = 0; g < options.gateways(); g++) {
            boolean inheritsListener = g % 2 == 1;
            GatewayUnderTest gateway = new GatewayUnderTest(
                    g, inheritsListener, options.sockets(), folder.resolve("g" + g), faultLibrary, command);
            gateways.add(gateway);
            gateway.configure(configJson(gateway, 0));
            gateway.start(drawFaults(random));
            double requestsPerSecond = 30 + random.nextInt(90);
            int maxIdleConnections = random.nextInt(3) == 0 ? Integer.MAX_VALUE : 20 + random.nextInt(400);
            loadGenerators.add(new LoadGenerator(
                    (EventLoop) eventLoops.next(),
                    checker,
                    g,
                    gateway.address(),
                    random.nextLong(),
                    requestsPerSecond,
                    maxIdleConnections));
        }
    }

    private String drawFaults(Random source) {
        return switch (options.faults()) {
            case SoakOptions.DRAWN -> FaultPlan.draw(source);
            case SoakOptions.NONE -> "";
            default -> options.faults();
        };
    }

    private void awaitAllReady() throws InterruptedException {
        for (GatewayUnderTest gateway : gateways) {
            awaitReady(gateway, gateway.processes.get(0));
        }
    }

    /**
     * Waits until a process is ready. Returns false if it exits, if the run ends, or if it is not ready in time, which
     * breaks a rule.
     */
    private boolean awaitReady(GatewayUnderTest gateway, GatewayProcess process) throws InterruptedException {
        double endMs = RuleChecker.nowMs() + READY_TIMEOUT_MS;
        while (running && process.isAlive() && RuleChecker.nowMs() < endMs) {
            if (process.isReady()) {
                return true;
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
        if (running && process.isAlive()) {
            checker.recordViolation(Rule.NOT_READY, "gateway " + gateway.number + ", faults " + process.faults);
        }
        return false;
    }

    /** A sequence of events that runs on a thread of its own. */
    private interface Script {
        void run(Random random) throws IOException, InterruptedException;
    }

    private Thread startScript(Script script, long seed) {
        Thread thread = new Thread(() -> {
            try {
                script.run(new Random(seed));
            } catch (IOException | RuntimeException e) {
                throw new IllegalStateException("the soak itself failed", e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        thread.start();
        return thread;
    }

    private Thread startProcessEvents(int gatewayNumber, long seed) {
        return startScript(
                r -> runProcessEvents(gateways.get(gatewayNumber), loadGenerators.get(gatewayNumber), r), seed);
    }

    /** Sleeps for a time, or until the run ends. */
    private void pause(double durationMs) throws InterruptedException {
        double endMs = RuleChecker.nowMs() + durationMs;
        while (running && RuleChecker.nowMs() < endMs) {
            Thread.sleep((long) Math.min(POLL_INTERVAL_MS, Math.max(1, endMs - RuleChecker.nowMs())));
        }
    }

    private void runProcessEvents(GatewayUnderTest gateway, LoadGenerator loadGenerator, Random scriptRandom)
            throws IOException, InterruptedException {
        pause(scriptRandom.nextInt(3000));
        while (running && options.processEvents()) {
            if (options.crowd() && scriptRandom.nextInt(2) == 0) {
                loadGenerator.openIdleConnections(options.sockets());
            }
            int event = scriptRandom.nextInt(100);
            if (event < RELOAD_PERCENT) {
                reloadConfig(gateway, scriptRandom);
            } else if (event < RELOAD_PERCENT + KILL_PERCENT) {
                killAndRestart(gateway, loadGenerator, scriptRandom);
            } else if (gateway.inheritsListener) {
                replaceProcess(gateway, scriptRandom);
            } else {
                restart(gateway, loadGenerator, scriptRandom);
            }
            pause(500 + scriptRandom.nextInt(3000));
        }
    }

    private static GatewayProcess newestProcess(GatewayUnderTest gateway) {
        return gateway.processes.get(gateway.processes.size() - 1);
    }

    /** Reloads several new configurations in a row; some reloads happen while the file is only half written. */
    private void reloadConfig(GatewayUnderTest gateway, Random scriptRandom) throws IOException, InterruptedException {
        GatewayProcess process = newestProcess(gateway);
        int count = 1 + scriptRandom.nextInt(3);
        for (int i = 0; i < count && process.isReachable(); i++) {
            String config = configJson(gateway, scriptRandom.nextInt(2));
            if (scriptRandom.nextInt(4) == 0) {
                gateway.configure(config.substring(0, config.length() / 2));
                process.signal("HUP");
            }
            gateway.configure(config);
            process.signal("HUP");
            pause(scriptRandom.nextInt(300));
        }
    }

    private void killAndRestart(GatewayUnderTest gateway, LoadGenerator loadGenerator, Random scriptRandom)
            throws IOException, InterruptedException {
        GatewayProcess process = newestProcess(gateway);
        process.endRequested = true;
        RuleChecker.Outage outage = checker.recordKill(gateway.number);
        process.signal("KILL");
        pause(KILL_GRACE_MS);
        loadGenerator.allowNewConnections(false);
        startAndResumeConnections(gateway, loadGenerator, scriptRandom);
        outage.end();
    }

    private void startAndResumeConnections(GatewayUnderTest gateway, LoadGenerator loadGenerator, Random scriptRandom)
            throws IOException, InterruptedException {
        if (running && awaitReady(gateway, gateway.start(drawFaults(scriptRandom)))) {
            loadGenerator.allowNewConnections(true);
        }
    }

    /** Restarts a gateway whose processes open their own listener; it does not serve in between. */
    private void restart(GatewayUnderTest gateway, LoadGenerator loadGenerator, Random scriptRandom)
            throws IOException, InterruptedException {
        GatewayProcess process = newestProcess(gateway);
        double signalledAtMs = terminate(process, scriptRandom);
        pause(MIN_LOAD_BALANCER_DELAY_MS
                + scriptRandom.nextInt(MAX_LOAD_BALANCER_DELAY_MS - MIN_LOAD_BALANCER_DELAY_MS));
        loadGenerator.allowNewConnections(false);
        awaitEndOrKill(process, signalledAtMs);
        startAndResumeConnections(gateway, loadGenerator, scriptRandom);
    }

    /** Starts a second process on the inherited listener, lets both serve for some time, and stops the first one. */
    private void replaceProcess(GatewayUnderTest gateway, Random scriptRandom)
            throws IOException, InterruptedException {
        GatewayProcess oldProcess = newestProcess(gateway);
        GatewayProcess newProcess = gateway.start(drawFaults(scriptRandom));
        if (!awaitReady(gateway, newProcess)) {
            return;
        }
        pause(scriptRandom.nextInt(MAX_OVERLAP_MS));
        awaitEndOrKill(oldProcess, terminate(oldProcess, scriptRandom));
    }

    /** Sends SIGTERM, sometimes with other signals before or after it; returns the time of the SIGTERM. */
    private double terminate(GatewayProcess process, Random scriptRandom) throws IOException, InterruptedException {
        process.endRequested = true;
        if (scriptRandom.nextInt(4) == 0 && process.isReachable()) {
            process.signal("HUP");
        }
        double signalledAtMs = RuleChecker.nowMs();
        process.signal("TERM");
        if (scriptRandom.nextInt(3) == 0) {
            process.signal(scriptRandom.nextBoolean() ? "TERM" : "HUP");
        }
        return signalledAtMs;
    }

    /** Waits for a terminated process to exit, and kills it after the longest deadline and a grace period. */
    private void awaitEndOrKill(GatewayProcess process, double signalledAtMs) throws IOException, InterruptedException {
        double killAtMs = signalledAtMs + LoadGenerator.longestDeadlineMs() + KILL_AFTER_DEADLINE_MS;
        while (process.isAlive() && RuleChecker.nowMs() < killAtMs) {
            Thread.sleep(1);
        }
        if (process.isAlive()) {
            process.signal("KILL");
        }
        while (process.isAlive()) {
            Thread.sleep(1);
        }
    }

    /** Checks for crashes and for too many sockets, and records the scheduling delay of the gateways' event loops. */
    private void watchProcesses() throws InterruptedException {
        List<GatewayProcess> reported = new ArrayList<>();
        while (running) {
            for (GatewayUnderTest gateway : gateways) {
                for (GatewayProcess process : gateway.processes) {
                    if (!process.isAlive() && !process.endRequested && !reported.contains(process)) {
                        reported.add(process);
                        checker.recordViolation(
                                Rule.CRASH,
                                "gateway " + gateway.number + " exited unexpectedly, faults " + process.faults);
                    }
                }
                gateway.processes.stream()
                        .filter(GatewayProcess::isAlive)
                        .forEach(process -> checker.recordLag(process.runDelayMs()));
                long openSockets = gateway.countSockets();
                if (openSockets > gateway.maxSockets) {
                    checker.recordViolation(
                            Rule.DESCRIPTORS, "gateway " + gateway.number + " holds " + openSockets + " sockets");
                }
            }
            Thread.sleep(WATCH_INTERVAL_MS);
        }
    }

    /** Makes servers hang, drain, disappear and return, and discovery stop responding. */
    private void runServerEvents(Random scriptRandom) throws InterruptedException {
        int restarts = 0;
        while (running) {
            pause(500 + scriptRandom.nextInt(2000));
            int server = scriptRandom.nextInt(SEAT_SERVERS);
            switch (scriptRandom.nextInt(3)) {
                case 0 -> servers.hang(server, 300 + scriptRandom.nextInt(1500));
                case 1 -> discovery.stopResponding(scriptRandom.nextInt(2000));
                default -> {
                    discovery.publish("s-" + server, servers.address(server), "draining", 0);
                    pause(300 + scriptRandom.nextInt(1000));
                    discovery.publish("s-" + server, servers.address(server), "gone", 0);
                    pause(scriptRandom.nextInt(1000));
                    discovery.publish(
                            "s-" + server, servers.address(server), "ready", System.currentTimeMillis() - ++restarts);
                }
            }
        }
    }

    private String configJson(GatewayUnderTest gateway, int discoveryIndex) throws IOException {
        ObjectMapper json = new ObjectMapper();
        ObjectNode root = json.createObjectNode()
                .put("name", "n" + gateway.number)
                .put("listen", "127.0.0.1:" + gateway.address().getPort())
                .put("discovery", discovery.address(discoveryIndex))
                .put("seed", Long.toHexString(options.seed() * 1000 + gateway.number));
        root.putObject("limits").put("cores", 1.0).put("memory_mb", 192).put("sockets", gateway.maxSockets);
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

    private static ObjectNode requestClass(
            ObjectMapper json, String name, String effect, int goalTimeMs, int deadlineMs) {
        return json.createObjectNode()
                .put("name", name)
                .put("effect", effect)
                .put("goal_time_ms", goalTimeMs)
                .put("hard_limit_ms", deadlineMs)
                .put("worth", 1);
    }
}
