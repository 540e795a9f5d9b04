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

/** The arguments of a run of hollow gateways; each is checked before anything is built. */
@Command(
        name = "hollow",
        description = "The decision module of a whole fleet on one clock, against stand-ins.",
        sortOptions = false,
        mixinStandardHelpOptions = true)
class SimulationOptions implements Callable<Integer> {
    static final double STARTUP_MS = 1000; // in which the gateways start, each at a moment of its own
    private static final double TARGET_UTILIZATION = 0.5; // of the servers' slots, where these are not given
    private static final int MAX_GATEWAYS = 10_000;
    private static final int MAX_SERVERS = 100_000;
    private static final int MAX_CLASSES = 100_000;
    private static final int MAX_CUSTOMERS = 10_000_000;
    private static final double MAX_RATE = 1e7;
    private static final double MAX_SECONDS = 100_000;
    private static final double MAX_MS = 600_000;

    @Spec
    private CommandSpec spec;

    @Option(names = "--gateways", defaultValue = "100", description = "api gateways (${DEFAULT-VALUE})")
    int gateways;

    @Option(names = "--servers", defaultValue = "200", description = "seat servers (${DEFAULT-VALUE})")
    int servers;

    @Option(names = "--zones", defaultValue = "3", description = "zones (${DEFAULT-VALUE})")
    int zones;

    @Option(names = "--regions", defaultValue = "1", description = "regions that share the zones (${DEFAULT-VALUE})")
    int regions;

    @Option(names = "--classes", defaultValue = "2", description = "classes of requests (${DEFAULT-VALUE})")
    int classes;

    @Option(names = "--tenants", defaultValue = "6300", description = "customers (${DEFAULT-VALUE})")
    int customers;

    @Option(names = "--spread", defaultValue = "3", description = "gateways of a customer's set (${DEFAULT-VALUE})")
    int spread;

    @Option(names = "--rps", defaultValue = "10200", description = "first tries a second in all (${DEFAULT-VALUE})")
    double requestsPerSecond;

    @Option(names = "--seconds", defaultValue = "20", description = "measured time (${DEFAULT-VALUE})")
    double seconds;

    @Option(names = "--warm-up-seconds", defaultValue = "10", description = "load before it (${DEFAULT-VALUE})")
    double warmUpSeconds;

    @Option(names = "--idle-seconds", defaultValue = "2", description = "without load after it (${DEFAULT-VALUE})")
    double idleSeconds;

    @Option(names = "--seed", defaultValue = "1", description = "of all that is drawn (${DEFAULT-VALUE})")
    long seed;

    @Option(names = "--service-ms", defaultValue = "50", description = "mean service time (${DEFAULT-VALUE})")
    double serviceMs;

    @Option(
            names = "--slots",
            defaultValue = "0",
            description = "requests in work at a server; 0: so many that half are used (${DEFAULT-VALUE})")
    int slots;

    @Option(names = "--queue-slots", defaultValue = "4", description = "its line, times its slots (${DEFAULT-VALUE})")
    double queueSlotsFactor;

    @Option(names = "--cold-from", defaultValue = "0.3", description = "capacity at its start (${DEFAULT-VALUE})")
    double coldCapacity;

    @Option(names = "--warm-ms", defaultValue = "10000", description = "until it is warm (${DEFAULT-VALUE})")
    double serverWarmUpMs;

    @Option(names = "--goal-ms", defaultValue = "300", description = "time a request aims at (${DEFAULT-VALUE})")
    double goalMs;

    @Option(names = "--deadline-ms", defaultValue = "600", description = "that a client waits (${DEFAULT-VALUE})")
    double deadlineMs;

    @Option(names = "--max-units", defaultValue = "1", description = "a request's largest units (${DEFAULT-VALUE})")
    int maxUnits;

    @Option(names = "--open-limit", defaultValue = "0", description = "a customer's attempts out (${DEFAULT-VALUE})")
    int maxOpenAttempts;

    @Option(names = "--retries", defaultValue = "2", description = "further tries of a client (${DEFAULT-VALUE})")
    int retries;

    @Option(names = "--retry-share", defaultValue = "0.4", description = "of what was refused (${DEFAULT-VALUE})")
    double retryShare;

    @Option(names = "--near-ms", defaultValue = "0.25", description = "one way in a zone (${DEFAULT-VALUE})")
    double zoneLatencyMs;

    @Option(names = "--region-ms", defaultValue = "15", description = "one way between regions (${DEFAULT-VALUE})")
    double regionLatencyMs;

    @Option(names = "--discovery-ms", defaultValue = "1000", description = "longest delay (${DEFAULT-VALUE})")
    double maxDiscoveryDelayMs;

    @Option(
            names = "--counter-rate",
            defaultValue = "1100",
            description = "calls a second in all; 0: no counter (${DEFAULT-VALUE})")
    double counterCallsPerSecond;

    @Option(names = "--counter-parts", defaultValue = "1", description = "parts of it (${DEFAULT-VALUE})")
    int counterShards;

    @Option(names = "--counter-ms", defaultValue = "1", description = "there and back (${DEFAULT-VALUE})")
    double counterRoundTripMs;

    @Option(names = "--counter-timeout-ms", defaultValue = "50", description = "of a call (${DEFAULT-VALUE})")
    double counterTimeoutMs;

    @Option(names = "--counter-line", defaultValue = "1", description = "longest, in time-outs (${DEFAULT-VALUE})")
    double maxCounterQueueTimeouts;

    @Option(names = "--meter-period-ms", defaultValue = "1000", description = "of the meter (${DEFAULT-VALUE})")
    double meterPeriodMs;

    @Option(names = "--meter-late-ms", defaultValue = "350", description = "0: no meter (${DEFAULT-VALUE})")
    double meterDelayMs;

    @Option(names = "--references", description = "play the reference policies on the same seed as well")
    boolean withReferences;

    @Option(
            names = "--seen-late-ms",
            defaultValue = "500",
            description = "age of the stores that the late-seeing reference knows (${DEFAULT-VALUE})")
    double referenceDelayMs;

    @Option(
            names = "--fault",
            paramLabel = "AT:KIND:LENGTH[:SIZE]",
            converter = Fault.Converter.class,
            description = "seconds after the warm-up, kind, seconds, size; may be given again")
    List<Fault> faults = new ArrayList<>();

    @Option(names = "--json", paramLabel = "FILE", description = "a line of results is added to it")
    File jsonFile;

    @Override
    public Integer call() {
        check();
        return report(System.err).write(System.out);
    }

    /** Plays the module and, where they are wanted, the reference policies. */
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
        requireInRange("--open-limit", maxOpenAttempts, 0, MAX_CLASSES);
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

    double measuredFromMs() {
        return STARTUP_MS + 1000 * warmUpSeconds;
    }

    double measuredUntilMs() {
        return measuredFromMs() + 1000 * seconds;
    }

    /** Requests in work at a server. */
    int slots() {
        return slots > 0 ? slots : slotsForUtilization(TARGET_UTILIZATION);
    }

    /** As many as leave such a share of them in use. */
    final int slotsForUtilization(double utilization) {
        return (int) Math.ceil(requestsPerSecond * serviceMs / 1000 / servers / utilization);
    }

    /** Each argument with its value. */
    Map<String, Object> arguments() {
        Map<String, Object> arguments = new LinkedHashMap<>();
        spec.options().stream()
                .filter(option -> !option.usageHelp() && !option.versionHelp() && option.getValue() != null)
                .forEach(option -> arguments.put(option.longestName().substring(2), option.getValue()));
        arguments.put("fault", faults.stream().map(Fault::toString).toList());
        return arguments;
    }
}
