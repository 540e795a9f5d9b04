package deckfall.scale;

import deckfall.Gateway.Plan;

/**
 * The exact state of the quotas, which no gateway can observe: each customer's token bucket over all gateways, the
 * units sent beyond it, and the units refused although half of it was available. A second set of buckets takes all
 * requests that are not retries and yields the worth that was offered within the quotas.
 */
final class QuotaAccounting {
    static final double WINDOW_MS = 5000; // in which a customer's excess and wrongly refused units are summed up

    private final Customers customers;
    private final PerSecondTotals perSecond;
    private final TokenBuckets buckets;
    private final TokenBuckets offeredBuckets;
    private final WindowMaxima excessWindows;
    private final WindowMaxima refusedInQuotaWindows;
    private double unitsSent;
    private double excessUnits;
    private double excessCost;
    private double worthOfferedInQuota;
    private double worthSentInQuota;
    private long refusedInQuota;

    QuotaAccounting(Customers customers, PerSecondTotals perSecond) {
        this.perSecond = perSecond;
        this.customers = customers;
        buckets = new TokenBuckets(customers);
        offeredBuckets = new TokenBuckets(customers);
        excessWindows = new WindowMaxima(customers.count());
        refusedInQuotaWindows = new WindowMaxima(customers.count());
    }

    /** Called for a request that is not a retry, whichever gateway it goes to. */
    void requestOffered(ClientRequest request) {
        boolean inQuota = offeredBuckets.tryTake(request.customer, request.units, request.arrivedMs);
        worthOfferedInQuota += inQuota && request.measured ? worth(request) : 0;
    }

    /** Called when the first attempt of a request has arrived at a seat server. */
    void requestReachedServer(ClientRequest request, double nowMs) {
        boolean inQuota = buckets.tryTake(request.customer, request.units, nowMs);
        perSecond.add(PerSecondTotals.Metric.UNITS_SENT, nowMs, request.units);
        perSecond.add(PerSecondTotals.Metric.UNITS_BEYOND, nowMs, inQuota ? 0 : request.units);
        if (!request.measured) {
            return;
        }
        unitsSent += request.units;
        if (inQuota) {
            worthSentInQuota += worth(request);
            return;
        }
        excessUnits += request.units;
        excessCost += customers.plan(request.customer).excessCost() * worth(request);
        excessWindows.add(request.customer, nowMs, request.units);
    }

    private double worth(ClientRequest request) {
        return customers.plan(request.customer).valueFactor() * request.units;
    }

    /**
     * Called when a request was refused without any attempt. It was within its quota if half of the bucket was
     * available.
     */
    void requestRefused(ClientRequest request, double nowMs) {
        Plan plan = customers.plan(request.customer);
        boolean inQuota = buckets.tokensAt(request.customer, nowMs) >= Math.max(request.units, plan.burst() / 2);
        perSecond.add(PerSecondTotals.Metric.REFUSED_WITH_ROOM, nowMs, inQuota ? 1 : 0);
        if (inQuota && request.measured) {
            refusedInQuota++;
            refusedInQuotaWindows.add(request.customer, nowMs, request.units);
        }
    }

    double unitsSent() {
        return unitsSent;
    }

    double excessUnits() {
        return excessUnits;
    }

    double worthOfferedInQuota() {
        return worthOfferedInQuota;
    }

    /** The worth of what was sent within the quotas, including retries. */
    double worthSentInQuota() {
        return worthSentInQuota;
    }

    /** The cost of the excess as a share of the worth offered within the quotas. */
    double excessCostShare() {
        return worthOfferedInQuota > 0 ? excessCost / worthOfferedInQuota : 0;
    }

    /** The worth sent within the quotas as a share of the worth offered within them, retries not counted as offers. */
    double servedWorthShare() {
        return worthOfferedInQuota > 0 ? worthSentInQuota / worthOfferedInQuota : 0;
    }

    long refusedInQuota() {
        return refusedInQuota;
    }

    /** Units sent beyond the quota, by customer and window of time. */
    WindowMaxima excessWindows() {
        return excessWindows;
    }

    /** Units refused within the quota, by customer and window of time. */
    WindowMaxima refusedInQuotaWindows() {
        return refusedInQuotaWindows;
    }

    /** The largest number of units that each customer had in any window. */
    static final class WindowMaxima {
        private final long[] windowIndex;
        private final double[] windowUnits;
        private final double[] maxUnits;

        WindowMaxima(int customerCount) {
            windowIndex = new long[customerCount];
            windowUnits = new double[customerCount];
            maxUnits = new double[customerCount];
        }

        void add(int customer, double nowMs, double units) {
            long currentWindow = (long) (nowMs / WINDOW_MS);
            windowUnits[customer] = currentWindow == windowIndex[customer] ? windowUnits[customer] + units : units;
            windowIndex[customer] = currentWindow;
            maxUnits[customer] = Math.max(maxUnits[customer], windowUnits[customer]);
        }

        double max() {
            double max = 0;
            for (double units : maxUnits) {
                max = Math.max(max, units);
            }
            return max;
        }

        int customerCount() {
            int count = 0;
            for (double units : maxUnits) {
                count += units > 0 ? 1 : 0;
            }
            return count;
        }

        /** The mean over the customers that had any. */
        double mean() {
            double sum = 0;
            for (double units : maxUnits) {
                sum += units;
            }
            return sum / Math.max(1, customerCount());
        }
    }
}
