package deckfall.net;

import deckfall.Gateway.HostState;
import deckfall.net.Discovery.Entry;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Filters lists of an older version, for example from a discovery agent that lags behind, so that they do not revert a
 * host that drains or is gone to a former state. A host that drains becomes ready again only after its process has
 * restarted.
 */
final class StaleListFilter {
    private static final int MAX_HOSTS = 4096;

    /** The state of a host that drains or is gone, and the start time of the process to which it applies. */
    private record Tombstone(HostState state, double startedMs) {}

    private final Map<String, Double> latestStartMs = bounded();
    private final Map<String, Tombstone> tombstones = bounded();
    private long newestVersion = Long.MIN_VALUE;

    /** Returns the entries of a list with stale states replaced by the newer known ones. */
    List<Entry> filter(long version, boolean full, List<Entry> entries) {
        boolean older = version < newestVersion;
        if (full && !older) { // a host that a full list does not name is gone
            latestStartMs.forEach((id, startedMs) -> tombstones.put(id, new Tombstone(HostState.GONE, startedMs)));
        }
        newestVersion = Math.max(newestVersion, version);
        List<Entry> filtered = new ArrayList<>(entries.size());
        for (Entry entry : entries) {
            String id = entry.host().id();
            Tombstone tombstone = tombstones.get(id);
            boolean stale = older
                    && tombstone != null
                    && entry.host().startedMs() <= tombstone.startedMs()
                    && entry.host().state().compareTo(tombstone.state()) < 0;
            HostState state = stale ? tombstone.state() : entry.host().state();
            filtered.add(stale ? entry.withState(state) : entry);
            latestStartMs.merge(id, entry.host().startedMs(), Math::max);
            if (state == HostState.RUNNING) {
                tombstones.remove(id);
            } else {
                tombstones.put(id, new Tombstone(state, latestStartMs.get(id)));
            }
        }
        return filtered;
    }

    private static <V> Map<String, V> bounded() {
        return new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
                return size() > MAX_HOSTS;
            }
        };
    }
}
