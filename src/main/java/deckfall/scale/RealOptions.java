package deckfall.scale;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The options of a run with real processes: those of a simulation and those for the processes. */
@Command(
        name = "real",
        description = "Runs a few real gateways among simulated ones, against the same simulated services on sockets.",
        sortOptions = false,
        mixinStandardHelpOptions = true)
final class RealOptions extends SimulationOptions {
    private static final double TARGET_UTILIZATION = 0.05; // share of the servers' slots in use
    private static final int MAX_PROCESSES = 200;
    private static final double MEGABYTES_PER_PROCESS = 160;
    private static final double MEGABYTES_FOR_RUN = 1024; // for the run itself
    private static final int MAX_RUN_SECONDS = 3600;
    private static final Pattern RUN_COMMAND_LINE =
            Pattern.compile("(?m)^run\\s*=\\s*\"((?:[^\"\\\\]|\\\\.)*)\"\\s*(?:#.*)?$");

    @Option(
            names = "--processes",
            defaultValue = "2",
            description = "number of gateways that are real processes (${DEFAULT-VALUE})")
    int processes;

    @Option(
            names = "--hollow",
            defaultValue = "-1",
            description =
                    "gateways simulated beside them; any others are left out with their clients (-1: all simulated)")
    private int simulatedGateways;

    @Option(
            names = "--settle-seconds",
            defaultValue = "4",
            description = "wait after all processes are ready, for their JIT compilers, in seconds (${DEFAULT-VALUE})")
    double settleSeconds;

    @Option(
            names = "--deploy",
            defaultValue = "deploy/balancer.toml",
            paramLabel = "FILE",
            description = "file with the command to start a gateway, run in its folder's parent (${DEFAULT-VALUE})")
    Path deployFile;

    @Option(
            names = "--run",
            paramLabel = "COMMAND",
            description = "command that starts a gateway, in place of the one in the file")
    String runCommand;

    @Override
    public Integer call() {
        check();
        return new RealRun(this, System.err).run(System.out);
    }

    @Override
    void check() {
        super.check();
        requireInRange("--processes", processes, 1, Math.min(MAX_PROCESSES, gateways));
        requireInRange("--seconds", seconds + warmUpSeconds + idleSeconds, 1, MAX_RUN_SECONDS);
        requireInRange("--hollow", simulatedGateways, -1, gateways - processes);
        requireInRange("--settle-seconds", settleSeconds, 0, MAX_RUN_SECONDS);
        double halfOfMemory = totalMegabytes() / 2;
        if (processes * MEGABYTES_PER_PROCESS + MEGABYTES_FOR_RUN > halfOfMemory) {
            throw usageError("--processes: " + processes + " may need more than half of this machine's memory");
        }
        if (!faults.isEmpty()) {
            throw usageError("--fault: only supported in a simulation (scale hollow)");
        }
        if (counterCallsPerSecond <= 0) {
            throw usageError("--counter-rate: a real gateway needs a counter");
        }
        if (runCommand == null) {
            runCommand = readRunCommand();
        }
    }

    private static double totalMegabytes() {
        return ManagementFactory.getOperatingSystemMXBean() instanceof com.sun.management.OperatingSystemMXBean system
                ? system.getTotalMemorySize() / (double) (1 << 20)
                : Double.MAX_VALUE;
    }

    private String readRunCommand() {
        try {
            Matcher matcher = RUN_COMMAND_LINE.matcher(Files.readString(deployFile));
            if (matcher.find()) {
                return matcher.group(1).replaceAll("\\\\(.)", "$1");
            }
            throw usageError("--deploy: '" + deployFile + "' has no run command");
        } catch (IOException e) {
            throw usageError("--deploy: can't read '" + deployFile + "'");
        }
    }

    Path workingDirectory() {
        Path folder = deployFile.toAbsolutePath().getParent();
        return runCommand != null && !Files.exists(deployFile) || folder.getParent() == null
                ? Path.of("").toAbsolutePath()
                : folder.getParent();
    }

    int simulatedGateways() {
        return simulatedGateways < 0 ? gateways - processes : simulatedGateways;
    }

    /** A low utilization, so that servers have no queues: these would show as latency added by the gateway. */
    @Override
    int slots() {
        return slots > 0 ? slots : slotsForUtilization(TARGET_UTILIZATION);
    }

    /** The time without load comes first here, while the processes are freshly started. */
    @Override
    double measuredFromMs() {
        return loadFromMs() + 1000 * warmUpSeconds;
    }

    /** The virtual time at which the load starts. */
    double loadFromMs() {
        return STARTUP_MS + 1000 * idleSeconds;
    }
}
