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
    private final PerSecondTotals seconds;
    private final TokenBuckets stores;
    private final TokenBuckets offered;
    private final Windows beyond;
    private final Windows lacking;
    private double unitsSent;
    private double unitsBeyond;
    private double priceBeyond;
    private double worthInside;
    private double worthSentInside;
    private long refusedWithRoom;

    Quotas(Customers customers, PerSecondTotals seconds) {
        this.seconds = seconds;
        this.customers = customers;
        stores = new TokenBuckets(customers);
        offered = new TokenBuckets(customers);
        beyond = new Windows(customers.count());
        lacking = new Windows(customers.count());
    }

    /** A client's first try, whichever gateway it goes to. */
    void offer(ClientRequest t) {
        boolean inside = offered.tryTake(t.customer, t.units, t.arrivedMs);
        worthInside += inside && t.measured ? worth(t) : 0;
    }

    /** A try's first attempt has come to a seat server. */
    void take(ClientRequest t, double nowMs) {
        boolean inside = stores.tryTake(t.customer, t.units, nowMs);
        seconds.add(PerSecondTotals.Metric.UNITS_SENT, nowMs, t.units);
        seconds.add(PerSecondTotals.Metric.UNITS_BEYOND, nowMs, inside ? 0 : t.units);
        if (!t.measured) {
            return;
        }
        unitsSent += t.units;
        if (inside) {
            worthSentInside += worth(t);
            return;
        }
        unitsBeyond += t.units;
        priceBeyond += customers.plan(t.customer).excessCost() * worth(t);
        beyond.add(t.customer, nowMs, t.units);
    }

    private double worth(ClientRequest t) {
        return customers.plan(t.customer).valueFactor() * t.units;
    }

    /** A try that was never sent on was refused: with room, where half of the store lay unused. */
    void refused(ClientRequest t, double nowMs) {
        Plan plan = customers.plan(t.customer);
        boolean room = stores.tokensAt(t.customer, nowMs) >= Math.max(t.units, plan.burst() / 2);
        seconds.add(PerSecondTotals.Metric.REFUSED_WITH_ROOM, nowMs, room ? 1 : 0);
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

    double worthInside() {
        return worthInside;
    }

    /** What was sent on inside quotas, further tries as well. */
    double worthSentInside() {
        return worthSentInside;
    }

    /** The cost of use beyond quotas as a share of the worth offered inside them. */
    double overQuotaPrice() {
        return worthInside > 0 ? priceBeyond / worthInside : 0;
    }

    /** The worth sent on inside quotas as a share of the worth offered inside them by first tries. */
    double servedWorthShare() {
        return worthInside > 0 ? worthSentInside / worthInside : 0;
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
