package deckfall.scale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import deckfall.Gateway.Effect;
import deckfall.Gateway.Outcome;
import deckfall.Gateway.Plan;
import deckfall.Gateway.RequestClass;
import deckfall.Gateway.Settings;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.io.IOException;
import java.io.PrintStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;

/**
 * Runs a fleet with real processes. The virtual clock of the fleet follows the real time, on the event loop that also
 * serves the sockets of the simulated services, so that lists, counter and servers are the same for simulated and real
 * gateways. First comes a time without load, then the warm-up under load, then the measured period. The run ends all
 * processes that it started.
 */
final class RealRun {
    private static final int EXIT_FAILED = 1;
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final int MAX_LINE_BYTES = 512;
    private static final long READY_TIMEOUT_SECONDS = 60;
    private static final long POLL_INTERVAL_MS = 20;
    private static final long PROGRESS_INTERVAL_SECONDS = 5;
    private static final double DRAIN_MS = 1000; // after the last deadline
    private static final int HEALTH_TIMEOUT_MS = 2000;
    private static final int STATUS_OK = 200;

    /** A real gateway with what its measurements are taken from. */
    private record MeasuredGateway(RealGateway gateway, GatewayProcess process, ControlTraffic traffic) {}

    /** The resource use of one real gateway at one time. */
    private record Sample(double cpuSeconds, double residentMegabytes, long bytes, long messages) {}

    private final RealOptions options;
    private final PrintStream progress;
    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final PairedLatencies latencies = new PairedLatencies();
    private final List<MeasuredGateway> measuredGateways = new ArrayList<>();
    private final Map<String, InetSocketAddress> serverAddresses = new HashMap<>(); // by server id
    private final Map<String, Object> costs = new LinkedHashMap<>();
    private final List<RealGateway> realGateways = new ArrayList<>();
    private Path runFolder;
    private Fleet fleet;
    private RealTimePacer pacer;

    RealRun(RealOptions options, PrintStream progress) {
        this.options = options;
        this.progress = progress;
    }

    /** Runs the fleet, writes the report and returns the exit code. */
    int run(PrintStream out) {
        try {
            return new Report(options, "real", measure(), costs).write(out);
        } catch (IOException | ExecutionException e) {
            progress.println("scale: " + e.getMessage());
            return EXIT_FAILED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return EXIT_FAILED;
        }
    }

    /** Runs the fleet and returns it once all processes have ended. */
    Fleet measure() throws IOException, InterruptedException, ExecutionException {
        runFolder = Files.createTempDirectory("deckfall-scale");
        try {
            fleet = callOnEventLoop(() -> new Fleet(options, options.processes, options.simulatedGateways()));
            pacer = new RealTimePacer(group.next(), fleet.queue);
            for (SimulatedServer server : List.copyOf(fleet.servers)) {
                SimulatedServerHandler handler = new SimulatedServerHandler(server, this::requestReceived);
                serverAddresses.put(server.id, LoopbackListeners.open(group, () -> httpHandlers(handler)));
            }
            for (int number = 0; number < options.processes; number++) {
                startGateway(number);
            }
            awaitReady();
            runMeasurement();
            return fleet;
        } finally {
            shutDown();
        }
    }

    private <T> T callOnEventLoop(Callable<T> work) throws InterruptedException, ExecutionException {
        return group.next().submit(work).get();
    }

