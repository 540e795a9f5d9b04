package deckfall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests who has to give up memory, and that nothing is counted twice or forgotten. */
class MemoryBudgetTest {
    private static final long LIMIT = 1_000_000;
    private static final int CONNECTIONS = 100;
    private static final long SMALL = 2500; // a quarter of the limit, divided by the connections

    private final MemoryBudget budget = new MemoryBudget(LIMIT, CONNECTIONS);
    private final List<String> gaveUp = new ArrayList<>();

    private MemoryBudget.Account account(String name) {
        return budget.openAccount(() -> gaveUp.add(name));
    }

    @Test
    void theLargestAccountGivesUpFirst() {
        assertTrue(account("a").reserve(300_000));
        assertTrue(account("b").reserve(400_000));
        assertTrue(account("c").reserve(100_000));
        assertEquals(List.of("b"), gaveUp);
        assertEquals(400_000, budget.usedBytes());
    }

    @Test
    void anAccountThatOutgrowsAllOthersGivesUpItself() {
        assertTrue(account("a").reserve(300_000));
        MemoryBudget.Account largest = account("b");
        assertTrue(largest.reserve(400_000));
        assertFalse(largest.reserve(100_000));
        assertFalse(largest.reserve(1));
        assertEquals(List.of("b"), gaveUp);
        assertEquals(300_000, budget.usedBytes());
    }

    @Test
    void smallAccountsKeepWhatTheyHold() {
        for (int i = 0; i < CONNECTIONS; i++) {
            assertTrue(account("small").reserve(SMALL));
        }
        assertFalse(account("large").reserve(LIMIT));
        budget.reserve(LIMIT);
        assertTrue(account("small").reserve(SMALL));
        assertEquals(List.of("large"), gaveUp);
    }

    @Test
    void admittedRequestsTakeMemoryFromAccounts() {
        MemoryBudget.Account account = account("a");
        account.reserve(200_000);
        account.moveToAdmitted(100_000);
        assertEquals(200_000, budget.usedBytes());
        budget.reserve(600_000);
        assertEquals(List.of("a"), gaveUp);
        budget.release(700_000);
        assertEquals(0, budget.usedBytes());
    }

    /** Whatever an account was told, its end returns exactly what it held, and only once. */
    @Test
    void anAccountReturnsWhatItHolds() {
        MemoryBudget.Account account = account("a");
        account.reserve(500);
        account.reserve(10_000);
        account.release(9000);
        account.reserve(50_000);
        account.close();
        account.close();
        account.release(500);
        assertEquals(0, budget.usedBytes());
        budget.reserve(LIMIT); // a closed account is not asked
        assertEquals(List.of(), gaveUp);
    }

    @Test
    void smallRequestsAreAcceptedBeyondTheLimit() {
        budget.reserve(LIMIT + 1);
        assertTrue(budget.refuses(SMALL + 1));
        assertFalse(budget.refuses(SMALL));
        budget.reserve(LIMIT / 4);
        assertTrue(budget.refuses(SMALL));
    }
}
