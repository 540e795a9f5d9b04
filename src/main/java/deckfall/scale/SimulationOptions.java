package deckfall.scale;

import java.io.File;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The options of a run of simulated gateways. All are checked before the run starts. */
@Command(
        name = "hollow",
        description = "Simulates a whole fleet with the real decision module in virtual time.",
        sortOptions = false,
        mixinStandardHelpOptions = true)
class SimulationOptions implements Callable<Integer> {
    static final double STARTUP_MS = 1000; // in which the gateways start, each at a random time
    private static final double TARGET_UTILIZATION = 0.5; // of the slots of a server, if --slots is not given
    private static final int MAX_GATEWAYS = 10_000;
    private static final int MAX_SERVERS = 100_000;
    private static final int MAX_CLASSES = 100_000;
    private static final int MAX_CUSTOMERS = 10_000_000;
    private static final double MAX_RATE = 1e7;
    private static final double MAX_SECONDS = 100_000;
    private static final double MAX_MS = 600_000;

    @Spec
    private CommandSpec spec;

    @Option(names = "--gateways", defaultValue = "100", description = "number of API gateways (${DEFAULT-VALUE})")
    int gateways;

    @Option(names = "--servers", defaultValue = "200", description = "number of seat servers (${DEFAULT-VALUE})")
    int servers;

    @Option(names = "--zones", defaultValue = "3", description = "number of zones (${DEFAULT-VALUE})")
    int zones;

    @Option(
            names = "--regions",
            defaultValue = "1",
            description = "number of regions that share the zones (${DEFAULT-VALUE})")
    int regions;

    @Option(names = "--classes", defaultValue = "2", description = "number of request classes (${DEFAULT-VALUE})")
    int classes;

    @Option(names = "--tenants", defaultValue = "6300", description = "number of customers (${DEFAULT-VALUE})")
    int customers;

    @Option(
            names = "--spread",
            defaultValue = "3",
            description = "number of gateways in a customer's set (${DEFAULT-VALUE})")
    int spread;

    @Option(
            names = "--rps",
            defaultValue = "10200",
            description = "requests per second of all clients together, without retries (${DEFAULT-VALUE})")
    double requestsPerSecond;

    @Option(
            names = "--seconds",
            defaultValue = "20",
            description = "duration of the measured period in seconds (${DEFAULT-VALUE})")
    double seconds;

    @Option(
            names = "--warm-up-seconds",
            defaultValue = "10",
            description = "time under load before the measured period in seconds (${DEFAULT-VALUE})")
    double warmUpSeconds;

    @Option(
            names = "--idle-seconds",
            defaultValue = "2",
            description =
                    "seconds without load: after the measured period, or first with real processes (${DEFAULT-VALUE})")
    double idleSeconds;

    @Option(names = "--seed", defaultValue = "1", description = "seed of all random numbers (${DEFAULT-VALUE})")
    long seed;

    @Option(
            names = "--service-ms",
            defaultValue = "50",
            description = "mean service time of a request in milliseconds (${DEFAULT-VALUE})")
    double serviceMs;

    @Option(
            names = "--slots",
            defaultValue = "0",
            description = "requests that a server processes concurrently; 0: enough for half to be in use, "
                    + "or one in twenty with real processes (${DEFAULT-VALUE})")
    int slots;

    @Option(
            names = "--queue-slots",
            defaultValue = "4",
            description = "length of a server's queue as a multiple of its slots (${DEFAULT-VALUE})")
    double queueSlotsFactor;

    @Option(
            names = "--cold-from",
            defaultValue = "0.3",
            description = "capacity of a server at its start as a share of its full capacity (${DEFAULT-VALUE})")
    double coldCapacity;

    @Option(
            names = "--warm-ms",
            defaultValue = "10000",
            description = "time from the start of a server to its full capacity in milliseconds (${DEFAULT-VALUE})")
    double serverWarmUpMs;

    @Option(
            names = "--goal-ms",
            defaultValue = "300",
            description = "response time goal of a request in milliseconds (${DEFAULT-VALUE})")
    double goalMs;

    @Option(
            names = "--deadline-ms",
            defaultValue = "600",
            description = "time that a client waits for a response in milliseconds (${DEFAULT-VALUE})")
    double deadlineMs;

    @Option(
            names = "--max-units",
            defaultValue = "1",
            description = "largest number of units of a request (${DEFAULT-VALUE})")
    int maxUnits;

