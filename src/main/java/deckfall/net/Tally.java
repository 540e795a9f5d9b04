package deckfall.net;

import deckfall.Gateway.Outcome;
import deckfall.Gateway.Refusal;
import java.util.EnumMap;
import java.util.Map;
import java.util.StringJoiner;

/** What a node did in a period, for one line of its log; and lines on single requests, a few a period at most. */
final class Tally {
    static final long PERIOD_MS = 10_000;
    private static final int LINES = 5;

    /** Something counted beside the ends of attempts. */
    enum Count {
        TAKEN,
        SERVED,
        REFUSED,
        FAILED,
        CLIENT_LEFT,
        CUT_OFF,
        UNREADABLE,
        SURPLUS,
        CLOSED_EARLY,
        CLOSED_UNANSWERED,
        SENT_AFTER_END
    }

    private final Map<Count, Long> counts = new EnumMap<>(Count.class);
    private final Map<Outcome, Long> attempts = new EnumMap<>(Outcome.class);
    private final Map<Outcome, Long> calls = new EnumMap<>(Outcome.class); // to the counter
    private final Map<Refusal, Long> refusals = new EnumMap<>(Refusal.class);
    private final Map<CloseReason, Long> closes = new EnumMap<>(CloseReason.class); // of clients' connections
    private final Map<DispatchRule.Verdict, Long> notSent = new EnumMap<>(DispatchRule.Verdict.class);
    private int lines;

    void add(Count what) {
        counts.merge(what, 1L, Long::sum);
    }

    void attempt(Outcome outcome) {
        attempts.merge(outcome, 1L, Long::sum);
    }

    void call(Outcome outcome) {
        calls.merge(outcome, 1L, Long::sum);
    }

    void refusal(Refusal why) {
        refusals.merge(why, 1L, Long::sum);
    }

    void notSent(DispatchRule.Verdict why) {
        notSent.merge(why, 1L, Long::sum);
    }

    void closed(CloseReason why) {
        closes.merge(why, 1L, Long::sum);
    }

    /** Counts it and, while the period has lines left, tells of which request. */
    void note(Count what, String id, String host, String why) {
        add(what);
        if (lines++ < LINES) {
            Node.log(what + " request " + id + " host " + host + ": " + why);
        }
    }

    /** The period's line, or null where nothing happened; the next period starts from nothing. */
    String take() {
        StringJoiner line = new StringJoiner(" ", "tally: ", "").setEmptyValue("");
        counts.forEach((what, count) -> line.add(what + "=" + count));
        attempts.forEach((outcome, count) -> line.add("attempts_" + outcome + "=" + count));
        calls.forEach((outcome, count) -> line.add("calls_" + outcome + "=" + count));
        refusals.forEach((why, count) -> line.add("refused_" + why + "=" + count));
        closes.forEach((why, count) -> line.add("closed_" + why + "=" + count));
        notSent.forEach((why, count) -> line.add("not_sent_" + why + "=" + count));
        counts.clear();
        attempts.clear();
        calls.clear();
        refusals.clear();
        closes.clear();
        notSent.clear();
        lines = 0;
        return line.length() == 0 ? null : line.toString();
    }
}
