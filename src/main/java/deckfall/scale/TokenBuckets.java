package deckfall.scale;

import deckfall.Gateway.Plan;

/**
 * The token buckets of all customers: each starts full, refills at its plan's rate and holds at most the plan's burst.
 */
final class TokenBuckets {
    private final Customers customers;
    private final double[] tokens;
    private final double[] refilledAtMs;

    TokenBuckets(Customers customers) {
        this.customers = customers;
        tokens = new double[customers.count()];
        refilledAtMs = new double[customers.count()];
        for (int customer = 0; customer < tokens.length; customer++) {
            tokens[customer] = customers.plan(customer).burst();
        }
    }

    /** The units that a customer's bucket holds now. */
    double tokensAt(int customer, double nowMs) {
        Plan plan = customers.plan(customer);
        double refill = plan.rate() * (nowMs - refilledAtMs[customer]) / 1000;
        tokens[customer] = Math.min(plan.burst(), tokens[customer] + refill);
        refilledAtMs[customer] = nowMs;
        return tokens[customer];
    }

    /** Takes the units if the bucket holds them, and nothing otherwise. Returns whether it took them. */
    boolean tryTake(int customer, double units, double nowMs) {
        boolean available = tokensAt(customer, nowMs) >= units;
        tokens[customer] -= available ? units : 0;
        return available;
    }
}
