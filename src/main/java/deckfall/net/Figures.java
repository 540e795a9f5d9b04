package deckfall.net;

import deckfall.Gateway.RequestClass;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/**
 * What this process did since its start, for the operator. The event loop of the data path counts, each thing at
 * the one place where it becomes final; any thread may read.
 */
final class Figures {
    private static final String PREFIX = "edge_node_";

    /** How a request that was taken, or refused at the door, ended for a client that still waited. */
    enum End {
        SUCCESS,
        OVERLOAD,
        ERROR;

        private String figure() {
            return name().toLowerCase(Locale.ROOT) + "_total";
        }
    }

    private final Map<String, Map<End, LongAdder>> ends = new LinkedHashMap<>();
    private final LongAdder dispatches = new LongAdder();
    private final LongAdder concurrent = new LongAdder();
    private volatile int targets;
    private volatile int targetsDisabled;

    Figures(List<RequestClass> classes) {
        for (RequestClass c : classes) {
            Map<End, LongAdder> counts = new EnumMap<>(End.class);
            for (End end : End.values()) {
                counts.put(end, new LongAdder());
            }
            ends.put(c.name(), counts);
        }
    }

    void ended(String requestClass, End end) {
        ends.get(requestClass).get(end).increment();
    }

    /** An attempt's last byte has left for its host. */
    void dispatched() {
        dispatches.increment();
    }

    void opened() {
        concurrent.increment();
    }

    void closed() {
        concurrent.decrement();
    }

    /** Requests taken and not yet ended. */
    long open() {
        return concurrent.sum();
    }

    /** The hosts on the list, and how many of them the module avoids. */
    void targets(int listed, int avoided) {
        targets = listed;
        targetsDisabled = avoided;
    }

    /** One line a figure, each ended by a line feed. */
    String text() {
        StringBuilder text = new StringBuilder();
        for (End end : End.values()) {
            ends.forEach((name, counts) -> line(
                    text,
                    end.figure() + "{type=\"" + name + "\"}",
                    counts.get(end).sum()));
        }
        line(text, "dispatches_total", dispatches.sum());
        line(text, "concurrent", open());
        line(text, "targets", targets);
        line(text, "targets_disabled", targetsDisabled);
        return text.toString();
    }

    private static void line(StringBuilder text, String figure, long value) {
        text.append(PREFIX).append(figure).append(' ').append(value).append('\n');
    }
}
