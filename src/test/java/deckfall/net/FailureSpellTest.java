package deckfall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Which failed calls count as one spell. */
class FailureSpellTest {
    private long nanos;
    private final FailureSpell spell = new FailureSpell(() -> nanos);

    private void pass(long ms) {
        nanos += ms * 1_000_000;
    }

    @Test
    void aSpellLastsFromItsFirstFailureToTheNextSuccess() {
        assertEquals(0, spell.failed());
        pass(30);
        assertEquals(30, spell.failed());
        assertTrue(spell.on());
        pass(20);
        assertEquals(50, spell.over());
        assertFalse(spell.on());
        assertEquals(0, spell.over());
    }

    /** A read that failed with nothing to read made the client's next request, seconds later, overdue by as much. */
    @Test
    void aFailureLongAgoIsOfNoSpell() {
        spell.failed();
        pass(3000);
        assertFalse(spell.on());
        assertEquals(0, spell.failed());
        pass(3000);
        assertEquals(0, spell.over());
    }
}
