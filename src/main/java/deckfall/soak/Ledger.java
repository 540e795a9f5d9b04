package deckfall.soak;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/**
 * The oracle: what each request, attempt and process did, and which rules were broken. Times are milliseconds of the
 * monotonic clock. A judgement by time allows for how late the machine ran the event loops of the stand-ins and of the gateways just then.
 */
final class Ledger {
    private static final double LATE_ATTEMPT_MS = 100; // after its client's close
    private static final double DEADLINE_SLACK_MS = 150; // of the time that an attempt tells its server
    private static final int MOST_ATTEMPTS = 3;
    private static final long LAG_BUCKET_MS = 250;

    /** A rule that was broken. */
    enum Rule {
        LOST,
        WRONG_ANSWER,
        DUPLICATE,
        LATE_ATTEMPT,
        TOLD_DEADLINE,
        ATTEMPTS,
        CRASH,
        NOT_READY,
        DESCRIPTORS
    }

    /** How a request ended for its client. */
    enum End {
        SERVED,
        REFUSED,
        FAILED,
        LEFT,
        CUT_SHORT,
        NEVER_TAKEN,
        KILLED,
        LOST
    }

    /** One broken rule, with what is needed to find it in the gateway's log. */
    record Violation(Rule rule, double atMs, String detail) {}

    /** One request of a client. */
    static final class Request {
        final String id;
        final boolean booking;
        final int gateway;
        final long deadlineMs;
        double sentAt;
        volatile double leftAt = Double.NaN;
        volatile boolean brokenOff; // a server broke its answer off
        boolean whole = true; // its last byte has been written
        boolean resent;
        boolean allowedFor; // the machine's delay
        End end;

        Request(String id, boolean booking, int gateway, long deadlineMs) {
            this.id = id;
            this.booking = booking;
            this.gateway = gateway;
            this.deadlineMs = deadlineMs;
        }
    }

    /** From an unannounced kill of a gateway's only process until another one serves. */
    static final class Outage {
        private final int gateway;
        private final double fromMs = nowMs();
        private volatile double toMs = Double.POSITIVE_INFINITY;

        private Outage(int gateway) {
            this.gateway = gateway;
        }

        void over() {
            toMs = nowMs();
        }
    }

    private record Attempt(Request request, String server, double atMs, double toldMs) {}

    private final double beganMs = nowMs();
    private final Map<String, Request> requests = new ConcurrentHashMap<>();
    private final Queue<Attempt> attempts = new ConcurrentLinkedQueue<>();
    private final Map<String, Integer> runs = new ConcurrentHashMap<>(); // of bookings, by id
    private final Set<String> answers = ConcurrentHashMap.newKeySet(); // bodies that servers have made whole
    private final Queue<Violation> violations = new ConcurrentLinkedQueue<>();
    private final Map<Long, Double> lags = new ConcurrentHashMap<>();
    private final Queue<Outage> outages = new ConcurrentLinkedQueue<>();

    static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    double sinceStart() {
        return nowMs() - beganMs;
    }

    void sent(Request r) {
        r.sentAt = nowMs();
        requests.put(r.id, r);
    }

    /** Null where the id is of no request. */
    Request request(String id) {
        return id == null ? null : requests.get(id);
    }

    void attempt(Request r, String server, double toldMs) {
        attempts.add(new Attempt(r, server, nowMs(), toldMs));
    }

    void ran(Request r) {
        if (r.booking) {
            runs.merge(r.id, 1, Integer::sum);
        }
    }

    void made(String body) {
        answers.add(body);
    }

    void served(Request r, String body) {
        if (!answers.contains(body) || !body.startsWith(r.id + ' ')) {
            broken(Rule.WRONG_ANSWER, r.id + " got " + body.length() + " bytes that no server made for it");
        }
        ended(r, End.SERVED);
    }

    void ended(Request r, End end) {
        if (r.end == null) {
            r.end = end;
        }
    }

    void lost(Request r, String how) {
        if (excused(r)) {
            ended(r, End.KILLED);
        } else if (r.end == null) {
            r.end = End.LOST;
            broken(
                    Rule.LOST,
                    String.format(
                            Locale.ROOT,
                            "%s of gateway %d, sent %.0f ms before: %s",
                            r.id,
                            r.gateway,
                            nowMs() - r.sentAt,
                            how));
        }
    }

    void broken(Rule rule, String detail) {
        violations.add(new Violation(rule, sinceStart(), detail));
    }

    /** A gateway's process was killed without a signal before: what it has open until then is owed by nobody. */
    Outage killed(int gateway) {
        Outage outage = new Outage(gateway);
        outages.add(outage);
        return outage;
    }

    /** Whether a request that has not ended by now was open during an outage, if only in the system's queue. */
    boolean excused(Request r) {
        return outages.stream().anyMatch(o -> o.gateway == r.gateway && r.sentAt < o.toMs);
    }

    /** How late an event loop of the stand-ins or of a gateway has just been run by the machine. */
    void lag(double ms) {
        lags.merge(TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) / LAG_BUCKET_MS, ms, Math::max);
    }

    double lagNow() {
        return lagAround(nowMs());
    }

    private double lagAround(double atMs) {
        long bucket = (long) atMs / LAG_BUCKET_MS;
        double most = 0;
        for (long b = bucket - 1; b <= bucket + 1; b++) {
            most = Math.max(most, lags.getOrDefault(b, 0.0));
        }
        return most;
    }

    double mostLag() {
        return lags.values().stream().mapToDouble(Double::doubleValue).max().orElse(0);
    }

    /** Judges what can be judged once all has ended. */
    List<Violation> violations() {
        Map<String, Integer> counts = new ConcurrentHashMap<>();
        for (Attempt a : attempts) {
            judge(a);
            if (counts.merge(a.request.id, 1, Integer::sum) == MOST_ATTEMPTS + 1 && !a.request.resent) {
                broken(Rule.ATTEMPTS, a.request.id + " came to servers more than " + MOST_ATTEMPTS + " times");
            }
        }
        attempts.clear();
        runs.forEach((id, count) -> {
            if (count > 1) {
                broken(Rule.DUPLICATE, "booking " + id + " ran " + count + " times");
            }
        });
        runs.clear();
        return new ArrayList<>(violations);
    }

    private void judge(Attempt a) {
        double lag = lagAround(a.atMs);
        double afterLeaving = a.atMs - a.request.leftAt; // not a number where the client stayed
        if (afterLeaving > LATE_ATTEMPT_MS + lag) {
            broken(
                    Rule.LATE_ATTEMPT,
                    String.format(
                            Locale.ROOT,
                            "%s of gateway %d came to %s %.0f ms after its client's close (lag %.0f)",
                            a.request.id,
                            a.request.gateway,
                            a.server,
                            afterLeaving,
                            lag));
        }
        double left = a.request.sentAt + a.request.deadlineMs - a.atMs;
        if (a.toldMs > left + DEADLINE_SLACK_MS + lag && !excused(a.request)) {
            broken(
                    Rule.TOLD_DEADLINE,
                    String.format(Locale.ROOT, "%s told %.0f ms where %.0f are left", a.request.id, a.toldMs, left));
        }
    }

    Map<End, Integer> ends() {
        Map<End, Integer> counts = new EnumMap<>(End.class);
        for (Request r : requests.values()) {
            counts.merge(r.end == null ? End.NEVER_TAKEN : r.end, 1, Integer::sum);
        }
        return counts;
    }

    int sent() {
        return requests.size();
    }
}
