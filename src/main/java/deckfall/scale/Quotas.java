package deckfall.scale;

import deckfall.Gateway.Plan;

/**
 * The truth on quotas, which no gateway sees: each customer's store over all gateways, what was sent on beyond it,
 * and what was refused though half of it lay unused. Beside it a store that sees all first tries, which tells the
 * worth that was offered inside the quotas.
 */
final class Quotas {
    static final double WINDOW_MS = 5000; // in which a customer's excess and lack are added up

    private final Customers customers;
    private final Seconds seconds;
    private final double[] stored;
    private final double[] storedAt;
    private final double[] offered;
    private final double[] offeredAt;
    private final Windows beyond;
    private final Windows lacking;
    private double unitsSent;
    private double unitsBeyond;
    private double priceBeyond;
    private double worthInside;
    private long refusedWithRoom;

    Quotas(Customers customers, Seconds seconds) {
        this.seconds = seconds;
        this.customers = customers;
        stored = new double[customers.count()];
        storedAt = new double[customers.count()];
        offered = new double[customers.count()];
        offeredAt = new double[customers.count()];
        beyond = new Windows(customers.count());
        lacking = new Windows(customers.count());
        for (int c = 0; c < customers.count(); c++) {
            stored[c] = offered[c] = customers.plan(c).burst();
        }
    }

    private static double filled(Plan plan, double[] store, double[] at, int c, double nowMs) {
        store[c] = Math.min(plan.burst(), store[c] + plan.rate() * (nowMs - at[c]) / 1000);
        at[c] = nowMs;
        return store[c];
    }

    /** A client's first try, whichever gateway it goes to. */
    void offer(Try t) {
        Plan plan = customers.plan(t.customer);
        if (filled(plan, offered, offeredAt, t.customer, t.arrivedMs) >= t.units) {
            offered[t.customer] -= t.units;
            worthInside += t.measured ? plan.price() * t.units : 0;
        }
    }

    /** A try's first attempt has come to a seat server. */
    void take(Try t, double nowMs) {
        Plan plan = customers.plan(t.customer);
        boolean inside = filled(plan, stored, storedAt, t.customer, nowMs) >= t.units;
        stored[t.customer] -= inside ? t.units : 0;
        seconds.add(Seconds.Sum.UNITS_SENT, nowMs, t.units);
        seconds.add(Seconds.Sum.UNITS_BEYOND, nowMs, inside ? 0 : t.units);
        if (!t.measured) {
            return;
        }
        unitsSent += t.units;
        if (!inside) {
            unitsBeyond += t.units;
            priceBeyond += plan.price() * plan.overCost() * t.units;
            beyond.add(t.customer, nowMs, t.units);
        }
    }

    /** A try that was never sent on was refused: with room, where half of the store lay unused. */
    void refused(Try t, double nowMs) {
        Plan plan = customers.plan(t.customer);
        boolean room = filled(plan, stored, storedAt, t.customer, nowMs) >= Math.max(t.units, plan.burst() / 2);
        seconds.add(Seconds.Sum.REFUSED_WITH_ROOM, nowMs, room ? 1 : 0);
        if (room && t.measured) {
            refusedWithRoom++;
            lacking.add(t.customer, nowMs, t.units);
        }
    }

    double unitsSent() {
        return unitsSent;
    }

    double unitsBeyond() {
        return unitsBeyond;
    }

    double priceBeyond() {
        return priceBeyond;
    }

    double worthInside() {
        return worthInside;
    }

    long refusedWithRoom() {
        return refusedWithRoom;
    }

    /** Units beyond the quota by customer, in windows of time. */
    Windows beyond() {
        return beyond;
    }

    /** Units refused with room by customer, in windows of time. */
    Windows lacking() {
        return lacking;
    }

    /** The most that each customer had of something in any window. */
    static final class Windows {
        private final long[] window;
        private final double[] now;
        private final double[] most;

        Windows(int customers) {
            window = new long[customers];
            now = new double[customers];
            most = new double[customers];
        }

        void add(int customer, double nowMs, double units) {
            long current = (long) (nowMs / WINDOW_MS);
            now[customer] = current == window[customer] ? now[customer] + units : units;
            window[customer] = current;
            most[customer] = Math.max(most[customer], now[customer]);
        }

        double largest() {
            double largest = 0;
            for (double m : most) {
                largest = Math.max(largest, m);
            }
            return largest;
        }

        int customers() {
            int count = 0;
            for (double m : most) {
                count += m > 0 ? 1 : 0;
            }
            return count;
        }

        /** Of the customers that had any. */
        double mean() {
            double sum = 0;
            for (double m : most) {
                sum += m;
            }
            return sum / Math.max(1, customers());
        }
    }
}
