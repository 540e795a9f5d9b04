package deckfall.net;

import deckfall.Gateway.Outcome;
import deckfall.Gateway.Refusal;
import java.util.EnumMap;
import java.util.Map;
import java.util.StringJoiner;

/**
 * Counts what a node does in a period, for one line in its log. Also logs notes on single requests, a few per period at
 * most.
 */
final class Tally {
    static final long PERIOD_MS = 10_000;
    private static final int MAX_NOTES_PER_PERIOD = 5;

    /** Events that are counted besides the outcomes of attempts. */
    enum Count {
        TAKEN,
        SERVED,
        REFUSED,
        FAILED,
        CLIENT_LEFT,
        CUT_OFF,
        /** Responses that were passed on as they came when their attempt would have been ended. */
        RESPONSE_PASSED_ON,
        /** Requests that came again although they may have run and must not run twice. */
        REPEATED_ID,
        /** Attempts that this side ended in the middle of their response. */
        RESPONSE_ABANDONED,
        /** Attempts that this side ended before their host had taken the whole body. */
        BODY_UNSENT,
        UNREADABLE,
        SURPLUS,
        CLOSED_EARLY,
        CLOSED_UNANSWERED,
        SENT_AFTER_END
    }

    private final Map<Count, Long> counts = new EnumMap<>(Count.class);
    private final Map<Outcome, Long> attempts = new EnumMap<>(Outcome.class);
    private final Map<Outcome, Long> counterCalls = new EnumMap<>(Outcome.class); // to the shared counter
    private final Map<Refusal, Long> refusals = new EnumMap<>(Refusal.class);
    private final Map<CloseReason, Long> closes = new EnumMap<>(CloseReason.class); // of client connections
    private final Map<DispatchRule.Verdict, Long> notSent = new EnumMap<>(DispatchRule.Verdict.class);
    private final Map<MemoryUse, Long> memoryRejections = new EnumMap<>(MemoryUse.class);
    private int notesInPeriod;

    void add(Count event) {
        counts.merge(event, 1L, Long::sum);
    }

    void addAttempt(Outcome outcome) {
        attempts.merge(outcome, 1L, Long::sum);
    }

    void addCounterCall(Outcome outcome) {
        counterCalls.merge(outcome, 1L, Long::sum);
    }

    void addRefusal(Refusal reason) {
        refusals.merge(reason, 1L, Long::sum);
    }

    void notSent(DispatchRule.Verdict reason) {
        notSent.merge(reason, 1L, Long::sum);
    }

    void addMemoryRejection(MemoryUse use) {
        memoryRejections.merge(use, 1L, Long::sum);
    }

    void addClose(CloseReason reason) {
        closes.merge(reason, 1L, Long::sum);
    }

    /**
     * Counts the event and logs which request it concerns, unless the period has its maximum number of notes already.
     */
    void note(Count event, String id, String host, String reason) {
        add(event);
        if (notesInPeriod++ < MAX_NOTES_PER_PERIOD) {
            Node.log(event + " request " + id + " host " + host + ": " + reason);
        }
    }

    /** Returns the line of the period, or null if nothing was counted, and starts the next period from zero. */
    String takeLine() {
        StringJoiner line = new StringJoiner(" ", "tally: ", "").setEmptyValue("");
        counts.forEach((event, count) -> line.add(event + "=" + count));
        attempts.forEach((outcome, count) -> line.add("attempts_" + outcome + "=" + count));
        counterCalls.forEach((outcome, count) -> line.add("calls_" + outcome + "=" + count));
        refusals.forEach((reason, count) -> line.add("refused_" + reason + "=" + count));
        closes.forEach((reason, count) -> line.add("closed_" + reason + "=" + count));
        notSent.forEach((reason, count) -> line.add("not_sent_" + reason + "=" + count));
        memoryRejections.forEach((use, count) -> line.add("memory_rejected_" + use + "=" + count));
        counts.clear();
        attempts.clear();
        counterCalls.clear();
        refusals.clear();
        closes.clear();
        notSent.clear();
        memoryRejections.clear();
        notesInPeriod = 0;
        return line.length() == 0 ? null : line.toString();
    }
}
