package deckfall.scale;

import deckfall.Gateway.Outcome;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ObjDoubleConsumer;

/**
 * Stands in for the quota counter: numbers by name on a few parts, each of which serves its calls in turn at a fixed
 * rate, turns calls away when its line is long, and also works on calls that nobody waits for any more.
 */
final class SimulatedCounter {
    static final double MAX_LIFETIME_MS = 60_000;
    private static final double SWEEP_INTERVAL_MS = 10_000;

    enum Mode {
        SERVING,
        SILENT,
        REFUSING
    }

    private static final class Entry {
        double sum;
        double expiresAtMs;
    }

    private final EventQueue queue;
    private final double serviceMs; // of a part
    private final double latencyMs;
    private final double maxQueueWaitMs;
    private final double[] shardFreeAtMs;
    private final Map<String, Entry> entries = new HashMap<>(); // looked up by name, never gone through in order
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

    /** Tells the end once: the answer, or {@code TIMEOUT} when its time is up; the amount may be added later still. */
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

    /** Calls in its line are lost with a change of how it serves. */
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
