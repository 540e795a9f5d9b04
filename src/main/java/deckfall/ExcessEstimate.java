package deckfall;

/**
 * What the requests let in of late are expected to cost beyond their quotas, against what they are expected to earn
 * inside them: sums that fade with each request. It decides nothing.
 */
final class ExcessEstimate {
    private static final double FADE = 0.98; // a request: some fifty count

    private double earned;
    private double cost;

    /** One request let in: its expected worth inside the quota and its expected cost beyond it. */
    void add(double expectedWorth, double expectedCost) {
        earned = FADE * earned + expectedWorth;
        cost = FADE * cost + expectedCost;
    }

    /** The expected cost as a share of the expected worth; 0 before the first request. */
    double share() {
        return earned > 0 ? cost / earned : 0;
    }
}
