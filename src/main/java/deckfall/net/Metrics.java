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

    Metrics(List<RequestClass> classes) {
        for (RequestClass c : classes) {
            Map<Result, LongAdder> counts = new EnumMap<>(Result.class);
            for (Result result : Result.values()) {
                counts.put(result, new LongAdder());
            }
            results.put(c.name(), counts);
        }
    }

    void recordResult(String requestClass, Result result) {
        results.get(requestClass).get(result).increment();
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
        return text.toString();
    }

    private static void appendLine(StringBuilder text, String name, long value) {
        text.append(NAME_PREFIX).append(name).append(' ').append(value).append('\n');
    }
}
