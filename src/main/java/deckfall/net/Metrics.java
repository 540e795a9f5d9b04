package deckfall.net;

import deckfall.Gateway.RequestClass;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/**
 * Metrics for the operator on what this process has done since its start. The event loop of the data path updates them,
 * each at the one place where the value becomes final; any thread may read them.
 */
final class Metrics {
    private static final String NAME_PREFIX = "edge_node_";

    /**
     * How a request, admitted or refused on arrival, ended for a client that was still waiting. Metric names contain
     * these names in lower case.
     */
    enum Result {
        SUCCESS,
        OVERLOAD,
        ERROR;

        private String metricName() {
            return name().toLowerCase(Locale.ROOT) + "_total";
        }
    }

    private final Map<String, Map<Result, LongAdder>> results = new LinkedHashMap<>();
    private final LongAdder dispatches = new LongAdder();
    private final LongAdder concurrent = new LongAdder();
    private volatile int targets;
    private volatile int targetsDisabled;
    private final Map<MemoryUse, LongAdder> memoryRejections = new EnumMap<>(MemoryUse.class);
    private final Map<AbandonReason, LongAdder> abandonedResponses = new EnumMap<>(AbandonReason.class);
    private final Map<AbandonReason, LongAdder> unsentBodies = new EnumMap<>(AbandonReason.class);
    private final LongAdder readPausedMs = new LongAdder();
    private volatile long memoryHeldBytes;
    private volatile long memoryLimitBytes;

    Metrics(List<RequestClass> classes) {
        for (RequestClass c : classes) {
            Map<Result, LongAdder> counts = new EnumMap<>(Result.class);
            for (Result result : Result.values()) {
                counts.put(result, new LongAdder());
            }
            results.put(c.name(), counts);
        }
        for (MemoryUse use : MemoryUse.values()) {
            memoryRejections.put(use, new LongAdder());
        }
        for (AbandonReason reason : AbandonReason.values()) {
            abandonedResponses.put(reason, new LongAdder());
            unsentBodies.put(reason, new LongAdder());
        }
    }

    void recordResult(String requestClass, Result result) {
        results.get(requestClass).get(result).increment();
    }

    /** Counts a connection that had to give up what it held, as the memory budget was used up. */
    void recordMemoryRejection(MemoryUse use) {
        memoryRejections.get(use).increment();
    }

    /** Counts an attempt that this side ended in the middle of its response. */
    void recordAbandonedResponse(AbandonReason reason) {
        abandonedResponses.get(reason).increment();
    }

    /** Counts an attempt that this side ended before its host had taken the whole body. */
    void recordUnsentBody(AbandonReason reason) {
        unsentBodies.get(reason).increment();
    }

    /** Counts time for which a client's request was not read, as its host did not take what had been read. */
    void recordReadPause(double pausedMs) {
        readPausedMs.add((long) pausedMs);
    }

    /** Counts an attempt whose last byte has been sent to its host. */
    void recordDispatch() {
        dispatches.increment();
    }

    void requestOpened() {
        concurrent.increment();
    }

    void requestClosed() {
        concurrent.decrement();
    }

    /** The number of admitted requests that have not ended. */
    long openRequests() {
        return concurrent.sum();
    }

    /** Sets the number of hosts on the list, and how many of them the decision module avoids. */
    void targets(int listed, int avoided) {
        targets = listed;
        targetsDisabled = avoided;
    }

    /** Sets how much memory the memory budget counts as held for peers, and its limit. */
    void memory(long heldBytes, long limitBytes) {
        memoryHeldBytes = heldBytes;
        memoryLimitBytes = limitBytes;
    }

    /** The bytes of the heap in use, garbage that was not collected yet included. */
    private static long heapUsedBytes() {
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /** All metrics, one per line, each terminated by a line feed. */
    String text() {
        StringBuilder text = new StringBuilder();
        for (Result result : Result.values()) {
            results.forEach((name, counts) -> appendLine(
                    text,
                    result.metricName() + "{type=\"" + name + "\"}",
                    counts.get(result).sum()));
        }
        appendLine(text, "dispatches_total", dispatches.sum());
        appendLine(text, "concurrent", openRequests());
        appendLine(text, "targets", targets);
        appendLine(text, "targets_disabled", targetsDisabled);
        abandonedResponses.forEach((reason, count) ->
                appendLine(text, "responses_abandoned_total{type=\"" + reason.metricName() + "\"}", count.sum()));
        unsentBodies.forEach((reason, count) ->
                appendLine(text, "bodies_unsent_total{type=\"" + reason.metricName() + "\"}", count.sum()));
        appendLine(text, "body_read_paused_ms_total", readPausedMs.sum());
        memoryRejections.forEach((use, count) ->
                appendLine(text, "memory_rejected_total{type=\"" + use.metricName() + "\"}", count.sum()));
        appendLine(text, "memory_held_bytes", memoryHeldBytes);
        appendLine(text, "memory_limit_bytes", memoryLimitBytes);
        appendLine(text, "heap_used_bytes", heapUsedBytes());
        appendLine(text, "heap_limit_bytes", Runtime.getRuntime().maxMemory());
        return text.toString();
    }

    private static void appendLine(StringBuilder text, String name, long value) {
        text.append(NAME_PREFIX).append(name).append(' ').append(value).append('\n');
    }
}
