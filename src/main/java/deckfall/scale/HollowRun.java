package deckfall.scale;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.LinkedHashMap;
import java.util.Map;

/** Plays a run: load to warm up, the measured time, the answers still due, and a while without load. */
final class HollowRun {
    private static final double STEP_MS = 100; // of the clock, between looks at the progress
    private static final double SETTLE_MS = 2000; // after the last deadline, before the time without load
    private static final double MEGABYTE = 1 << 20;
    private static final long PROGRESS_NANOS = 5_000_000_000L;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    /** What came of a run; the costs are those of the machine that it was on and differ from run to run. */
    record Result(Fleet fleet, Map<String, Object> costs) {}

    private final HollowOptions options;
    private final PrintStream progress;
    private final long startedNanos = System.nanoTime();
    private long toldNanos = startedNanos;
    private Fleet fleet;

    HollowRun(HollowOptions options, PrintStream progress) {
        this.options = options;
        this.progress = progress;
    }

    Result play() {
        return play(new Fleet(options, 0, options.gateways));
    }

    /** The same tries, let in by stores that are known as they were so many milliseconds ago. */
    Result playReference(double delayMs) {
        Fleet reference = new Fleet(options, 0, options.gateways);
        reference.setAdmissionPolicy(new ReferenceAdmissionPolicy(reference.queue, reference.customers, delayMs));
        return play(reference);
    }

    private Result play(Fleet played) {
        fleet = played;
        runTo(HollowOptions.START_MS);
        fleet.startClients(options.endMs());
        new FaultInjector(fleet).schedule(options.faults, options.warmUpMs());
        runTo(options.warmUpMs());
        double loaded = coresUntil(options.endMs());
        runTo(options.endMs() + options.deadlineMs + SETTLE_MS);
        double idle = coresUntil(fleet.queue.now() + 1000 * options.idleSeconds);
        double seconds = (System.nanoTime() - startedNanos) / 1e9;
        return new Result(fleet, costs(loaded, idle, seconds, memory() / MEGABYTE));
    }

    private Map<String, Object> costs(double loaded, double idle, double seconds, double megabytes) {
        Map<String, Object> costs = new LinkedHashMap<>();
        costs.put("cpu_loaded_share_of_core", Report.rounded(loaded));
        costs.put("cpu_idle_share_of_core", Report.rounded(idle));
        costs.put("run_seconds", Report.rounded(seconds));
        costs.put("memory_mb", Report.rounded(megabytes));
        costs.put("memory_mb_per_gateway", Report.rounded(megabytes / options.gateways));
        return costs;
    }

    /**
     * The module's share of a core at a gateway, up to a time. It is timed by the clock on the wall, of which the
     * thread has only a part on a machine that is busy or collects garbage: the same part of all is taken off.
     */
    private double coresUntil(double endMs) {
        double from = fleet.queue.now();
        long busy = fleet.decisionNanos();
        long wall = System.nanoTime();
        long processor = THREADS.getCurrentThreadCpuTime();
        runTo(endMs);
        double ran = (THREADS.getCurrentThreadCpuTime() - processor) / Math.max(1.0, System.nanoTime() - wall);
        double ms = Math.max(1, fleet.queue.now() - from) * options.gateways;
        return (fleet.decisionNanos() - busy) / 1e6 / ms * Math.min(1, ran);
    }

    private void runTo(double endMs) {
        while (fleet.queue.now() < endMs) {
            fleet.queue.runUntil(Math.min(endMs, fleet.queue.now() + STEP_MS));
            long now = System.nanoTime();
            if (now - toldNanos > PROGRESS_NANOS) {
                toldNanos = now;
                progress.printf(
                        "scale: at %.1f of %.1f s, %d tries, %.0f s gone%n",
                        fleet.queue.now() / 1000,
                        options.endMs() / 1000 + options.idleSeconds,
                        fleet.statistics.totalRequests,
                        (now - startedNanos) / 1e9);
            }
        }
    }

    private static long memory() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
