package deckfall.scale;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Runs a simulation: the warm-up under load, the measured period, the wait for open requests, and a time without load.
 */
final class SimulationRun {
    private static final double CLOCK_STEP_MS = 100; // virtual time between two checks of the progress
    private static final double SETTLE_MS = 2000; // from the last deadline to the time without load
    private static final double BYTES_PER_MEGABYTE = 1 << 20;
    private static final long PROGRESS_INTERVAL_NANOS = 5_000_000_000L;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    /** The results of a run. The costs depend on the machine and differ from run to run. */
    record Result(Fleet fleet, Map<String, Object> costs) {}

    private final SimulationOptions options;
    private final PrintStream progress;
    private final long startedNanos = System.nanoTime();
    private long lastProgressNanos = startedNanos;
    private Fleet fleet;

    SimulationRun(SimulationOptions options, PrintStream progress) {
        this.options = options;
        this.progress = progress;
    }

    Result run() {
        return run(new Fleet(options, 0, options.gateways));
    }

    /** Runs the same requests, admitted by the token buckets as they were {@code delayMs} before. */
    Result runReference(double delayMs) {
        Fleet reference = new Fleet(options, 0, options.gateways);
        reference.setAdmissionPolicy(new ReferenceAdmissionPolicy(reference.queue, reference.customers, delayMs));
        return run(reference);
    }

    private Result run(Fleet newFleet) {
        fleet = newFleet;
        runUntil(SimulationOptions.STARTUP_MS);
        fleet.startClients(options.measuredUntilMs());
        new FaultInjector(fleet).schedule(options.faults, options.measuredFromMs());
        runUntil(options.measuredFromMs());
        double loadedCores = runAndMeasureCores(options.measuredUntilMs());
        runUntil(options.measuredUntilMs() + options.deadlineMs + SETTLE_MS);
        double idleCores = runAndMeasureCores(fleet.queue.now() + 1000 * options.idleSeconds);
        double seconds = (System.nanoTime() - startedNanos) / 1e9;
        return new Result(fleet, costs(loadedCores, idleCores, seconds, usedMemoryBytes() / BYTES_PER_MEGABYTE));
    }

    private Map<String, Object> costs(double loadedCores, double idleCores, double seconds, double megabytes) {
        Map<String, Object> costs = new LinkedHashMap<>();
        costs.put("cpu_loaded_share_of_core", Report.round(loadedCores));
        costs.put("cpu_idle_share_of_core", Report.round(idleCores));
        costs.put("run_seconds", Report.round(seconds));
        costs.put("memory_mb", Report.round(megabytes));
        costs.put("memory_mb_per_gateway", Report.round(megabytes / options.gateways));
        return costs;
    }

    /**
     * Runs up to a virtual time and returns the share of a core that the decision module of a gateway used. The module
     * is timed by wall clock, but the thread gets only a part of that on a machine that is busy or collects garbage.
     * The result is therefore scaled by the share of processor time that the thread got.
     */
    private double runAndMeasureCores(double endMs) {
        double startMs = fleet.queue.now();
        long startDecisionNanos = fleet.decisionNanos();
        long startWallNanos = System.nanoTime();
        long startCpuNanos = THREADS.getCurrentThreadCpuTime();
        runUntil(endMs);
        double cpuShare =
                (THREADS.getCurrentThreadCpuTime() - startCpuNanos) / Math.max(1.0, System.nanoTime() - startWallNanos);
        double gatewayMs = Math.max(1, fleet.queue.now() - startMs) * options.gateways;
        return (fleet.decisionNanos() - startDecisionNanos) / 1e6 / gatewayMs * Math.min(1, cpuShare);
    }

    private void runUntil(double endMs) {
        while (fleet.queue.now() < endMs) {
            fleet.queue.runUntil(Math.min(endMs, fleet.queue.now() + CLOCK_STEP_MS));
            long now = System.nanoTime();
            if (now - lastProgressNanos > PROGRESS_INTERVAL_NANOS) {
                lastProgressNanos = now;
                progress.printf(
                        "scale: simulated %.1f of %.1f s, %d requests, %.0f s elapsed%n",
                        fleet.queue.now() / 1000,
                        options.measuredUntilMs() / 1000 + options.idleSeconds,
                        fleet.statistics.totalRequests,
                        (now - startedNanos) / 1e9);
            }
        }
    }

    private static long usedMemoryBytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