    private static ChannelHandler[] httpHandlers(ChannelHandler... last) {
        List<ChannelHandler> handlers =
                new ArrayList<>(List.of(new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY_BYTES)));
        handlers.addAll(List.of(last));
        return handlers.toArray(new ChannelHandler[0]);
    }

    private void requestReceived(String id, SimulatedServer server, ChannelHandlerContext context) {
        pacer.catchUp();
        for (RealGateway gateway : realGateways) {
            if (gateway.hasRequest(id)) {
                gateway.requestReceived(id, server, context);
                return;
            }
        }
        SimulatedServerHandler.respond(context, Outcome.MOOT, 0);
    }

    // ---- processes

    private void startGateway(int number) throws IOException, InterruptedException, ExecutionException {
        ControlTraffic traffic = new ControlTraffic();
        int zone = fleet.topology.zoneOf(number);
        Settings settings = fleet.settings(number, NetworkTopology.zoneName(zone));
        InetSocketAddress listen = freeAddress();
        // Not listed in discovery: it serves the direct requests only.
        SimulatedServer directServer = callOnEventLoop(() -> fleet.addServer(zone, 0, 0));
        SimulatedServerHandler directHandler = new SimulatedServerHandler(directServer, this::requestReceived);
        RealGateway gateway = new RealGateway(
                fleet,
                pacer,
                settings,
                zone,
                latencies,
                new HttpConnectionPool(group, listen),
                new HttpConnectionPool(group, LoopbackListeners.open(group, () -> httpHandlers(directHandler))));
        DiscoveryAgent agent =
                new DiscoveryAgent(id -> LoopbackListeners.hostAndPort(serverAddresses.get(id)), traffic);
        JsonNode knownHosts = callOnEventLoop(() -> {
            fleet.gateways[number] = gateway;
            realGateways.add(gateway);
            fleet.discovery.watch(number, agent);
            // The simulated gateways start; the clock then waits for the real ones.
            fleet.queue.runUntil(SimulationOptions.STARTUP_MS);
            return agent.knownHostsAsJson();
        });
        InetSocketAddress discovery = LoopbackListeners.open(group, () -> prepend(traffic, httpHandlers(agent)));
        InetSocketAddress counter = LoopbackListeners.open(group, () -> new ChannelHandler[] {
            traffic,
            new LineBasedFrameDecoder(MAX_LINE_BYTES),
            new CounterConnectionHandler(fleet, pacer, gateway, traffic)
        });
        Path gatewayFolder = Files.createDirectory(runFolder.resolve("n" + number));
        Files.writeString(
                gatewayFolder.resolve("config.json"),
                config(settings, listen, discovery, counter, knownHosts).toString());
        measuredGateways.add(new MeasuredGateway(
                gateway,
                new GatewayProcess(
                        options.runCommand,
                        options.workingDirectory(),
                        gatewayFolder,
                        "n" + number,
                        LoopbackListeners.hostAndPort(listen),
                        LoopbackListeners.hostAndPort(discovery)),
                traffic));
    }

    private static ChannelHandler[] prepend(ChannelHandler first, ChannelHandler... rest) {
        return Stream.concat(Stream.of(first), Stream.of(rest)).toArray(ChannelHandler[]::new);
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
        }
    }

    private ObjectNode config(
            Settings gatewaySettings,
            InetSocketAddress listen,
            InetSocketAddress discovery,
            InetSocketAddress counter,
            JsonNode knownHosts) {
        ObjectNode root = new ObjectMapper()
                .createObjectNode()
                .put("name", "n" + gatewaySettings.gatewayNumber())
                .put("listen", LoopbackListeners.hostAndPort(listen))
                .put("discovery", LoopbackListeners.hostAndPort(discovery))
                .put("seed", Long.toHexString(gatewaySettings.seed()))
                .put("counter", LoopbackListeners.hostAndPort(counter));
        root.putObject("limits").put("cores", 1.0).put("memory_mb", 192).put("sockets", 1024);
        root.set("known", knownHosts);
        ObjectNode settings = root.putObject("settings")
                .put("ordinal", gatewaySettings.gatewayNumber())
                .put("balancers", gatewaySettings.gatewayCount())
                .put("az", gatewaySettings.zone());
        settings.putObject("limits")
                .put("max_attempts", gatewaySettings.limits().maxAttempts())
                .put("cancel", true)
                .put("retry_after", true)
                .put("max_retry_after_ms", gatewaySettings.limits().maxRetryAfterMs())
                .put("connect_timeout_ms", gatewaySettings.limits().connectTimeoutMs());
        settings.putObject("rules")
                .put("answer_slack_ms", gatewaySettings.rules().responseSlackMs())
                .put("drain_grace_ms", gatewaySettings.rules().drainGraceMs())
                .put("fall_multiple", gatewaySettings.rules().coldLoadMultiple())
                .put("fall_ms", gatewaySettings.rules().coldLoadWindowMs())
                .put("cold_from", gatewaySettings.rules().coldCapacity())
                .put("warm_within_ms", gatewaySettings.rules().hostWarmUpMs());
        settings.putObject("specifics")
                .put("counter", true)
                .put("counter_price", gatewaySettings.coordination().counterCallPrice())
                .put("meter_period_ms", gatewaySettings.coordination().meterPeriodMs())
                .put("max_units", gatewaySettings.coordination().maxUnitsPerRequest())
                .put("counter_timeout_ms", options.counterTimeoutMs);
        ArrayNode classes = settings.putArray("classes");
        for (RequestClass requestClass : gatewaySettings.classes()) {
            classes.addObject()
                    .put("name", requestClass.name())
                    .put("effect", requestClass.effect() == Effect.REPEATABLE ? "repeatable" : "once")
                    .put("goal_time_ms", requestClass.goalMs())
                    .put("hard_limit_ms", requestClass.deadlineMs())
                    .put("worth", requestClass.worth());
        }
        ArrayNode plans = settings.putArray("plans");
        for (Plan plan : gatewaySettings.plans()) {
            plans.addObject()
                    .put("name", plan.name())
                    .put("units_per_s", plan.rate())
                    .put("depth", plan.burst())
                    .put("at_once", plan.openLimit())
                    .put("value_factor", plan.valueFactor())
                    .put("over_worth", plan.excessWorth())
                    .put("excess_cost", plan.excessCost());
        }
        return root;
    }

    private void awaitReady() throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_SECONDS);
        for (MeasuredGateway measured : measuredGateways) {
            URI uri = URI.create("http://" + address(measured) + "/healthz");
            while (!healthy(uri)) {
                if (!measured.process.alive() || System.nanoTime() > deadlineNanos) {
                    throw new IOException("gateway " + measured.gateway.number + " is not ready: "
                            + lastLine(runFolder
                                    .resolve("n" + measured.gateway.number)
                                    .resolve("log")));
                }
                Thread.sleep(POLL_INTERVAL_MS);
            }
        }
    }

    private String address(MeasuredGateway measured) throws IOException {
        Path config = runFolder.resolve("n" + measured.gateway.number).resolve("config.json");
        return new ObjectMapper().readTree(config.toFile()).path("listen").asText();
    }

    private static boolean healthy(URI uri) {
        try {
            HttpURLConnection connection = (HttpURLConnection) uri.toURL().openConnection();
            connection.setConnectTimeout(HEALTH_TIMEOUT_MS);
            connection.setReadTimeout(HEALTH_TIMEOUT_MS);
            return connection.getResponseCode() == STATUS_OK;
        } catch (IOException e) {
            return false;
        }
    }

    private static String lastLine(Path log) throws IOException {
        List<String> lines = Files.exists(log) ? Files.readAllLines(log) : List.of();
        return lines.isEmpty() ? "no output" : lines.get(lines.size() - 1);
    }

    // ---- measurement

    private void runMeasurement() throws InterruptedException, ExecutionException {
        Thread.sleep((long) (1000 * options.settleSeconds));
        callOnEventLoop(() -> {
            pacer.start();
            return null;
        });
        List<Sample> idleStart = samples();
        awaitClock(options.loadFromMs());
        List<Sample> idleEnd = samples();
        callOnEventLoop(() -> {
            fleet.startClients(options.measuredUntilMs());
            return null;
        });
        awaitClock(options.measuredFromMs());
        callOnEventLoop(pacer::takeMaxLagMs);
        List<Sample> loadedStart = samples();
        awaitClock(options.measuredUntilMs());
        List<Sample> loadedEnd = samples();
        double maxLagMs = callOnEventLoop(pacer::takeMaxLagMs);
        awaitClock(options.measuredUntilMs() + options.deadlineMs + DRAIN_MS);
        addCosts("idle", idleStart, idleEnd, options.idleSeconds);
        addCosts("loaded", loadedStart, loadedEnd, options.seconds);
        double maxResidentMegabytes =
                loadedEnd.stream().mapToDouble(Sample::residentMegabytes).max().orElse(0);
        costs.put("real_resident_mb_max", Report.round(maxResidentMegabytes));
        for (RunStatistics.RequestOutcome outcome : RunStatistics.RequestOutcome.values()) {
            costs.put("real_" + outcome.name().toLowerCase(java.util.Locale.ROOT), latencies.outcomes(outcome));
        }
        costs.put("real_pairs", latencies.gatewayMicros.getTotalCount());
        addCosts("via", latencies.gatewayMicros);
        addCosts("direct", latencies.directMicros);
        addCosts("added", latencies.addedMicros);
        costs.put("clock_late_ms_max", Report.round(maxLagMs));
    }

    private List<Sample> samples() throws InterruptedException, ExecutionException {
        List<Sample> samples = new ArrayList<>();
        for (MeasuredGateway measured : measuredGateways) {
            samples.add(callOnEventLoop(() -> new Sample(
                    measured.process.cpuSeconds(),
                    measured.process.residentMegabytes(),
                    measured.traffic.bytes(),
                    measured.traffic.messages())));
        }
        return samples;
    }

    private void awaitClock(double untilMs) throws InterruptedException {
        long lastProgressNanos = System.nanoTime();
        while (pacer.now() < untilMs) {
            Thread.sleep(POLL_INTERVAL_MS);
            if (System.nanoTime() - lastProgressNanos > TimeUnit.SECONDS.toNanos(PROGRESS_INTERVAL_SECONDS)) {
                lastProgressNanos = System.nanoTime();
                progress.printf("scale: ran %.1f of %.1f s%n", pacer.now() / 1000, options.measuredUntilMs() / 1000);
            }
        }
    }

    /** Adds the means and maxima over the processes, per second. */
    private void addCosts(String phase, List<Sample> from, List<Sample> to, double seconds) {
        double[][] rates = new double[3][from.size()];
        for (int i = 0; i < from.size(); i++) {
            rates[0][i] = (to.get(i).cpuSeconds - from.get(i).cpuSeconds) / seconds;
            rates[1][i] = (to.get(i).bytes - from.get(i).bytes) / seconds;
            rates[2][i] = (to.get(i).messages - from.get(i).messages) / seconds;
        }
        String[] names = {"cpu_share_of_core", "control_bytes_per_second", "control_messages_per_second"};
        for (int metric = 0; metric < names.length; metric++) {
            costs.put(
                    "real_" + phase + "_" + names[metric] + "_mean",
                    Report.round(Arrays.stream(rates[metric]).average().orElse(0)));
            costs.put(
                    "real_" + phase + "_" + names[metric] + "_max",
                    Report.round(Arrays.stream(rates[metric]).max().orElse(0)));
        }
    }

    private void addCosts(String name, Histogram histogram) {
        costs.put(name + "_ms_p50", histogram.getValueAtPercentile(50) / 1000.0);
        costs.put(name + "_ms_p99", histogram.getValueAtPercentile(99) / 1000.0);
        costs.put(name + "_ms_p99_9", histogram.getValueAtPercentile(99.9) / 1000.0);
    }

    // ---- shutdown

    private void shutDown() throws IOException {
        measuredGateways.forEach(measured -> measured.process.stop());
        long cleanExits = measuredGateways.stream()
                .filter(measured -> measured.process.awaitExit())
                .count();
        costs.put("real_ended_in_order", cleanExits);
        costs.put(
                "real_left_running",
                measuredGateways.stream()
                        .filter(measured -> measured.process.alive())
                        .count());
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        try (Stream<Path> files = Files.walk(runFolder)) {
            files.sorted(Comparator.reverseOrder())
                    .forEach(file -> file.toFile().delete());
        }
    }

    Map<String, Object> costs() {
        return costs;
    }
}
