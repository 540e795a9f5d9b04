package deckfall;

/**
 * How often the counter had room for requests of which the same was known before it was asked: a table of what was
 * told, which fades, over what is to be expected before. It decides nothing.
 */
final class Chances {
    /** What the counter told of a customer when it was asked last, or that this gateway let one in, not long ago. */
    enum Told {
        NOTHING,
        USED,
        ROOM,
        LOW,
        EMPTY
    }

    private static final double[] EXPECTED = {0.8, 0.6, 0.8, 0.6, 0.4}; // by what was told
    private static final double HOT = 0.8; // less where the meter showed more than the quota
    private static final double RETRY = 0.6; // and where another gateway has refused
    private static final double EXPECTED_WEIGHT = 4; // answers
    private static final double FADE = 0.98; // an answer
    private static final int ROW = Told.values().length;

    private final double[] room = new double[4 * ROW];
    private final double[] answers = new double[4 * ROW];

    static int known(boolean retry, boolean hot, Told told) {
        return (retry ? 2 * ROW : 0) + (hot ? ROW : 0) + told.ordinal();
    }

    double of(int known) {
        double expected = EXPECTED[known % ROW] * (known / ROW % 2 == 1 ? HOT : 1) * (known >= 2 * ROW ? RETRY : 1);
        return (room[known] + EXPECTED_WEIGHT * expected) / (answers[known] + EXPECTED_WEIGHT);
    }

    void learn(int known, boolean hadRoom) {
        room[known] = FADE * room[known] + (hadRoom ? 1 : 0);
        answers[known] = FADE * answers[known] + 1;
    }
}
