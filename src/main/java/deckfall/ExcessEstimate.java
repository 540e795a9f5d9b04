package deckfall;

/**
 * What the requests let in of late are expected to cost beyond their quotas, against what they are expected to earn
 * inside them: sums that fade with each request. It decides nothing.
 */
final class ExcessEstimate {
    private static final double DECAY = 0.98; // a request: some fifty count

    private double expectedWorthSum;
    private double expectedCostSum;

    /** One request let in: its expected worth inside the quota and its expected cost beyond it. */
    void record(double expectedWorth, double expectedCost) {
        expectedWorthSum = DECAY * expectedWorthSum + expectedWorth;
        expectedCostSum = DECAY * expectedCostSum + expectedCost;
    }

    /** The expected cost as a share of the expected worth; 0 before the first request. */
    double costShare() {
        return expectedWorthSum > 0 ? expectedCostSum / expectedWorthSum : 0;
    }
}
