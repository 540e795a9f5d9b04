package deckfall;

import deckfall.DecisionState.CustomerState;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The customers that a gateway knows. Anyone may send requests under ever new names, so their number is bounded: beyond
 * {@link #MAX_CUSTOMERS} a new one takes the place of one that has been idle, the oldest first.
 */
final class CustomerTable {
    static final int MAX_CUSTOMERS = 10_000;
    static final double MIN_IDLE_MS = 1000; // of a customer that is evicted for a new one
    private static final int MAX_CHECKED = 32; // customers for one eviction
    private static final double MS_PER_SECOND = 1000;

    private final Map<Long, CustomerState> customers = new LinkedHashMap<>();
    private final ArrayDeque<CustomerState> evictionOrder = new ArrayDeque<>();

    /** The customer with this id; null if it is unknown. */
    CustomerState get(long id) {
        return customers.get(id);
    }

    boolean contains(long id) {
        return customers.containsKey(id);
    }

    /** All customers, in the order in which they became known. */
    Collection<CustomerState> values() {
        return customers.values();
    }

    /** Adds a customer, or replaces it. */
    void put(CustomerState customer) {
        customers.put(customer.id, customer);
        evictionOrder.addLast(customer);
    }

    /** Makes room for one more customer. Returns false if there is none, as too many customers are active. */
    boolean makeRoom(double now) {
        for (int i = 0; customers.size() >= MAX_CUSTOMERS && i < MAX_CHECKED; i++) {
            CustomerState oldest = evictionOrder.pollFirst();
            if (mayBeEvicted(oldest, now)) {
                customers.remove(oldest.id, oldest);
            } else {
                evictionOrder.addLast(oldest);
            }
        }
        return customers.size() < MAX_CUSTOMERS;
    }

    /** Whether nothing is lost with a customer: it is idle, and its cap would have been refilled as for a new one. */
    private static boolean mayBeEvicted(CustomerState customer, double now) {
        double idleMs = now - customer.refilledAt;
        boolean capRefilled = customer.plan.capRate() == 0
                || idleMs >= customer.plan.capBurst() / customer.plan.capRate() * MS_PER_SECOND;
        return idleMs >= MIN_IDLE_MS && customer.openRequests == 0 && customer.pending.isEmpty() && capRefilled;
    }

    /** Removes the customers that match. */
    void removeIf(Predicate<CustomerState> condition) {
        if (customers.values().removeIf(condition)) {
            evictionOrder.removeIf(customer -> customers.get(customer.id) != customer);
        }
    }
}
