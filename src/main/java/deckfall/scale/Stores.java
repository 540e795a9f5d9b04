package deckfall.scale;

import deckfall.Gateway.Plan;

/** The token buckets of all customers: each starts full, fills at its plan's rate and holds the plan's burst at most. */
final class Stores {
    private final Customers customers;
    private final double[] stored;
    private final double[] filledAt;

    Stores(Customers customers) {
        this.customers = customers;
        stored = new double[customers.count()];
        filledAt = new double[customers.count()];
        for (int c = 0; c < stored.length; c++) {
            stored[c] = customers.plan(c).burst();
        }
    }

    /** The units that a customer's store holds now. */
    double at(int customer, double nowMs) {
        Plan plan = customers.plan(customer);
        double gained = plan.rate() * (nowMs - filledAt[customer]) / 1000;
        stored[customer] = Math.min(plan.burst(), stored[customer] + gained);
        filledAt[customer] = nowMs;
        return stored[customer];
    }

    /** Takes units where the store holds them, and nothing otherwise; whether it did. */
    boolean take(int customer, double units, double nowMs) {
        boolean holds = at(customer, nowMs) >= units;
        stored[customer] -= holds ? units : 0;
        return holds;
    }
}
