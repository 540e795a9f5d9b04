package deckfall;

/**
 * How often the counter had room for requests on the same evidence, known before it was asked: a table of its
 * verdicts, which fades, over what is to be expected before. It decides nothing.
 */
final class AdmissionEstimate {
    /** What the counter told of a customer when it was asked last, or that this gateway let one in, not long ago. */
    enum CounterVerdict {
        NOTHING,
        USED,
        ROOM,
        LOW,
        EMPTY;

        static CounterVerdict of(boolean room, double fullness) {
            if (!room) {
                return EMPTY;
            }
            return fullness < HALF ? LOW : ROOM;
        }
    }

    private static final double HALF = 0.5; // of a store, below which it is low

    private static final double[] EXPECTED = {0.8, 0.6, 0.8, 0.6, 0.4}; // by what was told
    private static final double HOT = 0.8; // less where the meter showed more than the quota
    private static final double RETRY = 0.6; // and where another gateway has refused
    private static final double EXPECTED_WEIGHT = 4; // answers
    private static final double FADE = 0.98; // an answer
    private static final int ROW = CounterVerdict.values().length;

    private final double[] room = new double[4 * ROW];
    private final double[] answers = new double[4 * ROW];

    static int evidence(boolean retry, boolean hot, CounterVerdict verdict) {
        return (retry ? 2 * ROW : 0) + (hot ? ROW : 0) + verdict.ordinal();
    }

    double of(int evidence) {
        double expected =
                EXPECTED[evidence % ROW] * (evidence / ROW % 2 == 1 ? HOT : 1) * (evidence >= 2 * ROW ? RETRY : 1);
        return (room[evidence] + EXPECTED_WEIGHT * expected) / (answers[evidence] + EXPECTED_WEIGHT);
    }

    void learn(int evidence, boolean hadRoom) {
        room[evidence] = FADE * room[evidence] + (hadRoom ? 1 : 0);
        answers[evidence] = FADE * answers[evidence] + 1;
    }
}
