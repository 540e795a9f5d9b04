package deckfall.scale;

import java.util.OptionalDouble;

/**
 * A reference for the admission of the decision module: one policy for the whole fleet that admits what each customer's
 * exact token bucket held some milliseconds ago. Without a delay it decides with full knowledge.
 */
final class ReferenceAdmissionPolicy implements AdmissionPolicy {
    private final EventQueue queue;
    private final Customers customers;
    private final TokenBuckets delayedBuckets; // on a clock that lags by the delay
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
