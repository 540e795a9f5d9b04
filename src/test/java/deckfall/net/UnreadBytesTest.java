package deckfall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class UnreadBytesTest {
    private static final double PAUSED_AT_MS = 1000;
    private static final double LOOP_LAG_MS = 3;

    private final UnreadBytes unread = new UnreadBytes();

    @Test
    void withoutAPauseBytesHaveWaitedForTheEventLoopOnly() {
        assertEquals(PAUSED_AT_MS - LOOP_LAG_MS, unread.earliestMs(PAUSED_AT_MS, LOOP_LAG_MS));
        unread.readInFull(PAUSED_AT_MS);
        assertEquals(PAUSED_AT_MS + 1, unread.earliestMs(PAUSED_AT_MS + 1, 0));
    }

    /** Guards against counting a client's time from when its bytes are read instead of when they were sent. */
    @Test
    void bytesReadAfterAPauseMayBeAsOldAsThePause() {
        unread.leftUnread(PAUSED_AT_MS, LOOP_LAG_MS);
        assertFalse(unread.foundEmpty());
        assertEquals(PAUSED_AT_MS - LOOP_LAG_MS, unread.earliestMs(PAUSED_AT_MS + 5000, 0));
        unread.leftUnread(PAUSED_AT_MS + 2000, 0);
        assertEquals(PAUSED_AT_MS - LOOP_LAG_MS, unread.earliestMs(PAUSED_AT_MS + 5000, 0));
    }

    /** The peer's system sends what it holds only once there is room, so the first empty read shows nothing. */
    @Test
    void bytesAreNewOnceReadsHaveFoundNothingMoreForAWhile() {
        unread.leftUnread(PAUSED_AT_MS, 0);
        double emptyAtMs = PAUSED_AT_MS + 700;
        unread.readInFull(emptyAtMs);
        assertTrue(unread.foundEmpty());
        double before = emptyAtMs + UnreadBytes.SETTLE_MS / 2;
        assertEquals(PAUSED_AT_MS, unread.earliestMs(before, 0));
        unread.readInFull(before);
        double after = emptyAtMs + UnreadBytes.SETTLE_MS;
        assertEquals(after, unread.earliestMs(after, 0));
    }

    @Test
    void anotherPauseBeforeThatStartsAnew() {
        unread.leftUnread(PAUSED_AT_MS, 0);
        unread.readInFull(PAUSED_AT_MS + 1);
        unread.leftUnread(PAUSED_AT_MS + 2, 0);
        assertEquals(PAUSED_AT_MS, unread.earliestMs(PAUSED_AT_MS + 5000, 0));
    }

    /** A client that is always ahead of a sound host must not have its time counted from the first pause for ever. */
    @Test
    void bytesBehindMoreThanTheSystemsHoldAreNewerThanThePause() {
        unread.leftUnread(PAUSED_AT_MS, LOOP_LAG_MS);
        int half = (int) (UnreadBytes.MAX_HELD_BYTES / 2) + 1;
        unread.read(half, PAUSED_AT_MS + 500);
        assertEquals(PAUSED_AT_MS - LOOP_LAG_MS, unread.earliestMs(PAUSED_AT_MS + 500, 0));
        unread.read(half, PAUSED_AT_MS + 1000);
        assertEquals(PAUSED_AT_MS, unread.earliestMs(PAUSED_AT_MS + 1000, 0));
        unread.read(2 * half, PAUSED_AT_MS + 2000);
        assertEquals(PAUSED_AT_MS + 1000, unread.earliestMs(PAUSED_AT_MS + 2000, 0));
    }
}
