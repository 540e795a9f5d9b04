package deckfall.scale;

import deckfall.Gateway.Outcome;
import java.util.BitSet;
import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** What is counted in a run. All but the answers to all tries is of the measured time alone. */
final class Figures {
    /** How a try ended; {@code UNANSWERED} by the module until its client's time was up, which is a defect. */
    enum End {
        SERVED,
        REFUSED,
        FAILED,
        UNANSWERED,
        NO_GATEWAY
    }

    /** What a counter call is for. */
    enum Call {
        READ,
        REQUESTS_WAIT,
        BACKGROUND
    }

    private static final long LONGEST_HOLD_US = 3_600_000_000L;
    private static final int DIGITS = 3;

    private final HollowOptions options;
    final Map<End, Long> ends = new EnumMap<>(End.class);
    final Map<Call, Long> calls = new EnumMap<>(Call.class);
    final Map<Outcome, Long> callEnds = new EnumMap<>(Outcome.class);
    final Histogram holdMicros = new Histogram(LONGEST_HOLD_US, DIGITS);
    long allTries;
    long allEnds;
    long tries;
    long firstTries;
    long refusedAdvised; // with a time to come back
    long attempts;
    long attemptsElsewhere; // out of the own zone
    private final int[] gatewayCalls;
    private final long[] gatewaySecond;
    private int mostGatewayCalls;
    final PerSecondTotals seconds;
    private final BitSet[] used;
    private final BitSet[] usedBefore;

    Figures(HollowOptions options) {
        this.options = options;
        seconds = new PerSecondTotals(options.warmUpMs(), (int) Math.ceil(options.seconds));
        gatewayCalls = new int[options.gateways];
        gatewaySecond = new long[options.gateways];
        used = new BitSet[options.gateways];
        usedBefore = new BitSet[options.gateways];
        for (int g = 0; g < options.gateways; g++) {
            used[g] = new BitSet();
            usedBefore[g] = new BitSet();
        }
    }

    private boolean measured(double nowMs) {
        return nowMs >= options.warmUpMs() && nowMs < options.endMs();
    }

    private static <K> void add(Map<K, Long> counts, K key) {
        counts.merge(key, 1L, Long::sum);
    }

    void came(ClientRequest t) {
        allTries++;
        seconds.add(PerSecondTotals.Metric.TRIES, t.arrivedMs, 1);
        tries += t.measured ? 1 : 0;
        firstTries += t.measured && t.retryNumber == 0 ? 1 : 0;
    }

    void ended(ClientRequest t, End end, double nowMs) {
        allEnds++;
        if (end == End.SERVED || end == End.REFUSED) {
            seconds.add(end == End.SERVED ? PerSecondTotals.Metric.SERVED : PerSecondTotals.Metric.REFUSED, nowMs, 1);
        }
        if (t.measured) {
            add(ends, end);
        }
    }

    void left(ClientRequest t, double nowMs) {
        if (t.measured) {
            holdMicros.recordValue(Math.round(1000 * (nowMs - t.arrivedMs)));
        }
    }

    void sent(int gateway, SeatServer to, boolean elsewhere, double nowMs) {
        if (measured(nowMs)) {
            attempts++;
            attemptsElsewhere += elsewhere ? 1 : 0;
            used[gateway].set(to.index);
        }
    }

    void called(int gateway, Call call, double nowMs) {
        if (!measured(nowMs)) {
            return;
        }
        add(calls, call);
        long second = (long) ((nowMs - options.warmUpMs()) / 1000);
        seconds.add(PerSecondTotals.Metric.CALLS, nowMs, 1);
        gatewayCalls[gateway] = gatewaySecond[gateway] == second ? gatewayCalls[gateway] + 1 : 1;
        gatewaySecond[gateway] = second;
        mostGatewayCalls = Math.max(mostGatewayCalls, gatewayCalls[gateway]);
    }

    void callEnded(Outcome outcome, double nowMs) {
        if (measured(nowMs)) {
            seconds.add(PerSecondTotals.Metric.CALLS_OK, nowMs, outcome == Outcome.OK ? 1 : 0);
            add(callEnds, outcome);
        }
    }

    long ends(End end) {
        return ends.getOrDefault(end, 0L);
    }

    long allCalls() {
        return calls.values().stream().mapToLong(n -> n).sum();
    }

    int mostGatewayCalls() {
        return mostGatewayCalls;
    }

    /** The servers change now: which ones each gateway uses from here on is held against those of before. */
    void serversChange() {
        for (int g = 0; g < used.length; g++) {
            usedBefore[g].or(used[g]);
            used[g].clear();
        }
    }

    /** In the mean of all gateways; since the last change of servers, where there was one. */
    double hostsUsed() {
        return mean(used);
    }

    double hostsUsedBefore() {
        return mean(usedBefore);
    }

    private static double mean(BitSet[] sets) {
        double sum = 0;
        for (BitSet s : sets) {
            sum += s.cardinality();
        }
        return sum / sets.length;
    }

    /** Servers of the first list that a gateway uses only since the change, in the mean; 0 without a change. */
    double hostsNewlyUsed() {
        double sum = 0;
        for (int g = 0; g < used.length; g++) {
            BitSet fresh = (BitSet) used[g].clone();
            fresh.andNot(usedBefore[g]);
            fresh.clear(options.servers, Math.max(options.servers, fresh.length()));
            sum += usedBefore[g].isEmpty() ? 0 : fresh.cardinality();
        }
        return sum / used.length;
    }
}
