package deckfall.scale;

import java.util.OptionalDouble;

/**
 * A reference for the module's admission: one policy for the whole fleet that knows each customer's true store as it
 * was some milliseconds ago, and lets in what that store held. With no delay it sees all.
 */
final class ReferenceAdmission implements Admission {
    private final EventQueue queue;
    private final Customers customers;
    private final TokenBuckets seen; // on a clock that is late by the delay
    private final double delayMs;

    ReferenceAdmission(EventQueue queue, Customers customers, double delayMs) {
        this.queue = queue;
        this.customers = customers;
        this.seen = new TokenBuckets(customers);
        this.delayMs = delayMs;
    }

    private double seenTime() {
        return Math.max(0, queue.now() - delayMs);
    }

    @Override
    public OptionalDouble refusal(ClientRequest t) {
        double lacking = t.units - seen.tokensAt(t.customer, seenTime());
        if (lacking > 0) {
            return OptionalDouble.of(1000 * lacking / customers.plan(t.customer).rate());
        }
        if (delayMs == 0) {
            seen.tryTake(t.customer, t.units, seenTime());
        } else {
            queue.scheduleAfter(delayMs, () -> seen.tryTake(t.customer, t.units, seenTime()));
        }
        return OptionalDouble.empty();
    }
}
