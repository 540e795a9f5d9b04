package deckfall;

/**
 * How often the counter had room for requests on the same evidence, known before it was asked: a table of its
 * verdicts, which fades, over what is to be expected before. It decides nothing.
 */
final class AdmissionEstimate {
    /** What the counter told of a customer when it was asked last, or that this gateway let one in, not long ago. */
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

    private static final double LOW_FULLNESS = 0.5; // of a store, below which it is low

    private static final double[] PRIOR_CHANCES = {0.8, 0.6, 0.8, 0.6, 0.4}; // by what was told
    private static final double OVER_QUOTA_FACTOR = 0.8; // less where the meter showed more than the quota
    private static final double RETRY_FACTOR = 0.6; // and where another gateway has refused
    private static final double PRIOR_WEIGHT = 4; // answers
    private static final double DECAY = 0.98; // an answer
    private static final int VERDICT_COUNT = CounterVerdict.values().length;

    private final double[] roomCounts = new double[4 * VERDICT_COUNT];
    private final double[] answerCounts = new double[4 * VERDICT_COUNT];

    static int evidence(boolean retry, boolean overQuota, CounterVerdict verdict) {
        return (retry ? 2 * VERDICT_COUNT : 0) + (overQuota ? VERDICT_COUNT : 0) + verdict.ordinal();
    }

    double chance(int evidence) {
        double prior = PRIOR_CHANCES[evidence % VERDICT_COUNT]
                * (evidence / VERDICT_COUNT % 2 == 1 ? OVER_QUOTA_FACTOR : 1)
                * (evidence >= 2 * VERDICT_COUNT ? RETRY_FACTOR : 1);
        return (roomCounts[evidence] + PRIOR_WEIGHT * prior) / (answerCounts[evidence] + PRIOR_WEIGHT);
    }

    void record(int evidence, boolean hadRoom) {
        roomCounts[evidence] = DECAY * roomCounts[evidence] + (hadRoom ? 1 : 0);
        answerCounts[evidence] = DECAY * answerCounts[evidence] + 1;
    }
}
