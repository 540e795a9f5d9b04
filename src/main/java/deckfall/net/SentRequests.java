package deckfall.net;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers for a while which requests that must not run twice were sent to a host, so that an id that comes again, to
 * this process or to another one of the gateway, is not sent again.
 *
 * <p>Used on the event loop only, except for {@link #findSiblingFiles}.
 */
final class SentRequests {
    static final double RETENTION_MS = 15_000; // an id that comes again comes within a few deadlines
    private static final int MAX_REQUESTS = SentRequestsFile.SLOTS;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    /** When a request was sent, and its slot in the file of this process. */
    private record Sent(double atMs, int slot) {}

    private final Map<Long, Sent> sent = new LinkedHashMap<>(); // in the order in which they were sent
    private SentRequestsFile file; // null if no other process may serve as this gateway

    /** Shares what is remembered with the other processes of this gateway. */
    void shareIn(SentRequestsFile sharedFile) {
        file = sharedFile;
    }

    /** Looks for the files of other processes. May be called on any thread. */
    void findSiblingFiles() {
        if (file != null) {
            file.findSiblingFiles(SiblingWatch.monotonicMs() - RETENTION_MS);
        }
    }

    /** Records that a request is being sent. */
    void record(String id) {
        double now = SiblingWatch.monotonicMs();
        long key = key(id);
        Sent earlier = sent.remove(key);
        int slot = file == null ? 0 : earlier == null ? file.write(key, now) : file.rewrite(earlier.slot(), key, now);
        sent.put(key, new Sent(now, slot));
        removeOld(now);
    }

    private void removeOld(double now) {
        Iterator<Sent> oldestFirst = sent.values().iterator();
        while (oldestFirst.hasNext()
                && (oldestFirst.next().atMs() < now - RETENTION_MS || sent.size() > MAX_REQUESTS)) {
            oldestFirst.remove();
        }
    }

    /** Forgets a request that has not run after all. */
    void forget(String id) {
        long key = key(id);
        Sent entry = sent.remove(key);
        if (entry != null && file != null) {
            file.rewrite(entry.slot(), key, 0);
        }
    }

    /** Whether a request with this id was sent by any process of this gateway, so that it may have run. */
    boolean contains(String id) {
        long key = key(id);
        double oldestMs = SiblingWatch.monotonicMs() - RETENTION_MS;
        Sent entry = sent.get(key);
        return entry != null && entry.atMs() >= oldestMs || file != null && file.siblingsContain(key, oldestMs);
    }

    /** A hash of 64 bits stands for an id. */
    private static long key(String id) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * FNV_PRIME;
        }
        return hash ^ hash >>> Integer.SIZE;
    }
}
