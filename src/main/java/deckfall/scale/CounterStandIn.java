package deckfall.scale;

import deckfall.Gateway.Outcome;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ObjDoubleConsumer;

/**
 * Stands in for the quota counter: numbers by name on a few parts, each of which serves its calls in turn at a fixed
 * rate, turns calls away when its line is long, and also works on calls that nobody waits for any more.
 */
final class CounterStandIn {
    static final double LONGEST_LIFE_MS = 60_000;
    private static final double SWEEP_MS = 10_000;

    enum Mode {
        SERVING,
        SILENT,
        REFUSING
    }

    private static final class Total {
        double sum;
        double endsAt;
    }

    private final EventQueue queue;
    private final double serviceMs; // of a part
    private final double wayMs;
    private final double longestWaitMs;
    private final double[] freeAt;
    private final Map<String, Total> totals = new HashMap<>(); // looked up by name, never gone through in order
    private Mode mode = Mode.SERVING;
    private double slowness = 1;
    private int life;
    private long served;
    private long servedInSecond;
    private long mostServedInSecond;
    private long second;

    CounterStandIn(EventQueue queue, double callsPerSecond, int parts, double roundTripMs, double longestWaitMs) {
        this.queue = queue;
        this.serviceMs = 1000 * parts / callsPerSecond;
        this.wayMs = roundTripMs / 2;
        this.longestWaitMs = longestWaitMs;
        this.freeAt = new double[parts];
        queue.scheduleAfter(SWEEP_MS, this::sweep);
    }

    /** Tells the end once: the answer, or {@code TIMEOUT} when its time is up; the amount may be added later still. */
    void call(
            String name,
            double amount,
            double lifeMs,
            double timeoutMs,
            boolean reachable,
            ObjDoubleConsumer<Outcome> end) {
        double sentAt = queue.now();
        if (mode == Mode.REFUSING && reachable) {
            queue.scheduleAfter(2 * wayMs, () -> end.accept(Outcome.CONNECT_FAILED, 0));
        } else if (mode == Mode.SILENT || !reachable) {
            queue.scheduleAfter(timeoutMs, () -> end.accept(Outcome.TIMEOUT, 0));
        } else {
            queue.scheduleAfter(wayMs, () -> arrive(name, amount, lifeMs, sentAt + timeoutMs, end));
        }
    }

    private void arrive(String name, double amount, double lifeMs, double endAt, ObjDoubleConsumer<Outcome> end) {
        double now = queue.now();
        int part = (int) Long.remainderUnsigned(HashRandom.mix(name.hashCode(), 1), freeAt.length);
        if (mode != Mode.SERVING) {
            queue.scheduleAt(endAt, () -> end.accept(Outcome.TIMEOUT, 0));
        } else if (freeAt[part] - now > longestWaitMs) {
            queue.scheduleAfter(wayMs, () -> end.accept(Outcome.FULL, 0));
        } else {
            freeAt[part] = Math.max(now, freeAt[part]) + serviceMs * slowness;
            int sameLife = life;
            boolean inTime = freeAt[part] + wayMs <= endAt;
            if (!inTime) {
                queue.scheduleAt(endAt, () -> end.accept(Outcome.TIMEOUT, 0));
            }
            queue.scheduleAt(freeAt[part], () -> {
                if (sameLife == life) {
                    double total = add(name, amount, lifeMs);
                    if (inTime) {
                        queue.scheduleAfter(wayMs, () -> end.accept(Outcome.OK, total));
                    }
                } else if (inTime) {
                    queue.scheduleAt(endAt, () -> end.accept(Outcome.TIMEOUT, 0));
                }
            });
        }
    }

    private double add(String name, double amount, double lifeMs) {
        double now = queue.now();
        Total total = totals.get(name);
        if (total == null || now >= total.endsAt) {
            total = new Total();
            total.endsAt = now + Math.min(LONGEST_LIFE_MS, Math.max(1, lifeMs));
            totals.put(name, total);
        }
        total.sum += amount;
        count();
        return total.sum;
    }

    private void count() {
        long now = (long) (queue.now() / 1000);
        servedInSecond = now == second ? servedInSecond + 1 : 1;
        second = now;
        mostServedInSecond = Math.max(mostServedInSecond, servedInSecond);
        served++;
    }

    private void sweep() {
        totals.values().removeIf(t -> queue.now() >= t.endsAt);
        queue.scheduleAfter(SWEEP_MS, this::sweep);
    }

    /** Calls in its line are lost with a change of how it serves. */
    void set(Mode now) {
        mode = now;
        life++;
        java.util.Arrays.fill(freeAt, 0);
    }

    void empty() {
        totals.clear();
    }

    void slow(double times) {
        slowness = times;
    }

    long served() {
        return served;
    }

    long mostServedInSecond() {
        return mostServedInSecond;
    }

    int names() {
        return totals.size();
    }
}
