package deckfall.scale;

import deckfall.Gateway.Plan;

/** Stands in for the meter: a customer's use in the last finished period that has been added up, in percent. */
final class Meter {
    private final Customers customers;
    private final double periodMs;
    private final double lateMs;
    private final int kept; // periods
    private final float[] used;
    private final int[] usedIn; // 1 + the period that the figure beside it is of

    Meter(Customers customers, double periodMs, double lateMs) {
        this.customers = customers;
        this.periodMs = periodMs;
        this.lateMs = lateMs;
        kept = (int) Math.ceil(lateMs / periodMs) + 2;
        used = new float[customers.count() * kept];
        usedIn = new int[used.length];
    }

    private int place(int customer, int period) {
        return customer * kept + Math.floorMod(period, kept);
    }

    void use(int customer, int units, double nowMs) {
        int period = (int) (nowMs / periodMs);
        int place = place(customer, period);
        used[place] = usedIn[place] == period + 1 ? used[place] + units : units;
        usedIn[place] = period + 1;
    }

    /** 1 + percent of the rate; 0 before the first period's figure. */
    int told(int customer, double nowMs) {
        int period = (int) Math.floor((nowMs - lateMs) / periodMs) - 1;
        Plan plan = customers.plan(customer);
        if (lateMs <= 0 || period < 0 || plan.rate() <= 0) {
            return 0;
        }
        int place = place(customer, period);
        double units = usedIn[place] == period + 1 ? used[place] : 0;
        return 1 + (int) Math.round(100 * units / (plan.rate() * periodMs / 1000));
    }
}
