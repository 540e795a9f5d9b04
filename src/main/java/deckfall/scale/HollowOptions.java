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
class HollowOptions implements Callable<Integer> {
    static final double START_MS = 1000; // in which the gateways start, each at a moment of its own
    private static final double USED = 0.5; // of the servers' slots, where these are not given
    private static final int MOST_GATEWAYS = 10_000;
    private static final int MOST_SERVERS = 100_000;
    private static final int MOST_CLASSES = 100_000;
    private static final int MOST_TENANTS = 10_000_000;
    private static final double MOST_RATE = 1e7;
    private static final double MOST_SECONDS = 100_000;
    private static final double MOST_MS = 600_000;

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
    int tenants;

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
    double queueSlots;

    @Option(names = "--cold-from", defaultValue = "0.3", description = "capacity at its start (${DEFAULT-VALUE})")
    double coldFrom;

    @Option(names = "--warm-ms", defaultValue = "10000", description = "until it is warm (${DEFAULT-VALUE})")
    double warmMs;

    @Option(names = "--goal-ms", defaultValue = "300", description = "time a request aims at (${DEFAULT-VALUE})")
    double goalMs;

    @Option(names = "--deadline-ms", defaultValue = "600", description = "that a client waits (${DEFAULT-VALUE})")
    double deadlineMs;

    @Option(names = "--max-units", defaultValue = "1", description = "a request's largest units (${DEFAULT-VALUE})")
    int maxUnits;

    @Option(names = "--open-limit", defaultValue = "0", description = "a customer's attempts out (${DEFAULT-VALUE})")
    int openLimit;

    @Option(names = "--retries", defaultValue = "2", description = "further tries of a client (${DEFAULT-VALUE})")
    int retries;

    @Option(names = "--retry-share", defaultValue = "0.4", description = "of what was refused (${DEFAULT-VALUE})")
    double retryShare;

    @Option(names = "--near-ms", defaultValue = "0.25", description = "one way in a zone (${DEFAULT-VALUE})")
    double nearMs;

    @Option(names = "--region-ms", defaultValue = "15", description = "one way between regions (${DEFAULT-VALUE})")
    double regionMs;

    @Option(names = "--discovery-ms", defaultValue = "1000", description = "longest delay (${DEFAULT-VALUE})")
    double discoveryMs;

    @Option(
            names = "--counter-rate",
            defaultValue = "1100",
            description = "calls a second in all; 0: no counter (${DEFAULT-VALUE})")
    double counterRate;

    @Option(names = "--counter-parts", defaultValue = "1", description = "parts of it (${DEFAULT-VALUE})")
    int counterParts;

    @Option(names = "--counter-ms", defaultValue = "1", description = "there and back (${DEFAULT-VALUE})")
    double counterMs;

    @Option(names = "--counter-timeout-ms", defaultValue = "50", description = "of a call (${DEFAULT-VALUE})")
    double counterTimeoutMs;

    @Option(names = "--counter-line", defaultValue = "1", description = "longest, in time-outs (${DEFAULT-VALUE})")
    double counterLine;

    @Option(names = "--meter-period-ms", defaultValue = "1000", description = "of the meter (${DEFAULT-VALUE})")
    double meterPeriodMs;

    @Option(names = "--meter-late-ms", defaultValue = "350", description = "0: no meter (${DEFAULT-VALUE})")
    double meterLateMs;

    @Option(names = "--references", description = "play the reference policies on the same seed as well")
    boolean references;

    @Option(
            names = "--seen-late-ms",
            defaultValue = "500",
            description = "age of the stores that the late-seeing reference knows (${DEFAULT-VALUE})")
    double seenLateMs;

    @Option(
            names = "--fault",
            paramLabel = "AT:KIND:LENGTH[:SIZE]",
            converter = Fault.Converter.class,
            description = "seconds after the warm-up, kind, seconds, size; may be given again")
    List<Fault> faults = new ArrayList<>();

    @Option(names = "--json", paramLabel = "FILE", description = "a line of results is added to it")
    File json;

    @Override
    public Integer call() {
        check();
        return report(System.err).write(System.out);
    }