    @Option(
            names = "--open-limit",
            defaultValue = "0",
            description = "limit of a customer's concurrent requests; 0: no limit (${DEFAULT-VALUE})")
    int openLimit;

    @Option(
            names = "--retries",
            defaultValue = "2",
            description = "largest number of retries of a refused request (${DEFAULT-VALUE})")
    int retries;

    @Option(
            names = "--retry-share",
            defaultValue = "0.4",
            description = "share of the refused requests that are retried (${DEFAULT-VALUE})")
    double retryShare;

    @Option(
            names = "--near-ms",
            defaultValue = "0.25",
            description = "one-way latency within a zone in milliseconds; twice that between zones (${DEFAULT-VALUE})")
    double zoneLatencyMs;

    @Option(
            names = "--region-ms",
            defaultValue = "15",
            description = "one-way latency between regions in milliseconds (${DEFAULT-VALUE})")
    double regionLatencyMs;

    @Option(
            names = "--discovery-ms",
            defaultValue = "1000",
            description = "longest delay of a list from discovery in milliseconds (${DEFAULT-VALUE})")
    double maxDiscoveryDelayMs;

    @Option(
            names = "--counter-rate",
            defaultValue = "1100",
            description = "calls per second that the counter serves in total; 0: no counter (${DEFAULT-VALUE})")
    double counterCallsPerSecond;

    @Option(
            names = "--counter-parts",
            defaultValue = "1",
            description = "number of shards of the counter (${DEFAULT-VALUE})")
    int counterShards;

    @Option(
            names = "--counter-ms",
            defaultValue = "1",
            description = "round-trip time to the counter in milliseconds (${DEFAULT-VALUE})")
    double counterRoundTripMs;

    @Option(
            names = "--counter-timeout-ms",
            defaultValue = "50",
            description = "timeout of a counter call in milliseconds (${DEFAULT-VALUE})")
    double counterTimeoutMs;

    @Option(
            names = "--counter-line",
            defaultValue = "1",
            description = "longest wait in a queue of the counter as a multiple of the call timeout (${DEFAULT-VALUE})")
    double maxCounterQueueTimeouts;

    @Option(
            names = "--meter-period-ms",
            defaultValue = "1000",
            description = "period of the meter in milliseconds (${DEFAULT-VALUE})")
    double meterPeriodMs;

    @Option(
            names = "--meter-late-ms",
            defaultValue = "350",
            description =
                    "delay of the meter after the end of a period in milliseconds; 0: no meter (${DEFAULT-VALUE})")
    double meterDelayMs;

    @Option(names = "--references", description = "also run the reference policies with the same seed")
    boolean withReferences;

    @Option(
            names = "--seen-late-ms",
            defaultValue = "500",
            description = "age in milliseconds of the buckets that the late_seeing reference uses (${DEFAULT-VALUE})")
    double referenceDelayMs;

    @Option(
            names = "--fault",
            paramLabel = "AT:KIND:LENGTH[:SIZE]",
            converter = Fault.Converter.class,
            description = "start in seconds after the warm-up, kind, duration in seconds, size; may be repeated")
    List<Fault> faults = new ArrayList<>();

    @Option(names = "--json", paramLabel = "FILE", description = "file to which a line of results is appended")
    File jsonFile;

    @Override
    public Integer call() {
        check();
        return report(System.err).write(System.out);
    }

    /** Runs the decision module and, if requested, the reference policies. */
    Report report(PrintStream progress) {
        SimulationRun.Result result = new SimulationRun(this, progress).run();
        Report report = new Report(this, "hollow", result.fleet(), result.costs());
        if (withReferences) {
            report.addReference(
                    "late_seeing",
                    new SimulationRun(this, progress)
                            .runReference(referenceDelayMs)
                            .fleet());
            report.addReference(
                    "all_seeing",
                    new SimulationRun(this, progress).runReference(0).fleet());
        }
        return report;
    }

