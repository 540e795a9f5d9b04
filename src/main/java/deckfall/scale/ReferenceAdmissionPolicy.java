package deckfall.scale;

import java.util.OptionalDouble;

/**
 * A reference for the module's admission: one policy for the whole fleet that knows each customer's true store as it
 * was some milliseconds ago, and lets in what that store held. With no delay it sees all.
 */
final class ReferenceAdmissionPolicy implements AdmissionPolicy {
    private final EventQueue queue;
    private final Customers customers;
    private final TokenBuckets delayedBuckets; // on a clock that is late by the delay
    private final double delayMs;

    ReferenceAdmissionPolicy(EventQueue queue, Customers customers, double delayMs) {
        this.queue = queue;
        this.customers = customers;
        this.delayedBuckets = new TokenBuckets(customers);
        this.delayMs = delayMs;
    }

    private double delayedNowMs() {
        return Math.max(0, queue.now() - delayMs);
    }

    @Override
    public OptionalDouble refusalRetryAfterMs(ClientRequest request) {
        double missingUnits = request.units - delayedBuckets.tokensAt(request.customer, delayedNowMs());
        if (missingUnits > 0) {
            return OptionalDouble.of(
                    1000 * missingUnits / customers.plan(request.customer).rate());
        }
        if (delayMs == 0) {
            delayedBuckets.tryTake(request.customer, request.units, delayedNowMs());
        } else {
            queue.scheduleAfter(delayMs, () -> delayedBuckets.tryTake(request.customer, request.units, delayedNowMs()));
        }
        return OptionalDouble.empty();
    }
}
