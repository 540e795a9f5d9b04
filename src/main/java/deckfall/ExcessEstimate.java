package deckfall;

/**
 * Compares what the recently admitted requests are expected to cost beyond their quotas with what they are expected
 * to earn within them, as sums that decay with each request. It makes no decision.
 */
final class ExcessEstimate {
    private static final double DECAY = 0.98; // per request: about the last fifty count

    private double expectedWorthSum;
    private double expectedCostSum;

    /** Adds an admitted request with its expected worth within the quota and its expected cost beyond it. */
    void record(double expectedWorth, double expectedCost) {
        expectedWorthSum = DECAY * expectedWorthSum + expectedWorth;
        expectedCostSum = DECAY * expectedCostSum + expectedCost;
    }

    /** The expected cost as a share of the expected worth; 0 before the first request. */
    double costShare() {
        return expectedWorthSum > 0 ? expectedCostSum / expectedWorthSum : 0;
    }
}
