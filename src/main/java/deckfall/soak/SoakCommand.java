package deckfall.soak;

import deckfall.soak.RuleChecker.Rule;
import deckfall.soak.RuleChecker.Violation;
import deckfall.soak.SoakRun.RunResult;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The {@code soak} command: executes one run for each of several seeds. The exit code is 1 if a rule was broken. */
@Command(
        name = "soak",
        description = "Runs real gateway processes under overlapping faults and checks the rules of the service.",
        mixinStandardHelpOptions = true)
public final class SoakCommand implements Callable<Integer> {
    private static final int MAX_PRINTED_VIOLATIONS = 5; // of each rule, per run
    private static final int MIN_GATEWAYS = 6;
    private static final int MAX_GATEWAYS = 18;
    private static final int CROWD_SEED_INTERVAL = 4; // every fourth seed
    private static final int FEW_SOCKETS_SEED_INTERVAL = 3; // every third seed
    /** The options of the deploy file, except for the class archive, which only the platform's build creates. */
    private static final List<String> JVM_OPTIONS = List.of(
            "-Djava.net.preferIPv4Stack=true",
            "-Xms24m",
            "-Xmx48m",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:-UsePerfData",
            "-XX:MaxMetaspaceSize=40m",
            "-XX:ReservedCodeCacheSize=16m",
            "-XX:MaxDirectMemorySize=16m",
            "-Xss512k");

    @Option(names = "--seed", description = "first seed (default: ${DEFAULT-VALUE})")
    private long seed = 1;

    @Option(names = "--runs", description = "number of runs, with consecutive seeds (default: ${DEFAULT-VALUE})")
    private int runs = 1;

    @Option(
            names = "--seconds",
            description = "duration of the load in one run, in seconds (default: ${DEFAULT-VALUE})")
    private int seconds = 12;

    @Option(
            names = "--gateways",
            description = "number of gateways; 0 draws 6 to 18 from the seed (default: ${DEFAULT-VALUE})")
    private int gateways;

    @Option(
            names = "--faults",
            description = "drawn, none, or a fault plan for all processes (default: ${DEFAULT-VALUE})")
    private String faults = SoakOptions.DRAWN;

    @Option(
            names = "--crowd",
            description = "idle clients: always, never, or drawn (every fourth seed) (default: ${DEFAULT-VALUE})")
    private String crowd = SoakOptions.DRAWN;

    @Option(
            names = "--sockets",
            description = "descriptor limit of a gateway; 0: 1024, or 256 with idle clients and for every third seed")
    private int sockets;

    @Option(names = "--no-restarts", description = "neither restart nor signal processes")
    private boolean noRestarts;

    @Option(names = "--keep", description = "folder that keeps the logs of runs that broke a rule")
    private Path keep;

    private final PrintWriter out = new PrintWriter(System.out, true, StandardCharsets.UTF_8);

    private SoakCommand() {}

    /** Runs the command and returns its exit code. */
    public static int run(String... arguments) {
        return new CommandLine(new SoakCommand()).execute(arguments);
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        int failedRuns = 0;
        for (long runSeed = seed; runSeed < seed + runs; runSeed++) {
            failedRuns += run(options(runSeed), keep, out).violations().isEmpty() ? 0 : 1;
        }
        out.println("soak: " + (runs - failedRuns) + " of " + runs + " runs kept all rules");
        return failedRuns == 0 ? 0 : 1;
    }

    private SoakOptions options(long runSeed) {
        int drawnGateways = MIN_GATEWAYS + new Random(runSeed).nextInt(MAX_GATEWAYS - MIN_GATEWAYS + 1);
        boolean crowded =
                crowd.equals("always") || crowd.equals(SoakOptions.DRAWN) && runSeed % CROWD_SEED_INTERVAL == 0;
        boolean fewSockets = crowded || runSeed % FEW_SOCKETS_SEED_INTERVAL == 0;
        int maxSockets = sockets > 0 ? sockets : fewSockets ? SoakOptions.FEW_SOCKETS : SoakOptions.DEFAULT_SOCKETS;
        return new SoakOptions(
                runSeed, gateways > 0 ? gateways : drawnGateways, seconds, faults, crowded, !noRestarts, maxSockets);
    }

    /** Executes one run and prints its result. Logs are kept only if {@code keep} is given and a rule was broken. */
    static RunResult run(SoakOptions options, Path keep, PrintWriter out) throws IOException, InterruptedException {
        Path folder = keep == null
                ? Files.createTempDirectory("soak")
                : Files.createDirectories(keep.resolve("seed-" + options.seed()));
        RunResult result = new SoakRun(options, folder, FaultLibrary.compile(folder), command()).run();
        print(result, options, out);
        if (keep == null || result.violations().isEmpty()) {
            delete(folder);
        }
        return result;
    }

    /** The command line of a gateway process, with the options of the deploy file. */
    static List<String> command() {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JVM_OPTIONS);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "deckfall.Main", "serve"));
        return command;
    }

    private static void print(RunResult result, SoakOptions options, PrintWriter out) {
        out.printf(
                Locale.ROOT,
                "seed %d: %d gateways of %d descriptors, %d processes%s, %d requests %s, "
                        + "event loops at most %.0f ms late, %d rules broken%n",
                result.seed(),
                options.gateways(),
                options.sockets(),
                result.processes(),
                options.crowd() ? ", a crowd" : "",
                result.requestsSent(),
                result.ends(),
                result.maxLagMs(),
                result.violations().size());
        for (Rule rule : Rule.values()) {
            List<Violation> ruleViolations = result.violations().stream()
                    .filter(violation -> violation.rule() == rule)
                    .toList();
            if (!ruleViolations.isEmpty()) {
                out.println("  " + rule + ": " + ruleViolations.size());
            }
            for (Violation violation :
                    ruleViolations.stream().limit(MAX_PRINTED_VIOLATIONS).toList()) {
                out.printf(Locale.ROOT, "    at %.2f s: %s%n", violation.atMs() / 1000, violation.detail());
            }
        }
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> paths = Files.walk(folder)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        }
    }
}
