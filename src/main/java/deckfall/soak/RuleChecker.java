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
 * The test oracle of a run: records what each request, attempt and process did, and checks the rules of the service
 * against it. Times are milliseconds of the monotonic clock. Checks that compare times add the event loop lag measured
 * around that moment, in the simulated services and in the gateways, to their tolerance.
 */
final class RuleChecker {
    private static final double NANOS_PER_MS = 1e6;
    private static final double MAX_ATTEMPT_DELAY_MS = 100; // after the client closed its connection
    private static final double DEADLINE_TOLERANCE_MS = 150; // for the remaining time announced to a server
    private static final int MAX_ATTEMPTS = 3;
    private static final long LAG_BUCKET_MS = 250;

    /** The rules that a run checks. */
    enum Rule {
        /** Each request ends in one of the ways that {@link End} lists before {@link End#LOST}. */
        LOST,
        /** Each response is one that a server produced for that request. */
        WRONG_ANSWER,
        /** A booking is executed at most once. */
        DUPLICATE,
        /** An attempt reaches a server at most {@link #MAX_ATTEMPT_DELAY_MS} after its client closed the connection. */
        LATE_ATTEMPT,
        /** The remaining time announced to a server does not exceed what is left of the deadline. */
        TOLD_DEADLINE,
        /** A request reaches servers at most {@link #MAX_ATTEMPTS} times, unless its client resent it. */
        ATTEMPTS,
        /** A process exits only after the soak has sent it SIGTERM or SIGKILL. */
        CRASH,
        /** A started process becomes ready in time. */
        NOT_READY,
        /** The processes of a gateway together hold no more sockets than the gateway's limit. */
        DESCRIPTORS
    }

    /** How a request ended for its client. */
    enum End {
        /** Answered with status 200. */
        SERVED,
        /** Answered with status 429 or 503. */
        REFUSED,
        /** Answered with any other status. */
        FAILED,
        /** The client closed its connection first. */
        LEFT,
        /** The response was truncated, as the server had truncated it. */
        CUT_SHORT,
        /** The gateway closed the connection before the request was fully written, or no end was recorded. */
        NEVER_TAKEN,
        /** The request was open during an {@link Outage} of its gateway. */
        KILLED,
        /** No complete response came; this breaks a rule. */
        LOST
    }

    /** One broken rule, with the details that locate it in the gateway's log. */
    record Violation(Rule rule, double atMs, String detail) {}

    /** One request of a client. */
    static final class Request {
        final String id;
        final boolean booking;
        final int gatewayNumber;
        final long deadlineMs; // counted from the time at which the request is sent
        double sentAtMs;
        volatile double clientClosedAtMs = Double.NaN;
        volatile boolean responseTruncated; // by the server
        boolean fullyWritten = true; // whether its last byte has been written
        boolean resent; // on a new connection, after a close that crossed it
        boolean lagAllowanceUsed; // whether its timeout was already extended by the event loop lag
        End end;

        Request(String id, boolean booking, int gatewayNumber, long deadlineMs) {
            this.id = id;
            this.booking = booking;
            this.gatewayNumber = gatewayNumber;
            this.deadlineMs = deadlineMs;
        }
    }

    /** The time from a SIGKILL of a gateway's only process until another process serves. */
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

    /** One arrival of a request at a server. */
    private record Attempt(Request request, String server, double atMs, double expiresInMs) {}

    private final double startMs = nowMs();
    private final Map<String, Request> requests = new ConcurrentHashMap<>();
    private final Queue<Attempt> attempts = new ConcurrentLinkedQueue<>();
    private final Map<String, Integer> executions = new ConcurrentHashMap<>(); // of bookings, by request id
    private final Set<String> completeBodies = ConcurrentHashMap.newKeySet(); // of responses that servers sent in full
    private final Queue<Violation> violations = new ConcurrentLinkedQueue<>();
    private final Map<Long, Double> lagsByBucket = new ConcurrentHashMap<>();
    private final Queue<Outage> outages = new ConcurrentLinkedQueue<>();

    /** The current time of the monotonic clock. */
    static double nowMs() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    /** The time since the start of the run. */
    double elapsedMs() {
        return nowMs() - startMs;
    }

