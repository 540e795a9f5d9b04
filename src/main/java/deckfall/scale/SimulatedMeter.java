package deckfall.scale;

import deckfall.Gateway.Plan;

/** Simulates the meter: it reports a customer's use in the last period that has been evaluated, in percent. */
final class SimulatedMeter {
    private final Customers customers;
    private final double periodMs;
    private final double delayMs;
    private final int keptPeriods;
    private final float[] usedUnits;
    private final int[] usedPeriods; // 1 + the period that the same entry of usedUnits belongs to

    SimulatedMeter(Customers customers, double periodMs, double delayMs) {
        this.customers = customers;
        this.periodMs = periodMs;
        this.delayMs = delayMs;
        keptPeriods = (int) Math.ceil(delayMs / periodMs) + 2;
        usedUnits = new float[customers.count() * keptPeriods];
        usedPeriods = new int[usedUnits.length];
    }

    private int indexOf(int customer, int period) {
        return customer * keptPeriods + Math.floorMod(period, keptPeriods);
    }

    void recordUse(int customer, int units, double nowMs) {
        int period = (int) (nowMs / periodMs);
        int index = indexOf(customer, period);
        usedUnits[index] = usedPeriods[index] == period + 1 ? usedUnits[index] + units : units;
        usedPeriods[index] = period + 1;
    }

    /** 1 + the use in percent of the plan's rate; 0 before the first period is evaluated. */
    int reading(int customer, double nowMs) {
        int period = (int) Math.floor((nowMs - delayMs) / periodMs) - 1;
        Plan plan = customers.plan(customer);
        if (delayMs <= 0 || period < 0 || plan.rate() <= 0) {
            return 0;
        }
        int index = indexOf(customer, period);
        double units = usedPeriods[index] == period + 1 ? usedUnits[index] : 0;
        return 1 + (int) Math.round(100 * units / (plan.rate() * periodMs / 1000));
    }
}