    /** Rejects values out of range and combinations that no run supports. */
    void check() {
        requireInRange("--gateways", gateways, 1, MAX_GATEWAYS);
        requireInRange("--servers", servers, 1, MAX_SERVERS);
        requireInRange("--zones", zones, 1, Math.min(gateways, servers));
        requireInRange("--regions", regions, 1, zones);
        requireInRange("--classes", classes, 1, MAX_CLASSES);
        requireInRange("--tenants", customers, 1, MAX_CUSTOMERS);
        requireInRange("--spread", spread, 1, gateways);
        requireInRange("--rps", requestsPerSecond, 1e-3, MAX_RATE);
        requireInRange("--seconds", seconds, 1, MAX_SECONDS);
        requireInRange("--warm-up-seconds", warmUpSeconds, 0, MAX_SECONDS);
        requireInRange("--idle-seconds", idleSeconds, 0, MAX_SECONDS);
        requireInRange("--service-ms", serviceMs, 1e-3, MAX_MS);
        requireInRange("--slots", slots, 0, MAX_SERVERS);
        requireInRange("--queue-slots", queueSlotsFactor, 0, MAX_SERVERS);
        requireInRange("--cold-from", coldCapacity, 0.01, 1);
        requireInRange("--warm-ms", serverWarmUpMs, 1, MAX_MS);
        requireInRange("--goal-ms", goalMs, 1, MAX_MS);
        requireInRange("--deadline-ms", deadlineMs, goalMs, MAX_MS);
        requireInRange("--max-units", maxUnits, 1, MAX_CLASSES);
        requireInRange("--open-limit", openLimit, 0, MAX_CLASSES);
        requireInRange("--retries", retries, 0, SimulatedClients.MAX_RETRIES);
        requireInRange("--retry-share", retryShare, 0, 1);
        requireInRange("--near-ms", zoneLatencyMs, 0, MAX_MS);
        requireInRange("--region-ms", regionLatencyMs, 0, MAX_MS);
        requireInRange("--discovery-ms", maxDiscoveryDelayMs, 0, MAX_MS);
        requireInRange("--counter-rate", counterCallsPerSecond, 0, MAX_RATE);
        requireInRange("--counter-parts", counterShards, 1, MAX_CLASSES);
        requireInRange("--counter-ms", counterRoundTripMs, 0, MAX_MS);
        requireInRange("--counter-timeout-ms", counterTimeoutMs, 1, MAX_MS);
        requireInRange("--counter-line", maxCounterQueueTimeouts, 0, MAX_SECONDS);
        requireInRange("--meter-period-ms", meterPeriodMs, 1, MAX_MS);
        requireInRange("--meter-late-ms", meterDelayMs, 0, MAX_MS);
        requireInRange("--seen-late-ms", referenceDelayMs, 0, MAX_MS);
        if (regions == 1 && faults.stream().anyMatch(fault -> fault.kind() == Fault.Kind.REGION_CUT)) {
            throw usageError("--fault: region-cut needs --regions 2 or more");
        }
        if (jsonFile != null
                && (jsonFile.isDirectory()
                        || jsonFile.exists() && !jsonFile.canWrite()
                        || !jsonFile.getAbsoluteFile().getParentFile().isDirectory())) {
            throw usageError("--json: can't write '" + jsonFile + "'");
        }
    }

    final void requireInRange(String name, double value, double min, double max) {
        if (!(value >= min && value <= max)) {
            throw usageError(name + ": " + format(value) + " is not from " + format(min) + " to " + format(max));
        }
    }

    private static String format(double value) {
        return value == Math.rint(value) && Math.abs(value) < Long.MAX_VALUE
                ? Long.toString((long) value)
                : Double.toString(value);
    }

    final ParameterException usageError(String message) {
        return new ParameterException(spec.commandLine(), message);
    }

    /** The virtual time at which the warm-up ends. */
    double measuredFromMs() {
        return STARTUP_MS + 1000 * warmUpSeconds;
    }

    /** The virtual time at which the load ends. */
    double measuredUntilMs() {
        return measuredFromMs() + 1000 * seconds;
    }

    /** The number of requests that a server processes concurrently. */
    int slots() {
        return slots > 0 ? slots : slotsForUtilization(TARGET_UTILIZATION);
    }

    /** The number of slots per server that yields the given utilization. */
    final int slotsForUtilization(double utilization) {
        return (int) Math.ceil(requestsPerSecond * serviceMs / 1000 / servers / utilization);
    }

    /** The value of each option by its name. */
    Map<String, Object> arguments() {
        Map<String, Object> arguments = new LinkedHashMap<>();
        spec.options().stream()
                .filter(option -> !option.usageHelp() && !option.versionHelp() && option.getValue() != null)
                .forEach(option -> arguments.put(option.longestName().substring(2), option.getValue()));
        arguments.put("fault", faults.stream().map(Fault::toString).toList());
        return arguments;
    }
}
