package deckfall.scale;

import deckfall.Gateway.Outcome;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ObjDoubleConsumer;

/**
 * Simulates the quota counter: named totals on a few shards. Each shard serves its calls in order of arrival at a fixed
 * rate, rejects calls when its queue is too long, and also serves calls whose callers have timed out.
 */
final class SimulatedCounter {
    static final double MAX_LIFETIME_MS = 60_000;
    private static final double SWEEP_INTERVAL_MS = 10_000;

    /** How the counter treats calls. */
    enum Mode {
        SERVING,
        SILENT,
        REFUSING
    }

    /** The total of one name. */
    private static final class Entry {
        double sum;
        double expiresAtMs;
    }

    private final EventQueue queue;
    private final double serviceMs; // per call on one shard
    private final double latencyMs;
    private final double maxQueueWaitMs;
    private final double[] shardFreeAtMs;
    // Lookups only: no result depends on the iteration order.
    private final Map<String, Entry> entries = new HashMap<>();
    private Mode mode = Mode.SERVING;
    private double slowdownFactor = 1;
    private int generation;
    private long served;
    private long servedInSecond;
    private long maxServedInSecond;
    private long currentSecond;

    SimulatedCounter(EventQueue queue, double callsPerSecond, int shards, double roundTripMs, double maxQueueWaitMs) {
        this.queue = queue;
        this.serviceMs = 1000 * shards / callsPerSecond;
        this.latencyMs = roundTripMs / 2;
        this.maxQueueWaitMs = maxQueueWaitMs;
        this.shardFreeAtMs = new double[shards];
        queue.scheduleAfter(SWEEP_INTERVAL_MS, this::removeExpired);
    }

    /**
     * Adds an amount to the total of a name. Reports the result exactly once: the new total or an error, such as {@code
     * TIMEOUT} when the timeout has passed; the amount may still be added after that.
     */
    void call(
            String name,
            double amount,
            double lifetimeMs,
            double timeoutMs,
            boolean reachable,
            ObjDoubleConsumer<Outcome> onResult) {
        double sentAtMs = queue.now();
        if (mode == Mode.REFUSING && reachable) {
            queue.scheduleAfter(2 * latencyMs, () -> onResult.accept(Outcome.CONNECT_FAILED, 0));
        } else if (mode == Mode.SILENT || !reachable) {
            queue.scheduleAfter(timeoutMs, () -> onResult.accept(Outcome.TIMEOUT, 0));
        } else {
            queue.scheduleAfter(latencyMs, () -> handleCall(name, amount, lifetimeMs, sentAtMs + timeoutMs, onResult));
        }
    }

    private void handleCall(
            String name, double amount, double lifetimeMs, double deadlineMs, ObjDoubleConsumer<Outcome> onResult) {
        double nowMs = queue.now();
        int shard = (int) Long.remainderUnsigned(HashRandom.mix(name.hashCode(), 1), shardFreeAtMs.length);
        if (mode != Mode.SERVING) {
            queue.scheduleAt(deadlineMs, () -> onResult.accept(Outcome.TIMEOUT, 0));
        } else if (shardFreeAtMs[shard] - nowMs > maxQueueWaitMs) {
            queue.scheduleAfter(latencyMs, () -> onResult.accept(Outcome.FULL, 0));
        } else {
            shardFreeAtMs[shard] = Math.max(nowMs, shardFreeAtMs[shard]) + serviceMs * slowdownFactor;
            int callGeneration = generation;
            boolean inTime = shardFreeAtMs[shard] + latencyMs <= deadlineMs;
            if (!inTime) {
                queue.scheduleAt(deadlineMs, () -> onResult.accept(Outcome.TIMEOUT, 0));
            }
            queue.scheduleAt(shardFreeAtMs[shard], () -> {
                if (callGeneration == generation) {
                    double total = add(name, amount, lifetimeMs);
                    if (inTime) {
                        queue.scheduleAfter(latencyMs, () -> onResult.accept(Outcome.OK, total));
                    }
                } else if (inTime) {
                    queue.scheduleAt(deadlineMs, () -> onResult.accept(Outcome.TIMEOUT, 0));
                }
            });
        }
    }

    private double add(String name, double amount, double lifetimeMs) {
        double nowMs = queue.now();
        Entry entry = entries.get(name);
        if (entry == null || nowMs >= entry.expiresAtMs) {
            entry = new Entry();
            entry.expiresAtMs = nowMs + Math.min(MAX_LIFETIME_MS, Math.max(1, lifetimeMs));
            entries.put(name, entry);
        }
        entry.sum += amount;
        recordServed();
        return entry.sum;
    }

    private void recordServed() {
        long nowSecond = (long) (queue.now() / 1000);
        servedInSecond = nowSecond == currentSecond ? servedInSecond + 1 : 1;
        currentSecond = nowSecond;
        maxServedInSecond = Math.max(maxServedInSecond, servedInSecond);
        served++;
    }

    private void removeExpired() {
        entries.values().removeIf(entry -> queue.now() >= entry.expiresAtMs);
        queue.scheduleAfter(SWEEP_INTERVAL_MS, this::removeExpired);
    }

    /** Changes how the counter serves. Calls that are queued at that time are lost. */
    void setMode(Mode newMode) {
        mode = newMode;
        generation++;
        java.util.Arrays.fill(shardFreeAtMs, 0);
    }

    void clear() {
        entries.clear();
    }

    void setSlowdownFactor(double factor) {
        slowdownFactor = factor;
    }

    long served() {
        return served;
    }

    long maxServedInSecond() {
        return maxServedInSecond;
    }

    int entryCount() {
        return entries.size();
    }
}
