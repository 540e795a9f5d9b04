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
final class RuleChecker {
    private static final double MAX_ATTEMPT_DELAY_MS = 100; // after its client's close
    private static final double DEADLINE_TOLERANCE_MS = 150; // of the time that an attempt tells its server
    private static final int MAX_ATTEMPTS = 3;
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
        final int gatewayNumber;
        final long deadlineMs;
        double sentAtMs;
        volatile double clientClosedAtMs = Double.NaN;
        volatile boolean responseTruncated; // a server broke its answer off
        boolean fullyWritten = true; // its last byte has been written
        boolean resent;
        boolean lagAllowanceUsed; // the machine's delay
        End end;

        Request(String id, boolean booking, int gatewayNumber, long deadlineMs) {
            this.id = id;
            this.booking = booking;
            this.gatewayNumber = gatewayNumber;
            this.deadlineMs = deadlineMs;
        }
    }

    /** From an unannounced kill of a gateway's only process until another one serves. */
    static final class Outage {
        private final int gatewayNumber;
        private final double startMs = nowMs();
        private volatile double endMs = Double.POSITIVE_INFINITY;

        private Outage(int gatewayNumber) {
            this.gatewayNumber = gatewayNumber;
        }

        void end() {
            endMs = nowMs();
        }
    }

    private record Attempt(Request request, String server, double atMs, double expiresInMs) {}

    private final double startMs = nowMs();
    private final Map<String, Request> requests = new ConcurrentHashMap<>();
    private final Queue<Attempt> attempts = new ConcurrentLinkedQueue<>();
    private final Map<String, Integer> executions = new ConcurrentHashMap<>(); // of bookings, by id
    private final Set<String> completeBodies = ConcurrentHashMap.newKeySet(); // bodies that servers have made whole
    private final Queue<Violation> violations = new ConcurrentLinkedQueue<>();
    private final Map<Long, Double> lagsByBucket = new ConcurrentHashMap<>();
    private final Queue<Outage> outages = new ConcurrentLinkedQueue<>();

    static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    double elapsedMs() {
        return nowMs() - startMs;
    }

    void recordSent(Request request) {
        request.sentAtMs = nowMs();
        requests.put(request.id, request);
    }

    /** Null where the id is of no request. */
    Request findRequest(String id) {
        return id == null ? null : requests.get(id);
    }

    void recordAttempt(Request request, String server, double expiresInMs) {
        attempts.add(new Attempt(request, server, nowMs(), expiresInMs));
    }

    void recordExecution(Request request) {
        if (request.booking) {
            executions.merge(request.id, 1, Integer::sum);
        }
    }

    void recordCompleteBody(String body) {
        completeBodies.add(body);
    }

    void recordServed(Request request, String body) {
        if (!completeBodies.contains(body) || !body.startsWith(request.id + ' ')) {
            recordViolation(
                    Rule.WRONG_ANSWER, request.id + " got " + body.length() + " bytes that no server made for it");
        }
        recordEnd(request, End.SERVED);
    }

    void recordEnd(Request request, End end) {
        if (request.end == null) {
            request.end = end;
        }
    }

    void recordLost(Request request, String reason) {
        if (isExcused(request)) {
            recordEnd(request, End.KILLED);
        } else if (request.end == null) {
            request.end = End.LOST;
            recordViolation(
                    Rule.LOST,
                    String.format(
                            Locale.ROOT,
                            "%s of gateway %d, sent %.0f ms before: %s",
                            request.id,
                            request.gatewayNumber,
                            nowMs() - request.sentAtMs,
                            reason));
        }
    }

    void recordViolation(Rule rule, String detail) {
        violations.add(new Violation(rule, elapsedMs(), detail));
    }

    /** A gateway's process was killed without a signal before: what it has open until then is owed by nobody. */
    Outage recordKill(int gatewayNumber) {
        Outage outage = new Outage(gatewayNumber);
        outages.add(outage);
        return outage;
    }

    /** Whether a request that has not ended by now was open during an outage, if only in the system's queue. */
    boolean isExcused(Request request) {
        return outages.stream().anyMatch(o -> o.gatewayNumber == request.gatewayNumber && request.sentAtMs < o.endMs);
    }

    /** How late an event loop of the stand-ins or of a gateway has just been run by the machine. */
    void recordLag(double lagMs) {
        lagsByBucket.merge(TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) / LAG_BUCKET_MS, lagMs, Math::max);
    }

    double currentLagMs() {
        return maxLagAroundMs(nowMs());
    }

    private double maxLagAroundMs(double atMs) {
        long bucket = (long) atMs / LAG_BUCKET_MS;
        double maxMs = 0;
        for (long candidate = bucket - 1; candidate <= bucket + 1; candidate++) {
            maxMs = Math.max(maxMs, lagsByBucket.getOrDefault(candidate, 0.0));
        }
        return maxMs;
    }

    double maxLagMs() {
        return lagsByBucket.values().stream()
                .mapToDouble(Double::doubleValue)
                .max()
                .orElse(0);
    }

    /** Judges what can be judged once all has ended. */
    List<Violation> violations() {
        Map<String, Integer> attemptCounts = new ConcurrentHashMap<>();
        for (Attempt attempt : attempts) {
            check(attempt);
            if (attemptCounts.merge(attempt.request.id, 1, Integer::sum) == MAX_ATTEMPTS + 1
                    && !attempt.request.resent) {
                recordViolation(
                        Rule.ATTEMPTS, attempt.request.id + " came to servers more than " + MAX_ATTEMPTS + " times");
            }
        }
        attempts.clear();
        executions.forEach((id, count) -> {
            if (count > 1) {
                recordViolation(Rule.DUPLICATE, "booking " + id + " ran " + count + " times");
            }
        });
        executions.clear();
        return new ArrayList<>(violations);
    }

    private void check(Attempt attempt) {
        double lagMs = maxLagAroundMs(attempt.atMs);
        double afterCloseMs = attempt.atMs - attempt.request.clientClosedAtMs; // not a number where the client stayed
        if (afterCloseMs > MAX_ATTEMPT_DELAY_MS + lagMs) {
            recordViolation(
                    Rule.LATE_ATTEMPT,
                    String.format(
                            Locale.ROOT,
                            "%s of gateway %d came to %s %.0f ms after its client's close (lag %.0f)",
                            attempt.request.id,
                            attempt.request.gatewayNumber,
                            attempt.server,
                            afterCloseMs,
                            lagMs));
        }
        double remainingMs = attempt.request.sentAtMs + attempt.request.deadlineMs - attempt.atMs;
        if (attempt.expiresInMs > remainingMs + DEADLINE_TOLERANCE_MS + lagMs && !isExcused(attempt.request)) {
            recordViolation(
                    Rule.TOLD_DEADLINE,
                    String.format(
                            Locale.ROOT,
                            "%s told %.0f ms where %.0f are left",
                            attempt.request.id,
                            attempt.expiresInMs,
                            remainingMs));
        }
    }

    Map<End, Integer> countEnds() {
        Map<End, Integer> counts = new EnumMap<>(End.class);
        for (Request request : requests.values()) {
            counts.merge(request.end == null ? End.NEVER_TAKEN : request.end, 1, Integer::sum);
        }
        return counts;
    }

    int recordSent() {
        return requests.size();
    }
}
