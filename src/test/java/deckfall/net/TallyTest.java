package deckfall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import deckfall.Gateway.Outcome;
import deckfall.Gateway.Refusal;
import org.junit.jupiter.api.Test;

/** Tests the log line of a period. */
class TallyTest {
    @Test
    void eachPeriodIsOneLineAndStartsFromZero() {
        Tally tally = new Tally();
        assertNull(tally.takeLine());
        tally.add(Tally.Count.TAKEN);
        tally.add(Tally.Count.TAKEN);
        tally.note(Tally.Count.UNREADABLE, "id", "host", "why");
        tally.addAttempt(Outcome.RESET);
        tally.addCounterCall(Outcome.TIMEOUT);
        tally.addRefusal(Refusal.QUOTA);
        assertEquals("tally: TAKEN=2 UNREADABLE=1 attempts_RESET=1 calls_TIMEOUT=1 refused_QUOTA=1", tally.takeLine());
        assertNull(tally.takeLine());
    }
}
