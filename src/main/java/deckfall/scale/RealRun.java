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
 * Plays a run with real processes: the fleet's one clock follows the real one, on the thread that also serves the
 * stand-ins' sockets, so that lists, counter and servers are the same for hollow gateways and real ones. First a
 * time without load, then load to warm up, then the measured time. It ends all that it started.
 */
final class RealRun {
    private static final int FAILED = 1;
    private static final int MOST_BODY = 1 << 20;
    private static final int LONGEST_LINE = 512;
    private static final long READY_SECONDS = 60;
    private static final long LOOK_MS = 20;
    private static final double DRAIN_MS = 1000; // after the last deadline
    private static final int HEALTH_MS = 2000;
    private static final int OK = 200;

    /** What a real gateway is measured by. */
    private record Member(RealGateway gateway, GatewayProcess process, ControlTraffic traffic) {}

    /** One member at one moment. */
    private record Sample(double processorSeconds, double residentMegabytes, long bytes, long messages) {}

    private final RealOptions options;
    private final PrintStream progress;
    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final PairedLatencies times = new PairedLatencies();
    private final List<Member> members = new ArrayList<>();
    private final Map<String, InetSocketAddress> addresses = new HashMap<>(); // of servers
    private final Map<String, Object> costs = new LinkedHashMap<>();
    private final List<RealGateway> gateways = new ArrayList<>();
    private Path folder;
    private Fleet fleet;
    private RealTimePacer pace;

    RealRun(RealOptions options, PrintStream progress) {
        this.options = options;
        this.progress = progress;
    }

    /** The exit code. */
    int play(PrintStream out) {
        try {
            return new Report(options, "real", measure(), costs).write(out);
        } catch (IOException | ExecutionException e) {
            progress.println("scale: " + e.getMessage());
            return FAILED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return FAILED;
        }
    }

    /** Returns once all processes have ended. */
    Fleet measure() throws IOException, InterruptedException, ExecutionException {
        folder = Files.createTempDirectory("deckfall-scale");
        try {
            fleet = onLoop(() -> new Fleet(options, options.processes, options.hollow()));
            pace = new RealTimePacer(group.next(), fleet.queue);
            for (SimulatedServer s : List.copyOf(fleet.servers)) {
                SimulatedServerHandler listener = new SimulatedServerHandler(s, this::came);
                addresses.put(s.id, LoopbackListeners.open(group, () -> http(listener)));
            }
            for (int g = 0; g < options.processes; g++) {
                start(g);
            }
            awaitReady();
            play();
            return fleet;
        } finally {
            end();
        }
    }

    private <T> T onLoop(Callable<T> work) throws InterruptedException, ExecutionException {
        return group.next().submit(work).get();
    }

    private static ChannelHandler[] http(ChannelHandler... last) {
        List<ChannelHandler> all = new ArrayList<>(List.of(new HttpServerCodec(), new HttpObjectAggregator(MOST_BODY)));
        all.addAll(List.of(last));
        return all.toArray(new ChannelHandler[0]);
    }

    private void came(String id, SimulatedServer server, ChannelHandlerContext from) {
        pace.catchUp();
        for (RealGateway g : gateways) {
            if (g.hasRequest(id)) {
                g.requestReceived(id, server, from);
                return;
            }
        }
        SimulatedServerHandler.respond(from, Outcome.MOOT, 0);
    }

    // ---- processes

    private void start(int number) throws IOException, InterruptedException, ExecutionException {
        ControlTraffic traffic = new ControlTraffic();
        int zone = fleet.topology.zoneOf(number);
        Settings settings = fleet.settings(number, NetworkTopology.zoneName(zone));
        InetSocketAddress listen = freePort();
        SimulatedServer aside = onLoop(() -> fleet.addServer(zone, 0, 0)); // on no list: for the direct requests alone
        SimulatedServerHandler direct = new SimulatedServerHandler(aside, this::came);
        RealGateway gateway = new RealGateway(
                fleet,
                pace,
                settings,
                zone,
                times,
                new HttpConnectionPool(group, listen),
                new HttpConnectionPool(group, LoopbackListeners.open(group, () -> http(direct))));
        DiscoveryAgent agent = new DiscoveryAgent(id -> LoopbackListeners.hostAndPort(addresses.get(id)), traffic);
        JsonNode known = onLoop(() -> {
            fleet.gateways[number] = gateway;
            gateways.add(gateway);
            fleet.discovery.watch(number, agent);
            fleet.queue.runUntil(
                    SimulationOptions.STARTUP_MS); // the hollow ones start; the clock then waits for the real ones
            return agent.knownHostsAsJson();
        });
        InetSocketAddress discovery = LoopbackListeners.open(group, () -> with(traffic, http(agent)));
        InetSocketAddress counter = LoopbackListeners.open(group, () -> new ChannelHandler[] {
            traffic,
            new LineBasedFrameDecoder(LONGEST_LINE),
            new CounterConnectionHandler(fleet, pace, gateway, traffic)
        });
        Path own = Files.createDirectory(folder.resolve("n" + number));
        Files.writeString(
                own.resolve("config.json"),
                config(settings, listen, discovery, counter, known).toString());
        members.add(new Member(
                gateway,
                new GatewayProcess(
                        options.run,
                        options.root(),
                        own,
                        "n" + number,
                        LoopbackListeners.hostAndPort(listen),
                        LoopbackListeners.hostAndPort(discovery)),
                traffic));
    }

