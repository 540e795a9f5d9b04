package deckfall.net;

import deckfall.Gateway.HostState;
import deckfall.net.Discovery.Entry;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Hosts that were told to drain or to be gone. A list of an older version, as of an agent that has fallen behind, can't
 * take that back: whoever drains in one life of its process is not ready again before the next one.
 */
final class Leaving {
    private static final int MOST = 4096;

    private record Mark(HostState state, double startedMs) {}

    private final Map<String, Double> startedMs = bounded();
    private final Map<String, Mark> marks = bounded();
    private long newest = Long.MIN_VALUE;

    /** The entries of a list as they may be believed. */
    List<Entry> heard(long version, boolean whole, List<Entry> entries) {
        boolean older = version < newest;
        if (whole && !older) { // whoever it does not name is gone
            startedMs.forEach((id, started) -> marks.put(id, new Mark(HostState.GONE, started)));
        }
        newest = Math.max(newest, version);
        List<Entry> believed = new ArrayList<>(entries.size());
        for (Entry e : entries) {
            String id = e.host().id();
            Mark mark = marks.get(id);
            boolean stale = older
                    && mark != null
                    && e.host().startedMs() <= mark.startedMs()
                    && e.host().state().compareTo(mark.state()) < 0;
            HostState state = stale ? mark.state() : e.host().state();
            believed.add(stale ? e.in(state) : e);
            startedMs.merge(id, e.host().startedMs(), Math::max);
            if (state == HostState.RUNNING) {
                marks.remove(id);
            } else {
                marks.put(id, new Mark(state, startedMs.get(id)));
            }
        }
        return believed;
    }

    private static <V> Map<String, V> bounded() {
        return new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
                return size() > MOST;
            }
        };
    }
}
