package deckfall;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import deckfall.DecisionState.CustomerState;
import deckfall.Gateway.Plan;
import org.junit.jupiter.api.Test;

class CustomerTableTest {
    private static final double NOW = 1_000_000;
    private static final Plan UNCAPPED = new Plan("free", 1, 4, 0, 1, 0, 0, 0, 0, 0);
    private static final double CAP_REFILL_MS = 40_000;
    private static final Plan CAPPED = new Plan("capped", 1, 4, 0, 1, 0, 0, 0.1, 4, 0);

    private final CustomerTable customers = new CustomerTable();

    private CustomerState add(long id, Plan plan, double usedAt) {
        CustomerState customer = new CustomerState(id, 0, plan, 0, 1, new int[] {0}, usedAt);
        customers.put(customer);
        return customer;
    }

    private void fill(Plan plan, double usedAt) {
        for (long id = 0; id < CustomerTable.MAX_CUSTOMERS; id++) {
            add(id, plan, usedAt);
        }
    }

    /** Guards against memory that grows with each new name. */
    @Test
    void newCustomersTakeThePlaceOfIdleOnes() {
        fill(UNCAPPED, NOW - CustomerTable.MIN_IDLE_MS);
        for (long id = 0; id < 2 * CustomerTable.MAX_CUSTOMERS; id++) {
            double now = NOW + id;
            assertTrue(customers.makeRoom(now), "customer " + id);
            add(CustomerTable.MAX_CUSTOMERS + id, UNCAPPED, now);
            assertTrue(customers.values().size() <= CustomerTable.MAX_CUSTOMERS);
        }
    }

    @Test
    void activeCustomersStay() {
        fill(UNCAPPED, NOW - CustomerTable.MIN_IDLE_MS);
        CustomerState open = customers.get(0);
        open.openRequests = 1;
        CustomerState recent = customers.get(1);
        recent.refilledAt = NOW;
        assertTrue(customers.makeRoom(NOW));
        assertTrue(customers.contains(open.id) && customers.contains(recent.id));
        assertEquals(CustomerTable.MAX_CUSTOMERS - 1, customers.values().size());
    }

    @Test
    void thereIsNoRoomWhileAllAreActive() {
        fill(UNCAPPED, NOW);
        assertFalse(customers.makeRoom(NOW));
        assertEquals(CustomerTable.MAX_CUSTOMERS, customers.values().size());
    }

    /** A customer that came back would have the whole burst of its cap again. */
    @Test
    void customerStaysUntilItsCapIsRefilled() {
        fill(CAPPED, NOW);
        assertFalse(customers.makeRoom(NOW + CAP_REFILL_MS - 1));
        assertTrue(customers.makeRoom(NOW + CAP_REFILL_MS));
    }
}