    private static ChannelHandler[] with(ChannelHandler first, ChannelHandler... rest) {
        return Stream.concat(Stream.of(first), Stream.of(rest)).toArray(ChannelHandler[]::new);
    }

    private static InetSocketAddress freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(free.getInetAddress(), free.getLocalPort());
        }
    }

    private ObjectNode config(
            Settings s,
            InetSocketAddress listen,
            InetSocketAddress discovery,
            InetSocketAddress counter,
            JsonNode known) {
        ObjectNode root = new ObjectMapper()
                .createObjectNode()
                .put("name", "n" + s.gatewayNumber())
                .put("listen", LoopbackListeners.hostAndPort(listen))
                .put("discovery", LoopbackListeners.hostAndPort(discovery))
                .put("seed", Long.toHexString(s.seed()))
                .put("counter", LoopbackListeners.hostAndPort(counter));
        root.putObject("limits").put("cores", 1.0).put("memory_mb", 192).put("sockets", 1024);
        root.set("known", known);
        ObjectNode settings = root.putObject("settings")
                .put("ordinal", s.gatewayNumber())
                .put("balancers", s.gatewayCount())
                .put("az", s.zone());
        settings.putObject("limits")
                .put("max_attempts", s.limits().maxAttempts())
                .put("cancel", true)
                .put("retry_after", true)
                .put("max_retry_after_ms", s.limits().maxRetryAfterMs())
                .put("connect_timeout_ms", s.limits().connectTimeoutMs());
        settings.putObject("rules")
                .put("answer_slack_ms", s.rules().answerSlackMs())
                .put("drain_grace_ms", s.rules().drainGraceMs())
                .put("fall_multiple", s.rules().fallMultiple())
                .put("fall_ms", s.rules().fallMs())
                .put("cold_from", s.rules().coldFrom())
                .put("warm_within_ms", s.rules().warmWithinMs());
        settings.putObject("specifics")
                .put("counter", true)
                .put("counter_price", s.coordination().counterCallPrice())
                .put("meter_period_ms", s.coordination().meterPeriodMs())
                .put("max_units", s.coordination().maxUnitsPerRequest())
                .put("counter_timeout_ms", options.counterTimeoutMs);
        ArrayNode classes = settings.putArray("classes");
        for (RequestClass c : s.classes()) {
            classes.addObject()
                    .put("name", c.name())
                    .put("effect", c.effect() == Effect.REPEATABLE ? "repeatable" : "once")
                    .put("goal_time_ms", c.goalMs())
                    .put("hard_limit_ms", c.deadlineMs())
                    .put("worth", c.worth());
        }
        ArrayNode plans = settings.putArray("plans");
        for (Plan p : s.plans()) {
            plans.addObject()
                    .put("name", p.name())
                    .put("units_per_s", p.rate())
                    .put("depth", p.burst())
                    .put("at_once", p.openLimit())
                    .put("value_factor", p.valueFactor())
                    .put("over_worth", p.excessWorth())
                    .put("excess_cost", p.excessCost());
        }
        return root;
    }

    private void awaitReady() throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_SECONDS);
        for (Member m : members) {
            URI uri = URI.create("http://" + address(m) + "/healthz");
            while (!healthy(uri)) {
                if (!m.process.alive() || System.nanoTime() > end) {
                    throw new IOException("gateway " + m.gateway.number + " is not ready: "
                            + lastLine(folder.resolve("n" + m.gateway.number).resolve("log")));
                }
                Thread.sleep(LOOK_MS);
            }
        }
    }

    private String address(Member m) throws IOException {
        Path config = folder.resolve("n" + m.gateway.number).resolve("config.json");
        return new ObjectMapper().readTree(config.toFile()).path("listen").asText();
    }

    private static boolean healthy(URI uri) {
        try {
            HttpURLConnection c = (HttpURLConnection) uri.toURL().openConnection();
            c.setConnectTimeout(HEALTH_MS);
            c.setReadTimeout(HEALTH_MS);
            return c.getResponseCode() == OK;
        } catch (IOException e) {
            return false;
        }
    }

    private static String lastLine(Path log) throws IOException {
        List<String> lines = Files.exists(log) ? Files.readAllLines(log) : List.of();
        return lines.isEmpty() ? "it says nothing" : lines.get(lines.size() - 1);
    }

    // ---- the measured time

    private void play() throws InterruptedException, ExecutionException {
        Thread.sleep((long) (1000 * options.settleSeconds));
        onLoop(() -> {
            pace.start();
            return null;
        });
        List<Sample> before = samples();
        awaitClock(options.loadMs());
        List<Sample> idle = samples();
        onLoop(() -> {
            fleet.startClients(options.measuredUntilMs());
            return null;
        });
        awaitClock(options.measuredFromMs());
        onLoop(pace::takeMaxLagMs);
        List<Sample> from = samples();
        awaitClock(options.measuredUntilMs());
        List<Sample> to = samples();
        double late = onLoop(pace::takeMaxLagMs);
        awaitClock(options.measuredUntilMs() + options.deadlineMs + DRAIN_MS);
        told("idle", before, idle, options.idleSeconds);
        told("loaded", from, to, options.seconds);
        double resident =
                to.stream().mapToDouble(Sample::residentMegabytes).max().orElse(0);
        costs.put("real_resident_mb_max", Report.rounded(resident));
        for (RunStatistics.RequestOutcome end : RunStatistics.RequestOutcome.values()) {
            costs.put("real_" + end.name().toLowerCase(java.util.Locale.ROOT), times.outcomes(end));
        }
        costs.put("real_pairs", times.gatewayMicros.getTotalCount());
        told("via", times.gatewayMicros);
        told("direct", times.directMicros);
        told("added", times.addedMicros);
        costs.put("clock_late_ms_max", Report.rounded(late));
    }

    private List<Sample> samples() throws InterruptedException, ExecutionException {
        List<Sample> all = new ArrayList<>();
        for (Member m : members) {
            all.add(onLoop(() -> new Sample(
                    m.process.cpuSeconds(), m.process.residentMegabytes(), m.traffic.bytes(), m.traffic.messages())));
        }
        return all;
    }

    private void awaitClock(double ms) throws InterruptedException {
        long told = System.nanoTime();
        while (pace.now() < ms) {
            Thread.sleep(LOOK_MS);
            if (System.nanoTime() - told > TimeUnit.SECONDS.toNanos(5)) {
                told = System.nanoTime();
                progress.printf("scale: at %.1f of %.1f s%n", pace.now() / 1000, options.measuredUntilMs() / 1000);
            }
        }
    }

    /** Means and largest of the processes, a second. */
    private void told(String phase, List<Sample> from, List<Sample> to, double seconds) {
        double[][] rates = new double[3][from.size()];
        for (int i = 0; i < from.size(); i++) {
            rates[0][i] = (to.get(i).processorSeconds - from.get(i).processorSeconds) / seconds;
            rates[1][i] = (to.get(i).bytes - from.get(i).bytes) / seconds;
            rates[2][i] = (to.get(i).messages - from.get(i).messages) / seconds;
        }
        String[] names = {"cpu_share_of_core", "control_bytes_per_second", "control_messages_per_second"};
        for (int k = 0; k < names.length; k++) {
            costs.put(
                    "real_" + phase + "_" + names[k] + "_mean",
                    Report.rounded(Arrays.stream(rates[k]).average().orElse(0)));
            costs.put(
                    "real_" + phase + "_" + names[k] + "_max",
                    Report.rounded(Arrays.stream(rates[k]).max().orElse(0)));
        }
    }

    private void told(String name, Histogram h) {
        costs.put(name + "_ms_p50", h.getValueAtPercentile(50) / 1000.0);
        costs.put(name + "_ms_p99", h.getValueAtPercentile(99) / 1000.0);
        costs.put(name + "_ms_p99_9", h.getValueAtPercentile(99.9) / 1000.0);
    }

    // ---- the end

    private void end() throws IOException {
        members.forEach(m -> m.process.stop());
        long inOrder = members.stream().filter(m -> m.process.awaitExit()).count();
        costs.put("real_ended_in_order", inOrder);
        costs.put(
                "real_left_running",
                members.stream().filter(m -> m.process.alive()).count());
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        try (Stream<Path> all = Files.walk(folder)) {
            all.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
        }
    }

    Map<String, Object> costs() {
        return costs;
    }
}
