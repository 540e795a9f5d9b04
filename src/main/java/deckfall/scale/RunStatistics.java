package deckfall.scale;

import deckfall.Gateway.Outcome;
import java.util.BitSet;
import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** The statistics of a run. All except the total numbers of requests cover the measured period only. */
final class RunStatistics {
    /**
     * How a request ended, named in reports in lower case. {@code UNANSWERED} means that it got no response
     * before its deadline, which is a defect.
     */
    enum RequestOutcome {
        SERVED,
        REFUSED,
        FAILED,
        UNANSWERED,
        NO_GATEWAY
    }

    /** The purpose of a counter call, named in reports in lower case. */
    enum CallPurpose {
        READ,
        REQUESTS_WAIT,
        BACKGROUND
    }

    private static final long MAX_DISPATCH_DELAY_US = 3_600_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final SimulationOptions options;
    final Map<RequestOutcome, Long> outcomes = new EnumMap<>(RequestOutcome.class);
    final Map<CallPurpose, Long> callsByPurpose = new EnumMap<>(CallPurpose.class);
    final Map<Outcome, Long> callOutcomes = new EnumMap<>(Outcome.class);
    final Histogram dispatchDelayMicros = new Histogram(MAX_DISPATCH_DELAY_US, SIGNIFICANT_DIGITS);
    long totalRequests;
    long totalEndedRequests;
    long requests;
    long firstRequests;
    long refusedWithRetryAfter;
    long attempts;
    long crossZoneAttempts; // to servers outside the gateway's zone
    private final int[] gatewayCallsInSecond;
    private final long[] gatewaySecond;
    private int maxGatewayCallsInSecond;
    final PerSecondTotals perSecond;
    private final BitSet[] usedServers;
    private final BitSet[] usedServersBefore;

    RunStatistics(SimulationOptions options) {
        this.options = options;
        perSecond = new PerSecondTotals(options.measuredFromMs(), (int) Math.ceil(options.seconds));
        gatewayCallsInSecond = new int[options.gateways];
        gatewaySecond = new long[options.gateways];
        usedServers = new BitSet[options.gateways];
        usedServersBefore = new BitSet[options.gateways];
        for (int gateway = 0; gateway < options.gateways; gateway++) {
            usedServers[gateway] = new BitSet();
            usedServersBefore[gateway] = new BitSet();
        }
    }

    private boolean isMeasured(double nowMs) {
        return nowMs >= options.measuredFromMs() && nowMs < options.measuredUntilMs();
    }

    private static <K> void increment(Map<K, Long> counts, K key) {
        counts.merge(key, 1L, Long::sum);
    }

    void requestArrived(ClientRequest request) {
        totalRequests++;
        perSecond.add(PerSecondTotals.Metric.TRIES, request.arrivedMs, 1);
        requests += request.measured ? 1 : 0;
        firstRequests += request.measured && request.retryNumber == 0 ? 1 : 0;
    }

    void requestEnded(ClientRequest request, RequestOutcome outcome, double nowMs) {
        totalEndedRequests++;
        if (outcome == RequestOutcome.SERVED || outcome == RequestOutcome.REFUSED) {
            perSecond.add(
                    outcome == RequestOutcome.SERVED ? PerSecondTotals.Metric.SERVED : PerSecondTotals.Metric.REFUSED,
                    nowMs,
                    1);
        }
        if (request.measured) {
            increment(outcomes, outcome);
        }
    }

    void requestDispatched(ClientRequest request, double nowMs) {
        if (request.measured) {
            dispatchDelayMicros.recordValue(Math.round(1000 * (nowMs - request.arrivedMs)));
        }
    }

    void attemptSent(int gateway, SimulatedServer server, boolean crossZone, double nowMs) {
        if (isMeasured(nowMs)) {
            attempts++;
            crossZoneAttempts += crossZone ? 1 : 0;
            usedServers[gateway].set(server.index);
        }
    }

    void counterCalled(int gateway, CallPurpose purpose, double nowMs) {
        if (!isMeasured(nowMs)) {
            return;
        }
        increment(callsByPurpose, purpose);
        long second = (long) ((nowMs - options.measuredFromMs()) / 1000);
        perSecond.add(PerSecondTotals.Metric.CALLS, nowMs, 1);
        gatewayCallsInSecond[gateway] = gatewaySecond[gateway] == second ? gatewayCallsInSecond[gateway] + 1 : 1;
        gatewaySecond[gateway] = second;
        maxGatewayCallsInSecond = Math.max(maxGatewayCallsInSecond, gatewayCallsInSecond[gateway]);
    }

    void counterCallEnded(Outcome outcome, double nowMs) {
        if (isMeasured(nowMs)) {
            perSecond.add(PerSecondTotals.Metric.CALLS_OK, nowMs, outcome == Outcome.OK ? 1 : 0);
            increment(callOutcomes, outcome);
        }
    }

    long outcomes(RequestOutcome outcome) {
        return outcomes.getOrDefault(outcome, 0L);
    }

    long calls() {
        return callsByPurpose.values().stream().mapToLong(count -> count).sum();
    }

    int maxGatewayCallsInSecond() {
        return maxGatewayCallsInSecond;
    }

    /** Marks a change of the servers: those that each gateway uses from now on are compared with those used before. */
    void serversChanged() {
        for (int gateway = 0; gateway < usedServers.length; gateway++) {
            usedServersBefore[gateway].or(usedServers[gateway]);
            usedServers[gateway].clear();
        }
    }

    /** Mean number of servers used by a gateway, since the last change of the servers if there was one. */
    double hostsUsed() {
        return mean(usedServers);
    }

    double hostsUsedBefore() {
        return mean(usedServersBefore);
    }

    private static double mean(BitSet[] sets) {
        double sum = 0;
        for (BitSet set : sets) {
            sum += set.cardinality();
        }
        return sum / sets.length;
    }

    /** Mean number of servers of the initial list that a gateway uses only since the change; 0 without a change. */
    double hostsNewlyUsed() {
        double sum = 0;
        for (int gateway = 0; gateway < usedServers.length; gateway++) {
            BitSet newlyUsed = (BitSet) usedServers[gateway].clone();
            newlyUsed.andNot(usedServersBefore[gateway]);
            newlyUsed.clear(options.servers, Math.max(options.servers, newlyUsed.length()));
            sum += usedServersBefore[gateway].isEmpty() ? 0 : newlyUsed.cardinality();
        }
        return sum / usedServers.length;
    }
}
