package deckfall;

/**
 * Estimates how likely the counter is to have room for a request from the evidence available before it is called: a
 * table of whether past calls found room, which decays with each reply, combined with a prior. It makes no decision.
 */
final class AdmissionEstimate {
    /** The counter's last recent verdict on a customer, or that this gateway recently admitted a request of it. */
    enum CounterVerdict {
        UNKNOWN,
        ADMITTED,
        ROOM,
        LOW,
        EMPTY;

        static CounterVerdict of(boolean room, double fullness) {
            if (!room) {
                return EMPTY;
            }
            return fullness < LOW_FULLNESS ? LOW : ROOM;
        }
    }

    private static final double LOW_FULLNESS = 0.5; // share of the burst below which the quota is low

    private static final double[] PRIOR_CHANCES = {0.8, 0.6, 0.8, 0.6, 0.4}; // by verdict
    private static final double OVER_QUOTA_FACTOR = 0.8; // if the meter showed more use than the quota
    private static final double RETRY_FACTOR = 0.6; // if the request is a client's retry: a gateway refused it before
    private static final double PRIOR_WEIGHT = 4; // replies
    private static final double DECAY = 0.98; // per reply
    private static final int VERDICT_COUNT = CounterVerdict.values().length;

    private final double[] roomCounts = new double[4 * VERDICT_COUNT];
    private final double[] resultCounts = new double[4 * VERDICT_COUNT];

    /** Returns the index in the table of the evidence that is available before the call. */
    static int evidenceIndex(boolean retry, boolean overQuota, CounterVerdict verdict) {
        return (retry ? 2 * VERDICT_COUNT : 0) + (overQuota ? VERDICT_COUNT : 0) + verdict.ordinal();
    }

    /** The estimated probability that the counter has room. */
    double chance(int evidenceIndex) {
        double prior = PRIOR_CHANCES[evidenceIndex % VERDICT_COUNT]
                * (evidenceIndex / VERDICT_COUNT % 2 == 1 ? OVER_QUOTA_FACTOR : 1)
                * (evidenceIndex >= 2 * VERDICT_COUNT ? RETRY_FACTOR : 1);
        return (roomCounts[evidenceIndex] + PRIOR_WEIGHT * prior) / (resultCounts[evidenceIndex] + PRIOR_WEIGHT);
    }

    /** Adds one verdict of the counter. */
    void record(int evidenceIndex, boolean hadRoom) {
        roomCounts[evidenceIndex] = DECAY * roomCounts[evidenceIndex] + (hadRoom ? 1 : 0);
        resultCounts[evidenceIndex] = DECAY * resultCounts[evidenceIndex] + 1;
    }
}