    /** Records that a request is sent now. */
    void recordSent(Request request) {
        request.sentAtMs = nowMs();
        requests.put(request.id, request);
    }

    /** The request with this id; null if there is none. */
    Request findRequest(String id) {
        return id == null ? null : requests.get(id);
    }

    /** Records that an attempt reached a server, which was given {@code expiresInMs} as the remaining time. */
    void recordAttempt(Request request, String server, double expiresInMs) {
        attempts.add(new Attempt(request, server, nowMs(), expiresInMs));
    }

    /** Records that a server executed a request. */
    void recordExecution(Request request) {
        if (request.booking) {
            executions.merge(request.id, 1, Integer::sum);
        }
    }

    /** Records the body of a response that a server sends in full. */
    void recordCompleteBody(String body) {
        completeBodies.add(body);
    }

    /** Records a response with status 200 and checks that a server produced its body for this request. */
    void recordServed(Request request, String body) {
        if (!completeBodies.contains(body) || !body.startsWith(request.id + ' ')) {
            recordViolation(
                    Rule.WRONG_ANSWER, request.id + " received " + body.length() + " bytes that no server sent for it");
        }
        recordEnd(request, End.SERVED);
    }

    /** Records how a request ended; only the first end counts. */
    void recordEnd(Request request, End end) {
        if (request.end == null) {
            request.end = end;
        }
    }

    /** Records that a request got no complete response, which breaks a rule unless a kill excuses it. */
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

    /** Records a broken rule. */
    void recordViolation(Rule rule, String detail) {
        violations.add(new Violation(rule, elapsedMs(), detail));
    }

    /**
     * Records that a gateway's only process is killed without prior notice. Requests sent before the end of the outage
     * may go unanswered.
     */
    Outage recordKill(int gatewayNumber) {
        Outage outage = new Outage(gatewayNumber);
        outages.add(outage);
        return outage;
    }

    /**
     * Whether a request that has not ended yet was open during an outage of its gateway, be it only in the accept queue
     * of the operating system.
     */
    boolean isExcused(Request request) {
        return outages.stream().anyMatch(o -> o.gatewayNumber == request.gatewayNumber && request.sentAtMs < o.endMs);
    }

    /** Records the event loop lag just measured in the simulated services or in a gateway. */
    void recordLag(double lagMs) {
        lagsByBucket.merge(TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) / LAG_BUCKET_MS, lagMs, Math::max);
    }

    /** The largest event loop lag measured around now. */
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

    /** The largest event loop lag of the run. */
    double maxLagMs() {
        return lagsByBucket.values().stream()
                .mapToDouble(Double::doubleValue)
                .max()
                .orElse(0);
    }

    /** Checks the rules that need the complete record and returns all violations; called once the run has ended. */
    List<Violation> findViolations() {
        Map<String, Integer> attemptCounts = new ConcurrentHashMap<>();
        for (Attempt attempt : attempts) {
            check(attempt);
            if (attemptCounts.merge(attempt.request.id, 1, Integer::sum) == MAX_ATTEMPTS + 1
                    && !attempt.request.resent) {
                recordViolation(
                        Rule.ATTEMPTS, attempt.request.id + " reached servers more than " + MAX_ATTEMPTS + " times");
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
        double afterCloseMs = attempt.atMs - attempt.request.clientClosedAtMs; // NaN if the client did not close
        if (afterCloseMs > MAX_ATTEMPT_DELAY_MS + lagMs) {
            recordViolation(
                    Rule.LATE_ATTEMPT,
                    String.format(
                            Locale.ROOT,
                            "%s of gateway %d reached %s %.0f ms after the client closed its connection (lag %.0f ms)",
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
                            "%s announced %.0f ms to the server while %.0f ms were left",
                            attempt.request.id,
                            attempt.expiresInMs,
                            remainingMs));
        }
    }

    /** The number of requests by how they ended. */
    Map<End, Integer> countEnds() {
        Map<End, Integer> counts = new EnumMap<>(End.class);
        for (Request request : requests.values()) {
            counts.merge(request.end == null ? End.NEVER_TAKEN : request.end, 1, Integer::sum);
        }
        return counts;
    }

    /** The number of requests sent. */
    int requestsSent() {
        return requests.size();
    }
}