    /** Plays the module and, where they are wanted, the reference policies. */
    Report report(PrintStream progress) {
        HollowRun.Result result = new HollowRun(this, progress).play();
        Report report = new Report(this, "hollow", result.fleet(), result.costs());
        if (references) {
            report.addReference(
                    "late_seeing",
                    new HollowRun(this, progress).playReference(seenLateMs).fleet());
            report.addReference(
                    "all_seeing", new HollowRun(this, progress).playReference(0).fleet());
        }
        return report;
    }

    void check() {
        within("--gateways", gateways, 1, MOST_GATEWAYS);
        within("--servers", servers, 1, MOST_SERVERS);
        within("--zones", zones, 1, Math.min(gateways, servers));
        within("--regions", regions, 1, zones);
        within("--classes", classes, 1, MOST_CLASSES);
        within("--tenants", tenants, 1, MOST_TENANTS);
        within("--spread", spread, 1, gateways);
        within("--rps", requestsPerSecond, 1e-3, MOST_RATE);
        within("--seconds", seconds, 1, MOST_SECONDS);
        within("--warm-up-seconds", warmUpSeconds, 0, MOST_SECONDS);
        within("--idle-seconds", idleSeconds, 0, MOST_SECONDS);
        within("--service-ms", serviceMs, 1e-3, MOST_MS);
        within("--slots", slots, 0, MOST_SERVERS);
        within("--queue-slots", queueSlots, 0, MOST_SERVERS);
        within("--cold-from", coldFrom, 0.01, 1);
        within("--warm-ms", warmMs, 1, MOST_MS);
        within("--goal-ms", goalMs, 1, MOST_MS);
        within("--deadline-ms", deadlineMs, goalMs, MOST_MS);
        within("--max-units", maxUnits, 1, MOST_CLASSES);
        within("--open-limit", openLimit, 0, MOST_CLASSES);
        within("--retries", retries, 0, SimulatedClients.MAX_RETRIES);
        within("--retry-share", retryShare, 0, 1);
        within("--near-ms", nearMs, 0, MOST_MS);
        within("--region-ms", regionMs, 0, MOST_MS);
        within("--discovery-ms", discoveryMs, 0, MOST_MS);
        within("--counter-rate", counterRate, 0, MOST_RATE);
        within("--counter-parts", counterParts, 1, MOST_CLASSES);
        within("--counter-ms", counterMs, 0, MOST_MS);
        within("--counter-timeout-ms", counterTimeoutMs, 1, MOST_MS);
        within("--counter-line", counterLine, 0, MOST_SECONDS);
        within("--meter-period-ms", meterPeriodMs, 1, MOST_MS);
        within("--meter-late-ms", meterLateMs, 0, MOST_MS);
        within("--seen-late-ms", seenLateMs, 0, MOST_MS);
        if (regions == 1 && faults.stream().anyMatch(f -> f.kind() == Fault.Kind.REGION_CUT)) {
            throw bad("--fault: region-cut needs --regions 2 or more");
        }
        if (json != null
                && (json.isDirectory()
                        || json.exists() && !json.canWrite()
                        || !json.getAbsoluteFile().getParentFile().isDirectory())) {
            throw bad("--json: can't write '" + json + "'");
        }
    }

    final void within(String name, double value, double least, double most) {
        if (!(value >= least && value <= most)) {
            throw bad(name + ": " + text(value) + " is not from " + text(least) + " to " + text(most));
        }
    }

    private static String text(double value) {
        return value == Math.rint(value) && Math.abs(value) < Long.MAX_VALUE
                ? Long.toString((long) value)
                : Double.toString(value);
    }

    final ParameterException bad(String message) {
        return new ParameterException(spec.commandLine(), message);
    }

    double warmUpMs() {
        return START_MS + 1000 * warmUpSeconds;
    }

    double endMs() {
        return warmUpMs() + 1000 * seconds;
    }

    /** Requests in work at a server. */
    int slots() {
        return slots > 0 ? slots : slotsFor(USED);
    }

    /** As many as leave such a share of them in use. */
    final int slotsFor(double used) {
        return (int) Math.ceil(requestsPerSecond * serviceMs / 1000 / servers / used);
    }

    /** Each argument with its value. */
    Map<String, Object> arguments() {
        Map<String, Object> all = new LinkedHashMap<>();
        spec.options().stream()
                .filter(o -> !o.usageHelp() && !o.versionHelp() && o.getValue() != null)
                .forEach(o -> all.put(o.longestName().substring(2), o.getValue()));
        all.put("fault", faults.stream().map(Fault::toString).toList());
        return all;
    }
}
