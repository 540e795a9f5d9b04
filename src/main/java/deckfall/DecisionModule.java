package deckfall;

import deckfall.AdmissionEstimate.CounterVerdict;
import deckfall.DecisionState.*;
import deckfall.Gateway.*;
import java.util.*;
import java.util.stream.IntStream;

/**
 * Every decision of one gateway: admission, release, weights, host choice, health, tells and the rule guards.
 * Its interface (events, actions, settings) is Gateway.java, beside this file.
 */
public final class DecisionModule implements Gateway.Events {
    // Housekeeping
    private static final double TICK_MS = 20; // held requests expire and tells leave on this beat
    private static final double SWEEP_INTERVAL_MS = 5000; // how often customers and hosts long gone are forgotten
    private static final double IDLE_EXPIRY_MS = 60_000; // a store idle this long is full again
    // Admission by parts
    private static final double DEMAND_AVERAGING_MS = 2000; // averaging of demand: longer than gaps between requests
    private static final double EVEN_SHARE_PRIOR = 0.05; // of the rate, added to a set's demand: all have a part
    private static final double SHARE_RAISE_STEP = 0.1; // of all, by each new figure that leaves room for unmet demand
    private static final double FRESH_LEVEL_MS = 1000; // a keeper's word this old no longer lets in without asking
    private static final double STALE_LEVEL_MS = 3000; // and from here on the part is the even one
    private static final double REPORT_LAG_MS = 60; // a told figure's age on arrival: half a gap and the way
    private static final double METER_LAG_MS = 860; // mean age of a period's figure when it is first told
    private static final double ASSUMED_USE_SHARE = 0.5; // of the rate, by a customer that the meter has not told of
    private static final double OTHERS_FREE_SHARE = 0.5; // of what the others hold, that may be free
    private static final double UNSEEN_USE_SHARE = 0.6; // of the rate: what others may use unseen beside their demand
    // Admission in a set so wide that no part holds a request
    private static final double MIN_LAPSED_BURSTS = 1; // bursts beyond the store from which a count is put right
    private static final double EVIDENCE_BURSTS = 2; // bursts' times for which an answer tells of more
    private static final double MAX_EXCESS_COST_SHARE = 0.03; // of the worth let in, that excess is expected to cost
    private static final double MARGIN_STEP = 1.05; // growth with a request let in above that bound
    private static final double MARGIN_START = 4; // what a guess has to pay, in times of its expected cost
    private static final double MARGIN_MAX = 5;
    private static final double OWN_USE_REQUESTS = 1.5; // units in a metered period that may be one gateway's own
    private static final double CORRECTION_WORTH_SHARE = 0.3; // of a unit's worth, saved by the call that puts it right
    private static final double MEAN_WORTH_GAIN = 0.02; // weight of one request in the mean worth
    // Keepers and tells
    private static final double MIN_RETRY_AFTER_MS = TICK_MS; // shortest wait that a refusal tells
    private static final int OWNER_COUNT = 2; // gateways of a set that keep its books: one may be down
    private static final double OWNER_ANSWER_TIMEOUT_MS = 150; // a due answer is missing after so long
    private static final double UNRESPONSIVE_MS = 1000; // a peer that missed an answer is not asked so long
    private static final double PEER_MESSAGE_RATE_SHARE =
            0.8; // share of the intake that is used: bursts fit in the rest
    private static final double PEER_MESSAGE_BURST_MS = 150; // time's worth of mail that may leave at once
    private static final double MAX_PEER_MESSAGE_GAP_MS = 50; // longest of the shortest gaps between messages to a peer
    private static final double OWNER_SYNC_INTERVAL_MS = 300; // how often a keeper tells the other keeper of a customer
    private static final int MAX_PEER_MESSAGE_BYTES = 256; // largest message
    private static final double PRIMARY_OWNER_CAP_SHARE =
            0.5; // of a ceiling, held by the first keeper; the rest evenly
    private static final double COUNTER_REPORT_INTERVAL_MS =
            500; // how often a customer's use is added to the counter, unasked
    private static final double COUNTER_LIFETIME_MS = 60_000; // of a name
    private static final double COUNTER_CALL_ALLOWANCE_MS = 150; // time that a request must have left for an answer
    // Release
    private static final double BURST_HEADROOM = 0.7; // places beyond the even ones, in roots of them: for bursts
    private static final double START_CONCURRENCY_PER_HOST = 6; // attempts out a host at first, by all gateways
    private static final double MIN_CONCURRENCY_PER_HOST = 3; // never fewer by all gateways, or cores would idle
    private static final double MAX_CONCURRENCY_PER_HOST = 128; // by all gateways: beyond this no host gains
    private static final double CONCURRENCY_INCREASE = 1.15; // growth a beat while requests wait on fast hosts
    private static final double CONCURRENCY_DECREASE = 0.85; // cut a beat while latency is stretched
    private static final double CONCURRENCY_INTERVAL_MS = 250; // how often the bound moves
    private static final int CONCURRENCY_MIN_ANSWERS = 8; // answers to move it by, or so many beats
    private static final double BASELINE_DRIFT = 1.002; // growth a beat, so that a lasting change is accepted
    private static final int BASELINE_MIN_SAMPLES = 20; // answers before the base is held
    private static final double QUEUEING_LATENCY_RATIO =
            1.7; // latency over its base that counts as queueing at the hosts
    private static final double HARMLESS_GOAL_SHARE = 0.1; // below this share of the aim latency does no harm
    private static final double MIN_LATE_VALUE = 0.5; // late worth from which a late answer merits a place
    private static final double REQUIRED_EXPECTED_TIMES = 3; // expected times a held request must still have
    private static final double MIN_HOLD_GOAL_SHARE = 0.1; // share of the aim for which any request may be held
    private static final double QUEUEING_GOAL_SHARE = 0.5; // mean share of the aim that is queueing for sure
    private static final double RELEASE_GAP_GAIN = 0.1; // weight of one release in the mean gap of releases
    private static final double INITIAL_LATENCY_GOAL_SHARE = 0.2; // of the aim: the largest request, before any answer
    private static final int MAX_SCANNED = 16; // held requests passed over for want of a legal host, a turn
    // Weights: the paper's alpha, beta, epsilon
    private static final double ALPHA = 0.7; // weight of the old delay average
    private static final double BETA = 0.5; // share of a computed donation that is committed
    private static final double EPSILON = 0.1; // half-width of the band in which a class is content
    private static final double DELAY_GOAL_SHARE = 0.6; // share of the aim that a class's mean delay may take
    private static final double DELAY_INTERVAL_MS = 500; // delay averaging beat
    private static final double MIN_DONATION_INTERVAL_MS = 1000; // first interval between donations; doubles after one
    private static final double MAX_DONATION_INTERVAL_MS = 8000; // longest such interval
    private static final double INITIAL_WEIGHT_STEP = 0.05; // first step, before a slope is known, of all weight
    private static final double MIN_WEIGHT = 0.02; // least weight, as share of all
    // Hosts
    private static final double LATENCY_GAIN = 0.12; // weight of one answer in a host's slowness
    private static final double FAILURE_GAIN = 0.4; // weight of a failure or of an overdue attempt
    private static final double FULL_HOST_SLOWNESS = 4; // slowness of a full host, and of one tried before
    private static final double UNHEALTHY_SLOWNESS = 2.2; // slowness from which a host is worse than chance makes it
    private static final double OVERDUE_EXPECTED_TIMES = 5; // expected times, and
    private static final double OVERDUE_MIN_MS = 400; // so much, after which it is overdue
    private static final double CROSS_ZONE_COST = 0.05; // crossing zones, as share of the score of an idle host
    private static final double COLD_ALLOWANCE_SHARE = 0.7; // of a cold host's allowance: bursts fit in the rest
    private static final int MIN_SUBSET_SIZE = 8; // hosts a gateway keeps to, while they serve; more
    private static final int MIN_GATEWAYS_PER_HOST = 6; // where a host would have fewer gateways than this
    private static final int MIN_CANDIDATES = 2; // hosts compared at least; more where own counts can tell them apart
    private static final double HOST_REFRESH_INTERVAL_MS = 500; // how often the hosts are counted
    private static final double RETRY_BUDGET_SHARE = 0.2; // further attempts earned by each first one
    private static final double MAX_RETRY_TOKENS = 20; // most further attempts saved up
    private static final double KEY_WINDOW_SHARE = 0.9; // of a key's window: the rest covers the way to the host
    private static final double DEADLINE_MARGIN_MS = 40; // refuse or fail this long before a deadline: two beats

    private final Actions actions;
    private final Map<String, ClassState> classes = new LinkedHashMap<>();
    private final Map<String, Integer> planNumbers = new LinkedHashMap<>();
    private final Map<Long, CustomerState> customers = new LinkedHashMap<>();
    private final Map<String, TrackedHost> hosts = new LinkedHashMap<>();
    private final Map<String, RequestState> requests = new LinkedHashMap<>();
    private final ArrayDeque<PeerState> outbox = new ArrayDeque<>();
    private final LinkedHashSet<RequestState> ownerQueries = new LinkedHashSet<>();
    private final LinkedHashSet<CustomerState> unreportedCustomers = new LinkedHashSet<>();
    private final LinkedHashSet<TrackedHost> busyHosts = new LinkedHashSet<>();
    private final List<TrackedHost> eligibleHosts = new ArrayList<>();
    private final List<TrackedHost> subset = new ArrayList<>();
    private PeerState[] peers = new PeerState[0];
    private Settings settings;
    private Random random;
    private int epoch;
    private double startedAt,
            concurrencyAdjustedAt,
            sweptAt,
            delayIntervalEndedAt,
            donatedAt,
            messageTokensAt,
            hostsRefreshedAt;
    private CallBudget callBudget;
    private AdmissionEstimate[] admissionEstimates;
    private final ExcessEstimate excessEstimate = new ExcessEstimate();
    private double admissionMargin = MARGIN_START;
    private double counterAnsweredAt = DecisionState.NEVER;
    private double meanWorth;
    private double messageTokens, donationIntervalMs = MIN_DONATION_INTERVAL_MS;
    private boolean requestsWaited;
    private int attemptsInFlight, answerCount, processCount = 1;
    private double concurrencyPerHost = START_CONCURRENCY_PER_HOST;
    private double warmCapacity, virtualTime;
    private double retryTokens = MAX_RETRY_TOKENS / 2;
    private double latencySum, baselineSum, goalShareSum;

    public DecisionModule(Actions actions) {
        this.actions = actions;
    }

    // ---- events

    @Override
    public void start(double now, Settings initialSettings) {
        settings = initialSettings;
        random = new Random(initialSettings.seed());
        startedAt = now;
        epoch = (int) (long) now;
        peers = new PeerState[Math.max(1, initialSettings.gatewayCount())];
        Arrays.setAll(peers, PeerState::new);
        double worth = initialSettings.classes().stream()
                .mapToDouble(c -> Math.max(MIN_WEIGHT, c.worth()))
                .sum();
        for (RequestClass c : initialSettings.classes()) {
            ClassState state = new ClassState(c);
            state.weight = Math.max(MIN_WEIGHT, c.worth()) / worth;
            state.latencyPerUnit = state.baselineLatency = c.goalMs()
                    * INITIAL_LATENCY_GOAL_SHARE
                    / initialSettings.coordination().maxUnitsPerRequest();
            classes.put(c.name(), state);
        }
        for (int i = 0; i < initialSettings.plans().size(); i++)
            planNumbers.put(initialSettings.plans().get(i).name(), i);
        callBudget = new CallBudget(now, initialSettings.coordination().counterTimeoutMs(), peers.length);
        admissionEstimates = new AdmissionEstimate[initialSettings.plans().size()];
        Arrays.setAll(admissionEstimates, i -> new AdmissionEstimate());
        concurrencyAdjustedAt = sweptAt = delayIntervalEndedAt = donatedAt = messageTokensAt = hostsRefreshedAt = now;
        if (initialSettings.subscribesToHosts()) actions.subscribeHosts();
        actions.startTimer(TICK_MS, "beat");
    }

    @Override
    public void hostsUpdated(double now, HostListKind kind, List<Host> updates) {
        if (kind == HostListKind.FAILED) actions.startTimer(STALE_LEVEL_MS, "watch");
        if (kind == HostListKind.FAILED) return;
        if (kind != HostListKind.CHANGES) hosts.values().forEach(s -> s.listed = false);
        updates.forEach(
                h -> hosts.computeIfAbsent(h.id(), id -> new TrackedHost(h)).update(h));
        refreshHosts(now);
        releaseQueued(now);
    }

    @Override
    public void requestReceived(double now, Request r) {
        ClassState cls = classes.get(r.requestClass());
        if (cls == null) actions.refuse(r.id(), 0, Refusal.UNKNOWN); // its class can't be judged
        if (cls == null) return;
        Integer plan = planNumbers.get(r.plan());
        CustomerState c = plan == null ? null : customerState(now, r.customer(), plan, r.first(), r.spread());
        RequestState ask = new RequestState(r, cls, c, now);
        requests.put(r.id(), ask);
        switch (c == null ? AdmissionVerdict.ADMIT : decideAdmission(now, ask)) {
            case ADMIT -> admit(now, ask);
            case REFUSE -> admitOrRefuse(now, ask, false);
            case ASK_COUNTER -> askCounter(now, ask);
            default -> askOwner(now, ask, 0);
        }
        if (c != null && ask.admitted) notifyOwners(now, c);
        flushOutbox(now);
    }

    private void admit(double now, RequestState ask) {
        ClassState cls = ask.classState;
        ask.admitted = true;
        CustomerState c = ask.customer;
        if (c != null) c.requestAdmitted(now);
        if (c != null) charge(now, c, ask.details.units(), ask.details.units());
        if (cls.queue.isEmpty()) cls.virtualTime = Math.max(cls.virtualTime, virtualTime);
        cls.queue.addLast(ask);
        releaseQueued(now);
        // What would wait beyond its use is refused at once, and what has no time left may not wait (rule 1).
        boolean held = !ask.closed && ask.attempts.isEmpty();
        if (held && now + cls.queue.size() * cls.meanReleaseGap >= holdDeadline(ask)) finishUnserved(now, ask);
    }

    @Override
    public void streamStarted(double now, String id, int attempt) {
        RequestState ask = requests.get(id);
        if (ask != null) ask.streaming = true;
    }

    @Override
    public void attemptEnded(double now, AttemptResult r) {
        RequestState ask = requests.get(r.id());
        if (ask == null || r.attempt() < 0 || r.attempt() >= ask.attempts.size()) return;
        Attempt a = ask.attempts.get(r.attempt());
        if (!a.inFlight) return;
        a.end(r.outcome());
        attemptsInFlight--;
        if (a.host.attemptsInFlight.isEmpty()) busyHosts.remove(a.host);
        recordOutcome(now, ask, a, r);
        if (r.requestClosed()) {
            closeRequest(now, ask);
        } else if (!ask.closed && !ask.hasAttemptInFlight()) {
            if (acquireRetry(now, ask) && r.outcome() != Outcome.MOOT) ask.classState.queue.addFirst(ask);
            else finishUnserved(now, ask);
        }
        if (ask.closed && !ask.hasAttemptInFlight()) requests.remove(ask.details.id());
        releaseQueued(now);
    }

    @Override
    public void clientDisconnected(double now, String id) {
        RequestState ask = requests.get(id);
        if (ask == null) return;
        closeRequest(now, ask);
        for (Attempt a : ask.attempts) {
            if (a.inFlight && settings.limits().mayCancel() && !ask.streaming) actions.cancel(id, a.number);
        }
    }

    @Override
    public void timerFired(double now, String token) {
        if (token.equals("watch")) actions.subscribeHosts();
        if (!token.equals("beat")) return;
        actions.startTimer(TICK_MS, "beat");
        expireQueued(now);
        expireOwnerQueries(now);
        reportUsage(now);
        if (now - hostsRefreshedAt >= HOST_REFRESH_INTERVAL_MS) refreshHosts(now);
        checkOverdueAttempts(now);
        adjustConcurrency(now);
        adjustWeights(now);
        evictIdle(now);
        releaseQueued(now);
        flushOutbox(now);
    }

    // ---- admission by parts

    private enum AdmissionVerdict {
        ADMIT,
        REFUSE,
        ASK_OWNER,
        ASK_COUNTER
    }

    private CustomerState customerState(double now, long id, int plan, int first, int spread) {
        CustomerState c = customers.get(id);
        if (c == null || c.planNumber != plan) {
            Plan p = settings.plans().get(plan);
            int wide = Math.max(1, Math.min(spread, peers.length));
            int[] keepers = DecisionState.rankGateways(id, first, wide, peers.length, OWNER_COUNT);
            c = new CustomerState(id, plan, p, first, wide, keepers, now);
            c.quotaLevel = p.burst();
            c.spareUnits = maxSpareUnits(c, 1.0 / wide);
            // Less than one request is no use, but a free one in each gateway of a wide set is many bursts.
            c.ownTokens = hasWideSet(c) ? p.burst() / c.spread : Math.max(p.burst() / c.spread, minBucketSize(p));
            // The ceiling's store starts with what has filled since this gateway started, never with a burst:
            // before a restart this gateway may have spent it (rule 5).
            double filled = (now - startedAt) / 1000 * p.capRate() * capShare(c);
            c.capTokens = Math.min(maxCapTokens(c), filled);
            customers.put(id, c);
        }
        refill(now, c);
        return c;
    }

    /** This gateway's own share of a ceiling: all sum to one, and each is spent by its holder alone. */
    private double capShare(CustomerState c) {
        if (c.spread == 1) return 1;
        return (c.owners[0] == settings.gatewayNumber() ? PRIMARY_OWNER_CAP_SHARE : 0)
                + (1 - PRIMARY_OWNER_CAP_SHARE) / c.spread;
    }

    private double maxCapTokens(CustomerState c) {
        return c.plan.capBurst() * capShare(c);
    }

    private void refill(double now, CustomerState c) {
        double s = (now - c.refilledAt) / 1000;
        if (s <= 0) return;
        double fade = Math.exp(-(now - c.refilledAt) / DEMAND_AVERAGING_MS);
        Plan p = c.plan;
        double part = processShare(now, c);
        c.demand *= fade;
        c.othersDemand *= fade;
        c.refilledAt = now;
        if (!hasWideSet(c)) c.reduceUnreported(part * p.rate() * s * c.fullness());
        c.quotaLevel = Math.min(p.burst(), c.quotaLevel + p.rate() * s);
        double left = Math.max(0, p.rate() - othersRate(c)) / processCount;
        c.spareUnits = Math.min(maxSpareUnits(c, part), c.spareUnits + left * s);
        c.ownTokens = Math.min(Math.max(part * p.burst(), minBucketSize(p)), c.ownTokens + part * p.rate() * s);
        // Units let in but not sent yet are still in the true store, and it may not overfill (rule 5).
        c.capTokens = Math.min(maxCapTokens(c) - c.unsentUnits, c.capTokens + p.capRate() * capShare(c) * s);
    }

    /** Of the others' parts of a burst only a share is taken to be free: all of a set think alike. */
    private double maxSpareUnits(CustomerState c, double part) {
        return c.plan.burst() * (part + (1.0 / processCount - part) * OTHERS_FREE_SHARE);
    }

    private double minBucketSize(Plan p) {
        return Math.min(p.burst(), settings.coordination().maxUnitsPerRequest());
    }

    /** What the others of the set use a second, by the meter; before its first figure as much as is usual. */
    private double othersRate(CustomerState c) {
        if (c.meterSeconds <= 0) return ASSUMED_USE_SHARE * c.plan.rate() * (1 - 1.0 / c.spread);
        return Math.max(0, c.meterTotal - c.meterOwn) / c.meterSeconds;
    }

    /**
     * Whether the whole store has room beside what others may have used unseen: most customers use a part
     * of their quota, and what one gateway's bucket lacks then lies in the others'. Without a meter that is a
     * guess which all of a set make alike: it is left to the plans whose excess costs little.
     */
    private boolean hasSpareUnits(CustomerState c, double units) {
        double unseen = othersRate(c) * METER_LAG_MS / 1000;
        boolean guesses = settings.coordination().meterPeriodMs() > 0 || !hasCostlyExcess(c.plan);
        return guesses && !settings.limits().peerMessages() && c.spread > 1 && c.spareUnits - unseen >= units;
    }

    /** This gateway's part of a customer's demand: all parts of one keeper's word sum to one. */
    private double processShare(double now, CustomerState c) {
        return gatewayShare(now, c) / processCount;
    }

    /** The part of all processes of this gateway. */
    private double gatewayShare(double now, CustomerState c) {
        if (c.spread == 1) return 1;
        if (!settings.limits().peerMessages()) return now - c.meterAt < STALE_LEVEL_MS ? c.meterShare : 1.0 / c.spread;
        if (now - c.sharedLevelAt > STALE_LEVEL_MS && decidingOwner(now, c, 0) != settings.gatewayNumber())
            return 1.0 / c.spread;
        double prior = EVEN_SHARE_PRIOR * c.plan.rate();
        return (c.demand + prior / c.spread) / (c.demand + c.othersDemand + prior);
    }

    /** The gateway that decides on a customer, from its keeper {@code stage} on; -1 where none can be had. */
    private int decidingOwner(double now, CustomerState c, int stage) {
        for (int i = stage; i < c.owners.length; i++) {
            int k = c.owners[i];
            boolean last = i == c.owners.length - 1;
            if (k == settings.gatewayNumber() ? last || !isUninformed(now, c) : now >= peers[k].unresponsiveUntil)
                return k;
        }
        return c.owners[0] == settings.gatewayNumber() ? settings.gatewayNumber() : -1;
    }

    /** A keeper new to its life does not know what was used before, until told or until it cannot matter. */
    private boolean isUninformed(double now, CustomerState c) {
        return !c.informed && (now - startedAt) / 1000 * c.plan.rate() < c.plan.burst();
    }

    private AdmissionVerdict decideAdmission(double now, RequestState ask) {
        CustomerState c = ask.customer;
        double units = ask.details.units();
        c.demand += units / DEMAND_AVERAGING_MS * 1000;
        Plan p = c.plan;
        meanWorth += MEAN_WORTH_GAIN * (ask.classState.spec.worth() - meanWorth);
        callBudget.updateMinPrice(settings.coordination().counterCallPrice(), meanWorth);
        boolean limited = p.rate() > 0 && !p.excessPays();
        boolean full = !p.excessPays() && !isBelowOpenLimit(now, c);
        if (full || limited && c.quotaLevel < units) {
            ask.refusal = full ? Refusal.OPEN : Refusal.QUOTA;
            if (now - c.ownerNotifiedAt > OWNER_SYNC_INTERVAL_MS) notifyOwners(now, c);
            return AdmissionVerdict.REFUSE;
        }
        if (limited) ask.evidence = evidence(now, ask);
        if (limited && hasWideSet(c)) return decideWideSet(now, ask);
        boolean asks = settings.limits().peerMessages() && c.spread > 1;
        int keeper = decidingOwner(now, c, 0);
        boolean room = !limited
                || keeper == settings.gatewayNumber() && asks
                || c.ownTokens >= units && (!asks || now - c.sharedLevelAt < FRESH_LEVEL_MS)
                || hasSpareUnits(c, units)
                || (asks || usesCounter(c))
                        && now - c.sharedLevelAt < FRESH_LEVEL_MS
                        && c.quotaLevel - unseenUseReserve(now, c) >= units;
        boolean ceiling = p.capRate() <= 0 || c.capTokens >= units; // rule 5: own units need no peer
        if (room && ceiling) return AdmissionVerdict.ADMIT;
        ask.requestedUnits = units;
        if (usesCounter(c) && ceiling && drawsCounterCall(now, ask, roomChance(ask)))
            return AdmissionVerdict.ASK_COUNTER;
        return asks ? AdmissionVerdict.ASK_OWNER : AdmissionVerdict.REFUSE;
    }

    /** Whether so many gateways share a customer that an even part of the burst holds no request. */
    private boolean hasTooSmallShares(CustomerState c) {
        return !settings.limits().peerMessages()
                && c.plan.burst() / c.spread < settings.coordination().maxUnitsPerRequest();
    }

    /** There a part says nothing of the whole: the counter has to tell, as far as it can. */
    private boolean hasWideSet(CustomerState c) {
        return hasTooSmallShares(c)
                && c.plan.capRate() <= 0
                && (settings.coordination().hasCounter() || hasCostlyExcess(c.plan));
    }

    private boolean hasCostlyExcess(Plan p) {
        double mean = settings.plans().stream()
                .mapToDouble(Plan::weightedExcessLoss)
                .average()
                .orElse(0);
        return p.weightedExcessLoss() >= mean;
    }

    /**
     * A call is drawn by what it would save against the guess. What that lets in unasked is counted by those
     * drawn: each adds the units of the others that its draw stands for; the total is true in the mean.
     */
    private AdmissionVerdict decideWideSet(double now, RequestState ask) {
        CustomerState c = ask.customer;
        double units = ask.details.units();
        if (!settings.coordination().hasCounter())
            return c.ownTokens >= units || hasSpareUnits(c, units) ? AdmissionVerdict.ADMIT : AdmissionVerdict.REFUSE;
        boolean in = isAdmissionWorthwhile(now, ask);
        boolean foundEmpty = c.counterVerdict(now, evidenceLifetimeMs(c.plan)) == CounterVerdict.EMPTY;
        if (!in && foundEmpty) return AdmissionVerdict.REFUSE; // asked a moment ago
        boolean asks = drawsCounterCall(now, ask, in ? expectedExcessCost(now, ask) : roomChance(ask));
        if (!asks && in) adjustAdmissionMargin(ask, roomChance(ask));
        if (!asks) return in ? AdmissionVerdict.ADMIT : AdmissionVerdict.REFUSE;
        ask.requestedUnits = roomChance(ask) >= 0.5 ? units : 0; // otherwise it is added once it is let in
        ask.sampledUnits = in ? units * (1 / (ask.callProbability * callBudget.allowedShare()) - 1) : 0;
        return AdmissionVerdict.ASK_COUNTER;
    }

    /** Whether a call is made that saves so much of a request's worth. */
    private boolean drawsCounterCall(double now, RequestState ask, double saved) {
        ask.callProbability = Math.min(1, ask.worth() * saved / callBudget.price(now));
        return random.nextDouble() < ask.callProbability && callBudget.allowsCall(now);
    }

    private double roomChance(RequestState ask) {
        return admissionEstimates[ask.customer.planNumber].chance(ask.evidence);
    }

    /** What a guess to let in may cost in the mean, in times of the worth; more by the margin. */
    private double expectedExcessCost(double now, RequestState ask) {
        boolean controlled = now - counterAnsweredAt < STALE_LEVEL_MS;
        return (controlled ? admissionMargin : 1) * ask.customer.plan.excessLossRatio() * (1 - roomChance(ask));
    }

    /** Whether it pays in the mean to let in what the counter is not asked about. */
    private boolean isAdmissionWorthwhile(double now, RequestState ask) {
        return roomChance(ask) > expectedExcessCost(now, ask);
    }

    /** Guesses have to pay the more, the longer what is let in is expected to cost over its bound. */
    private void adjustAdmissionMargin(RequestState ask, double chance) {
        excessEstimate.record(ask.worth() * chance, ask.worth() * (1 - chance) * ask.customer.plan.excessCost());
        double step = excessEstimate.costShare() > MAX_EXCESS_COST_SHARE ? MARGIN_STEP : 1 / MARGIN_STEP;
        admissionMargin = Math.max(1, Math.min(MARGIN_MAX, admissionMargin * step));
    }

    private static double evidenceLifetimeMs(Plan p) {
        return EVIDENCE_BURSTS * 1000 * p.burst() / p.rate();
    }

    /** What is known of a request's customer without asking: what the counter and the meter told last. */
    private int evidence(double now, RequestState ask) {
        CustomerState c = ask.customer;
        double perPeriod = c.plan.rate() * settings.coordination().meterPeriodMs() / 1000;
        double metered =
                now - c.meterAt < evidenceLifetimeMs(c.plan) ? (c.lastMeterReading - 1) / 100.0 * perPeriod : 0;
        boolean hot = metered
                > Math.max(perPeriod, OWN_USE_REQUESTS * settings.coordination().maxUnitsPerRequest());
        return AdmissionEstimate.evidence(ask.details.retry(), hot, c.counterVerdict(now, evidenceLifetimeMs(c.plan)));
    }

    /** What the others may have used since a keeper told, as far as it matters against the excess cost. */
    private double unseenUseReserve(double now, CustomerState c) {
        double cost = c.plan.excessLossRatio();
        double rate = c.othersDemand + UNSEEN_USE_SHARE * c.plan.rate();
        return rate * (now - c.sharedLevelAt + REPORT_LAG_MS) / 1000 * 2 * cost / (1 + cost);
    }

    private boolean isBelowOpenLimit(double now, CustomerState c) {
        int limit = c.plan.openLimit();
        boolean fresh = c.spread == 1
                || settings.limits().peerMessages()
                        && (decidingOwner(now, c, 0) == settings.gatewayNumber()
                                || now - c.sharedLevelAt < FRESH_LEVEL_MS);
        return limit <= 0
                || (fresh
                        ? c.openRequests + c.othersOpenRequests < limit
                        : c.openRequests < Math.max(1, (int) (limit * processShare(now, c))));
    }

    /** When the store will have filled enough; every refusal tells a time to come back. */
    private double retryAfterMs(double now, CustomerState c, double units) {
        if (c.plan.rate() <= 0) return boundRetryAfterMs(0);
        double store = 1000 * (units - c.quotaLevel) / c.plan.rate();
        double bucket =
                1000 * (units - c.ownTokens) / (c.plan.rate() * Math.max(EVEN_SHARE_PRIOR, processShare(now, c)));
        return boundRetryAfterMs(
                settings.limits().peerMessages() || now - c.counterTotalAt < FRESH_LEVEL_MS
                        ? store
                        : Math.max(store, bucket));
    }

    private double boundRetryAfterMs(double ms) {
        double longest = settings.limits().maxRetryAfterMs();
        return longest > 0 ? Math.min(longest, Math.max(MIN_RETRY_AFTER_MS, ms)) : 0;
    }

    /** Takes units from the quota's and the ceiling's stores, or gives them back where negative. */
    private void charge(double now, CustomerState c, double units, double ceilingUnits) {
        c.ownTokens = Math.max(c.ownTokens - units, -c.plan.burst() / c.spread);
        c.quotaLevel = Math.max(-c.plan.burst(), Math.min(c.plan.burst(), c.quotaLevel - units));
        c.spareUnits -= units;
        c.usedUnits += units;
        if (usesCounter(c) && !hasWideSet(c)) addUnreported(c, units);
        c.usageHistory.add(now, units);
        c.unsentUnits += ceilingUnits;
        c.capTokens -= ceilingUnits;
    }

    /**
     * The part follows the own use in the period that the meter tells of. Use of now over a total of long ago
     * would grow by itself: each gateway of the set would see its own share rise until the next figure.
     */
    private void applyMeterReading(double now, CustomerState c, int usedPct) {
        if (usedPct <= 0 || settings.limits().peerMessages() || c.plan.rate() <= 0) return;
        c.meterAt = now;
        double period = settings.coordination().meterPeriodMs();
        if (usedPct == c.lastMeterReading && now - c.meterShareAt < period) return; // told before: it says nothing new
        c.lastMeterReading = usedPct;
        double fade = Math.exp(-Math.max(0, now - c.meterShareAt) / DEMAND_AVERAGING_MS);
        c.meterShareAt = now;
        c.meterTotal = c.meterTotal * fade + (usedPct - 1) / 100.0 * c.plan.rate() * period / 1000;
        c.meterSeconds = c.meterSeconds * fade + period / 1000;
        c.meterOwn = c.meterOwn * fade + c.usageHistory.usedBetween(now - METER_LAG_MS - period, now - METER_LAG_MS);
        double prior = EVEN_SHARE_PRIOR * c.plan.rate();
        double part = Math.min(1, (c.meterOwn + prior / c.spread) / (c.meterTotal + prior));
        boolean rises = usedPct - 1 < 100 && c.demand > part * c.plan.rate();
        c.meterShare = rises ? Math.min(1, Math.max(part, c.meterShare) + SHARE_RAISE_STEP) : part;
    }

    // ---- processes of one gateway

    @Override
    public void processCountChanged(double now, int count) {
        double kept = Math.min(1, (double) processCount / count); // what is stored goes to new ones evenly
        customers.values().forEach(c -> refill(now, c));
        processCount = count;
        for (CustomerState c : customers.values()) {
            c.ownTokens *= kept;
            c.spareUnits *= kept;
        }
    }

    @Override
    public List<CustomerSnapshot> snapshotCustomers(double now) {
        customers.values().forEach(c -> refill(now, c));
        return customers.values().stream().map(CustomerState::snapshot).toList();
    }

    @Override
    public void restoreCustomers(double now, List<CustomerSnapshot> memory) {
        for (CustomerSnapshot r : memory) {
            boolean known = customers.containsKey(r.customer());
            if (known || r.plan() < 0 || r.plan() >= settings.plans().size()) continue;
            CustomerState c = customerState(now, r.customer(), r.plan(), r.first(), r.spread());
            c.restore(r, processCount);
        }
    }

    // ---- questions to the counter

    /** Where gateways can't talk, the counter holds a customer's use by all of its set. */
    private boolean usesCounter(CustomerState c) {
        return settings.coordination().hasCounter()
                && !settings.limits().peerMessages()
                && c.spread > 1
                && c.plan.rate() > 0
                && !c.plan.excessPays();
    }

    /** Holds a request that the own part has no room for until the whole store is known. */
    private void askCounter(double now, RequestState ask) {
        CustomerState c = ask.customer;
        if (now + COUNTER_CALL_ALLOWANCE_MS >= ask.details.deadlineMs() - DEADLINE_MARGIN_MS) {
            admitOrRefuse(now, ask, false);
            return;
        }
        c.pending.addLast(ask);
        if (!c.callInFlight) callCounter(now, c);
    }

    /** Adds what was used and what is wanted: of two gateways the second then sees the first one's wish. */
    private void callCounter(double now, CustomerState c) {
        if (hasWideSet(c)) c.counterWindow = c.windowAt(now, COUNTER_LIFETIME_MS);
        c.beginCall(now);
        unreportedCustomers.remove(c);
        callBudget.recordCall(now);
        actions.addToCounter(c.counterName(hasWideSet(c)), c.callUnits, COUNTER_LIFETIME_MS);
    }

    @Override
    public void counterCallEnded(double now, String counter, Outcome outcome, double total) {
        CustomerState c = customers.get(CustomerState.idOfCounterName(counter));
        if (c == null || !c.callInFlight) return;
        refill(now, c);
        c.callInFlight = false;
        boolean told = outcome == Outcome.OK;
        callBudget.recordAnswer(now, now - c.counterCalledAt, told);
        if (told) counterAnsweredAt = now;
        if (told && hasWideSet(c)) applyWindowTotal(now, c, total);
        else if (told) applyCounterTotal(now, c, total);
        if (outcome.neverRan()) c.unreportedUnits += c.callUnits - c.expiredUnitsInCall;
        if (!told) c.expiredUnitsInCall = 0; // by the next answer it shows whether it is still due
        List<RequestState> asked = c.callRequests;
        c.callRequests = List.of();
        for (RequestState ask : asked) decideAfterCounterCall(now, ask, told);
        while (!told && !c.pending.isEmpty()) {
            RequestState next = c.pending.poll();
            admitOrRefuse(now, next, hasWideSet(c) && isAdmissionWorthwhile(now, next));
        }
        addUnreported(c, 0);
        if (!c.pending.isEmpty() || hasWideSet(c) && told && isCounterCallWorthwhile(now, c)) callCounter(now, c);
        c.expiredUnits = 0;
        flushOutbox(now);
    }

    /** What the next call is to add to a customer's count, or to take off it. */
    private void addUnreported(CustomerState c, double units) {
        c.unreportedUnits += units;
        if (c.unreportedUnits == 0) unreportedCustomers.remove(c);
        else unreportedCustomers.add(c);
    }

    /** In a wide set what is let in is counted here; elsewhere it is charged anew. */
    private void decideAfterCounterCall(double now, RequestState ask, boolean told) {
        CustomerState c = ask.customer;
        double units = ask.details.units();
        boolean room =
                told ? c.quotaLevel >= units : hasWideSet(c) ? isAdmissionWorthwhile(now, ask) : c.ownTokens >= units;
        if (told) recordCounterVerdict(now, ask, room);
        boolean in = room && !ask.closed && isBelowOpenLimit(now, c);
        ask.countedInTotal = in && hasWideSet(c);
        c.unreportedUnits += (ask.countedInTotal ? units : 0) - ask.requestedUnits;
        if (told && !room) c.unreportedUnits -= ask.sampledUnits; // excess takes nothing
        if (ask.countedInTotal) adjustAdmissionMargin(ask, told ? 1 : roomChance(ask));
        if (!ask.closed) admitOrRefuse(now, ask, in);
    }

    private void recordCounterVerdict(double now, RequestState ask, boolean room) {
        CustomerState c = ask.customer;
        admissionEstimates[c.planNumber].record(ask.evidence, room);
        ask.refusal = room ? Refusal.OPEN : Refusal.QUOTA; // if it is not let in
        c.counterVerdict = CounterVerdict.of(room, c.fullness());
    }

    /** What is to be put right in a count has a worth too, and waits where calls save more elsewhere. */
    private boolean isCounterCallWorthwhile(double now, CustomerState c) {
        double each = hasWideSet(c) ? CORRECTION_WORTH_SHARE : c.spread * (1 - c.fullness());
        double units = Math.min(c.plan.burst(), each * Math.abs(c.unreportedUnits) + c.expiredUnits);
        return units > 0
                && callBudget.hasSavedCall(now)
                && units * c.plan.valueFactor() * meanWorth >= callBudget.price(now);
    }

    /** What the others used since the last total is gone; a smaller total is of a name begun anew. */
    private void applyCounterTotal(double now, CustomerState c, double total) {
        boolean anew = c.counterTotalAt == DecisionState.NEVER || total < c.counterTotal / 2;
        double others = total - c.callUnits - (anew ? 0 : c.counterTotal);
        c.applyCounterTotal(now, total, c.quotaLevel - others);
    }

    /**
     * A store whole when the window began holds what has filled since less the total, and at most the
     * burst: what is left unused lapses. One call adds that to the count, once it is a burst or more; of two
     * that do so at once the second sees by its answer that it was not needed, and takes it back.
     */
    private void applyWindowTotal(double now, CustomerState c, double total) {
        double seconds = c.elapsedInWindowMs(now, COUNTER_LIFETIME_MS) / 1000;
        double left = c.plan.burst() + c.plan.rate() * seconds - (total - c.callRequestUnits());
        if (c.expiredUnitsInCall > 0 && left < c.plan.burst() - c.expiredUnitsInCall / 2)
            c.unreportedUnits -= c.expiredUnitsInCall;
        c.expiredUnitsInCall = 0;
        double lapsed = left - c.plan.burst();
        c.expiredUnits = lapsed > MIN_LAPSED_BURSTS * c.plan.burst() ? lapsed : 0;
        c.applyCounterTotal(now, total, left);
    }

    /** What was let in by the own part is to be known to the others too, by and by. */
    private void reportUsage(double now) {
        if (unreportedCustomers.isEmpty()) return;
        for (CustomerState c : new ArrayList<>(unreportedCustomers)) {
            boolean ended = hasWideSet(c) && c.counterWindow != c.windowAt(now, COUNTER_LIFETIME_MS);
            if (ended) c.unreportedUnits = 0; // its name counts no more
            if (c.unreportedUnits == 0) unreportedCustomers.remove(c);
            else if (!c.callInFlight
                    && now - c.counterCalledAt >= COUNTER_REPORT_INTERVAL_MS
                    && isCounterCallWorthwhile(now, c)) callCounter(now, c);
        }
    }

    // ---- questions to keepers

    /** Holds a request for the word of the next keeper that may know; without one the even part decides. */
    private void askOwner(double now, RequestState ask, int stage) {
        CustomerState c = ask.customer;
        int keeper = stage < c.owners.length ? decidingOwner(now, c, stage) : -1;
        if (keeper < 0
                || keeper == settings.gatewayNumber()
                || now + OWNER_ANSWER_TIMEOUT_MS >= ask.details.deadlineMs() - DEADLINE_MARGIN_MS) {
            c.pending.remove(ask);
            boolean room = c.plan.rate() <= 0 || (keeper < 0 ? c.ownTokens : c.quotaLevel) >= ask.details.units();
            admitOrRefuse(now, ask, room && (c.plan.capRate() <= 0 || c.capTokens >= ask.details.units()));
            notifyOwners(now, c);
            return;
        }
        ask.ownerIndex = keeper == c.owners[0] ? 0 : c.owners.length - 1;
        ask.askedOwner = keeper;
        ask.querySerial = peers[keeper].sentSerial + 1; // of the next message: the last one did not ask for it
        ask.answerDueAt = now + OWNER_ANSWER_TIMEOUT_MS;
        if (!c.pending.contains(ask)) c.pending.addLast(ask);
        ownerQueries.add(ask);
        c.ownerNotifiedAt = now;
        enqueuePeer(peers[keeper], c);
    }

    private void admitOrRefuse(double now, RequestState ask, boolean in) {
        if (in) admit(now, ask);
        if (in) return;
        closeRequest(now, ask);
        actions.refuse(ask.details.id(), retryAfterMs(now, ask.customer, ask.details.units()), ask.refusal);
    }

    /** Silence of a peer shows only where an answer was due: then it is passed over for a while. */
    private void expireOwnerQueries(double now) {
        ownerQueries.removeIf(a -> a.closed || a.admitted);
        for (RequestState ask :
                ownerQueries.stream().filter(a -> now >= a.answerDueAt).toList()) {
            ownerQueries.remove(ask);
            peers[ask.askedOwner].unresponsiveUntil = now + UNRESPONSIVE_MS;
            refill(now, ask.customer);
            askOwner(now, ask, ask.ownerIndex + 1);
        }
    }

    // ---- tells between gateways

    /** The keeper in charge is to know at once; where it is this gateway, the other keepers now and then. */
    private void notifyOwners(double now, CustomerState c) {
        if (!settings.limits().peerMessages() || c.spread == 1) return;
        int keeper = decidingOwner(now, c, 0);
        if (keeper != settings.gatewayNumber()) {
            c.ownerNotifiedAt = now;
            if (keeper >= 0) enqueuePeer(peers[keeper], c);
        } else if (now - c.ownerNotifiedAt > OWNER_SYNC_INTERVAL_MS) {
            c.ownerNotifiedAt = now;
            IntStream.of(c.owners).filter(k -> k != settings.gatewayNumber()).forEach(k -> enqueuePeer(peers[k], c));
        }
    }

    private void enqueuePeer(PeerState peer, CustomerState told) {
        if (told != null) peer.dueReports.add(told);
        if (!peer.queued) outbox.addLast(peer);
        peer.queued = true;
    }

    /** Questions take half of the intake, since each brings an answer; answers only keep the shortest gap. */
    private void flushOutbox(double now) {
        double rate = Math.max(1, settings.coordination().peerMessagesPerSecond()) * PEER_MESSAGE_RATE_SHARE / 1000;
        messageTokens =
                Math.min(Math.max(1, rate * PEER_MESSAGE_BURST_MS), messageTokens + (now - messageTokensAt) * rate / 2);
        messageTokensAt = now;
        double gap = Math.min(MAX_PEER_MESSAGE_GAP_MS, (peers.length - 1) / rate);
        for (PeerState peer : new ArrayList<>(outbox)) {
            if (now - peer.sentAt < gap || peer.dueAnswers.isEmpty() && messageTokens < 1) continue;
            if (peer.dueAnswers.isEmpty()) messageTokens -= 1;
            sendMessage(now, peer);
            if (!peer.dueReports.isEmpty() || !peer.dueAnswers.isEmpty()) continue;
            outbox.remove(peer);
            peer.queued = false;
        }
    }

    private void sendMessage(double now, PeerState peer) {
        List<PeerMessage.Entry> entries = new ArrayList<>();
        int room = (MAX_PEER_MESSAGE_BYTES - PeerMessage.HEADER_BYTES) / PeerMessage.MAX_ENTRY_BYTES;
        peer.sentSerial++;
        for (LinkedHashSet<CustomerState> due : List.of(peer.dueAnswers, peer.dueReports)) {
            for (Iterator<CustomerState> it = due.iterator(); it.hasNext() && entries.size() < room; it.remove()) {
                CustomerState c = it.next();
                refill(now, c);
                entries.add(due == peer.dueAnswers ? answerEntry(now, c, peer) : reportEntry(now, c, peer));
            }
        }
        peer.sentAt = now;
        actions.sendPeerMessage(
                peer.number,
                new PeerMessage(epoch, peer.epoch, peer.sentSerial, peer.receivedSerial, entries).encode());
    }

    private PeerMessage.Entry reportEntry(double now, CustomerState c, PeerState keeper) {
        for (RequestState a : c.pending) if (a.askedOwner == keeper.number) a.querySerial = keeper.sentSerial;
        double want = c.pendingUnits();
        boolean asked = decidingOwner(now, c, 0) == keeper.number
                || now < keeper.unresponsiveUntil
                || c.pending.stream().anyMatch(a -> a.askedOwner == keeper.number);
        boolean view = decidingOwner(now, c, 0) == settings.gatewayNumber() || now - c.sharedLevelAt < FRESH_LEVEL_MS;
        return new PeerMessage.Entry(
                false,
                asked,
                c.plan.capRate() > 0 && c.capTokens < want,
                false,
                view,
                c.id,
                c.planNumber,
                c.first,
                c.spread,
                c.usedUnits,
                want,
                c.demand,
                c.fullness(),
                c.openRequests,
                0);
    }

    private PeerMessage.Entry answerEntry(double now, CustomerState c, PeerState to) {
        MemberState m = c.member(to);
        double theirs = m.demand * Math.exp(-(now - m.demandAt) / DEMAND_AVERAGING_MS);
        double others = Math.max(0, c.demand + c.othersDemand - theirs);
        return new PeerMessage.Entry(
                true,
                false,
                c.plan.capRate() > 0,
                isUninformed(now, c),
                false,
                c.id,
                c.planNumber,
                c.first,
                c.spread,
                m.bookedUnits,
                m.grantedUnits,
                others,
                c.fullness(),
                c.openRequests + c.othersOpenRequests - m.openRequests,
                m.capUnitsGiven);
    }

    @Override
    public void peerMessageReceived(double now, int from, byte[] data) {
        PeerMessage tell =
                from < 0 || from >= peers.length || from == settings.gatewayNumber() ? null : PeerMessage.decode(data);
        if (tell == null) return; // unknown sender, or damaged
        PeerState peer = peers[from];
        boolean sameLife = peer.heardFrom && tell.epoch() == peer.epoch;
        // Overtaken on the way, told twice, or from before the sender's restart.
        // Lives are compared by difference: their field runs over every 50 days of Unix time.
        boolean late =
                sameLife ? !PeerMessage.isAfter(tell.serial(), peer.receivedSerial) : tell.epoch() - peer.epoch < 0;
        if (peer.heardFrom && late) return;
        peer.heardFrom = true;
        peer.epoch = tell.epoch();
        peer.receivedSerial = tell.serial();
        peer.unresponsiveUntil = DecisionState.NEVER;
        boolean toThisLife = tell.receiverEpoch() == epoch;
        for (PeerMessage.Entry e : tell.entries()) {
            if (e.plan() >= settings.plans().size()) continue;
            if (e.answer()) handleAnswer(now, peer, e, tell.receivedSerial(), toThisLife);
            else handleReport(now, peer, e);
        }
        flushOutbox(now);
    }

    /** As a keeper: books what was used, grants of what is wanted as far as the store has it. */
    private void handleReport(double now, PeerState peer, PeerMessage.Entry e) {
        int place = Math.floorMod(peer.number - e.first(), peers.length);
        if (e.spread() > peers.length || place >= e.spread()) return; // a set that cannot be
        CustomerState c = customerState(now, e.customer(), e.plan(), e.first(), e.spread());
        if (IntStream.of(c.owners).noneMatch(k -> k == settings.gatewayNumber())) return;
        boolean unsure = isUninformed(now, c);
        boolean adopts = e.hasLevel() && (unsure || decidingOwner(now, c, 0) == peer.number);
        if (adopts) { // the word of the keeper in charge, or of anyone fresh where this one knows nothing
            c.quotaLevel = Math.min(unsure ? c.quotaLevel : c.plan.burst(), e.fullness() * c.plan.burst());
            c.informed = true;
        }
        MemberState m = c.member(peer);
        c.othersDemand = Math.max(
                0, c.othersDemand + e.demand() - m.demand * Math.exp(-(now - m.demandAt) / DEMAND_AVERAGING_MS));
        m.demand = e.demand();
        m.demandAt = now;
        c.othersOpenRequests += e.openRequests() - m.openRequests;
        m.openRequests = e.openRequests();
        double spent = m.hasReported && !adopts ? PeerMessage.unitsAhead(e.usedUnits(), m.bookedUnits) : 0;
        m.hasReported = true;
        c.quotaLevel = Math.max(-c.plan.burst(), Math.min(c.plan.burst(), c.quotaLevel - spent));
        boolean gives = e.cap() && c.plan.capRate() > 0;
        boolean grants = e.wantedUnits() > 0
                && (c.plan.rate() <= 0 || c.quotaLevel >= e.wantedUnits())
                && (!gives || c.capTokens >= e.wantedUnits());
        m.grantedUnits = grants ? e.wantedUnits() : 0;
        m.bookedUnits = e.usedUnits() + m.grantedUnits;
        c.quotaLevel -= m.grantedUnits;
        if (decidingOwner(now, c, 0) == settings.gatewayNumber() && spent + m.grantedUnits != 0) notifyOwners(now, c);
        if (grants && gives && e.replyWanted()) { // deducted here first, so a lost message loses units
            c.capTokens -= e.wantedUnits();
            m.capUnitsGiven += e.wantedUnits();
        }
        if (e.replyWanted()) {
            peer.dueAnswers.add(c);
            enqueuePeer(peer, null);
        }
    }

    /** A keeper's word: the store and the others' demand, and what of the wanted units is granted. */
    private void handleAnswer(double now, PeerState peer, PeerMessage.Entry e, int mySerial, boolean toThisLife) {
        CustomerState c = customers.get(e.customer());
        if (c == null || c.planNumber != e.plan() || !toThisLife) return;
        refill(now, c);
        MemberState m = c.member(peer);
        if (e.cap() && e.capUnitsGiven() > m.capUnitsTaken) {
            c.capTokens = Math.min(maxCapTokens(c) - c.unsentUnits, c.capTokens + e.capUnitsGiven() - m.capUnitsTaken);
            m.capUnitsTaken = e.capUnitsGiven();
        }
        List<RequestState> judged = c.pending.stream()
                .filter(a -> a.askedOwner == peer.number && !PeerMessage.isAfter(a.querySerial, mySerial))
                .toList();
        if (!e.uninformed()) {
            c.othersDemand = e.demand();
            c.othersOpenRequests = e.openRequests();
            c.sharedLevelAt = now;
            c.informed = true;
            c.quotaLevel = e.fullness() * c.plan.burst() - PeerMessage.unitsAhead(c.usedUnits, e.usedUnits());
        }
        double granted = e.wantedUnits();
        for (RequestState ask : judged) {
            double units = ask.details.units();
            if (e.uninformed() && ask.ownerIndex + 1 < c.owners.length) {
                askOwner(now, ask, ask.ownerIndex + 1);
                continue;
            }
            c.pending.remove(ask);
            boolean in = granted >= units && (c.plan.capRate() <= 0 || c.capTokens >= units);
            granted -= in ? units : 0;
            admitOrRefuse(now, ask, in);
            int first = c.owners[0]; // it did not book what another let in
            if (in && peer.number != first && first != settings.gatewayNumber()) enqueuePeer(peers[first], c);
        }
    }

    // ---- release

    /** Places for attempts out: the even ones of what hosts get fleet-wide, and some for chance bursts. */
    private double concurrencyLimit() {
        double even = concurrencyPerHost * Math.max(1, warmCapacity) / (peers.length * processCount);
        return Math.max(1, even + BURST_HEADROOM * Math.sqrt(even) * (1 - 1.0 / peers.length));
    }

    /** Work-conserving fair turns: the backlogged class with the earliest turn goes next. */
    private void releaseQueued(double now) {
        double bound = concurrencyLimit();
        LinkedHashSet<ClassState> stuck = new LinkedHashSet<>();
        while (attemptsInFlight < bound) {
            ClassState next = null;
            for (ClassState c : classes.values()) {
                boolean earlier = next == null || c.virtualTime < next.virtualTime;
                if (earlier && !c.queue.isEmpty() && !stuck.contains(c)) next = c;
            }
            if (next == null) return;
            if (!releaseOne(now, next)) stuck.add(next);
        }
        requestsWaited = true;
    }

    private boolean releaseOne(double now, ClassState c) {
        for (RequestState ask : c.queue.stream().limit(MAX_SCANNED).toList()) {
            TrackedHost s = pickHost(now, ask);
            if (s == null) continue;
            c.queue.remove(ask);
            virtualTime = Math.max(virtualTime, c.virtualTime);
            c.virtualTime += ask.expectedMs() / c.weight;
            boolean goesOn = !c.queue.isEmpty();
            if (goesOn && c.releasedAt > DecisionState.NEVER) {
                c.meanReleaseGap += RELEASE_GAP_GAIN * (now - c.releasedAt - c.meanReleaseGap);
            }
            c.releasedAt = goesOn ? now : DecisionState.NEVER;
            sendAttempt(now, ask, s);
            return true;
        }
        return false;
    }

    private void sendAttempt(double now, RequestState ask, TrackedHost s) {
        Attempt a = new Attempt(ask, s, now, ask.expectedMs());
        if (ask.attempts.isEmpty()) {
            retryTokens = Math.min(MAX_RETRY_TOKENS, retryTokens + RETRY_BUDGET_SHARE);
            ask.classState.recordDelay(now - ask.arrivedAt, 0);
            if (ask.customer != null) ask.customer.unsentUnits -= ask.details.units();
        }
        a.begin();
        busyHosts.add(s);
        attemptsInFlight++;
        actions.send(ask.details.id(), s.info.id(), 0);
    }

    /** When a held request must have left or be answered here: rule 1, and no work for late answers. */
    private double holdDeadline(RequestState ask) {
        double end = ask.details.deadlineMs() - DEADLINE_MARGIN_MS;
        if (ask.firstPossibleRun() != null) return end;
        double aim = ask.classState.spec.goalMs();
        double useful = ask.classState.spec.lateValue() >= MIN_LATE_VALUE ? end : Math.min(end, ask.arrivedAt + aim);
        double hold = useful - ask.arrivedAt - REQUIRED_EXPECTED_TIMES * ask.expectedMs();
        return Math.min(end, ask.arrivedAt + Math.max(MIN_HOLD_GOAL_SHARE * aim, hold));
    }

    private void expireQueued(double now) {
        for (ClassState c : classes.values()) {
            for (RequestState ask :
                    c.queue.stream().filter(a -> now >= holdDeadline(a)).toList()) {
                c.recordDelay(now - ask.arrivedAt, 0);
                finishUnserved(now, ask); // takes it from the queue
            }
        }
    }

    /** The final answer where none was served: a refusal only where a further try is harmless (rule 2). */
    private void finishUnserved(double now, RequestState ask) {
        RequestClass spec = ask.classState.spec;
        boolean harmless = ask.firstPossibleRun() == null
                || spec.effect() == Effect.REPEATABLE
                || spec.effect() == Effect.KEYED && spec.keyScope() == Gateway.KeyScope.ALL;
        closeRequest(now, ask);
        // A place may be had once what is held now has left.
        double wait = boundRetryAfterMs(ask.classState.queue.size() * ask.classState.meanReleaseGap);
        if (harmless) actions.refuse(ask.details.id(), wait, Refusal.PLACE);
        else actions.fail(ask.details.id());
    }

    private void closeRequest(double now, RequestState ask) {
        if (!ask.hasAttemptInFlight()) requests.remove(ask.details.id());
        if (ask.closed) return;
        ask.closed = true;
        ask.classState.queue.remove(ask);
        CustomerState c = ask.customer;
        if (c == null) return;
        c.pending.remove(ask);
        if (!ask.admitted) return;
        c.openRequests--;
        if (ask.attempts.stream().allMatch(a -> a.neverSent)) { // let in but never sent: the units go back
            c.unsentUnits += ask.attempts.isEmpty() ? 0 : ask.details.units(); // taken off as it was to leave
            charge(now, c, -ask.details.units(), -ask.details.units());
            if (ask.countedInTotal) addUnreported(c, -ask.details.units());
        }
    }

    private void adjustConcurrency(double now) {
        if (now - concurrencyAdjustedAt < CONCURRENCY_INTERVAL_MS) return;
        // Few answers say nothing of the hosts: one in five takes twice its time on idle ones.
        if (answerCount > 0
                && answerCount < CONCURRENCY_MIN_ANSWERS
                && now - concurrencyAdjustedAt < CONCURRENCY_MIN_ANSWERS * CONCURRENCY_INTERVAL_MS) return;
        concurrencyAdjustedAt = now;
        if (answerCount > 0) {
            boolean stretched = latencySum > QUEUEING_LATENCY_RATIO * baselineSum
                            && goalShareSum > HARMLESS_GOAL_SHARE * answerCount
                    || goalShareSum > QUEUEING_GOAL_SHARE * answerCount;
            if (stretched)
                concurrencyPerHost = Math.max(MIN_CONCURRENCY_PER_HOST, concurrencyPerHost * CONCURRENCY_DECREASE);
            else if (requestsWaited)
                concurrencyPerHost = Math.min(MAX_CONCURRENCY_PER_HOST, concurrencyPerHost * CONCURRENCY_INCREASE);
        }
        latencySum = baselineSum = goalShareSum = 0;
        answerCount = 0;
        classes.values().forEach(c -> c.updateBaseline(BASELINE_MIN_SAMPLES, BASELINE_DRIFT));
    }

    // ---- weights by donation

    static double delayGoalMs(ClassState c) {
        return c.spec.goalMs() * DELAY_GOAL_SHARE;
    }

    private void adjustWeights(double now) {
        if (now - delayIntervalEndedAt < DELAY_INTERVAL_MS) return;
        delayIntervalEndedAt = now;
        classes.values().forEach(c -> c.endDelayInterval(ALPHA));
        if (now - donatedAt < donationIntervalMs) return;
        donatedAt = now;
        if (requestsWaited) classes.values().forEach(c -> c.measureSlope(delayGoalMs(c) * EPSILON));
        boolean gave = requestsWaited && donateWeight(new ArrayList<>(classes.values()));
        donationIntervalMs =
                gave ? Math.min(MAX_DONATION_INTERVAL_MS, donationIntervalMs * 2) : MIN_DONATION_INTERVAL_MS;
        requestsWaited = false;
    }

    /** The worst underweight class asks, overweight ones give by surplus, clamped; the sum stays. */
    static boolean donateWeight(List<ClassState> all) {
        ClassState worst = null;
        double surplus = 0;
        for (ClassState c : all) {
            double over = c.meanDelay / delayGoalMs(c);
            if (over >= 1 + EPSILON && (worst == null || over > worst.meanDelay / delayGoalMs(worst))) worst = c;
            surplus += surplus(c);
        }
        if (worst == null || surplus <= 0) return false; // all content, or all underweight: weights freeze
        double ask =
                worst.delaySlope > 0 ? (worst.meanDelay - delayGoalMs(worst)) / worst.delaySlope : INITIAL_WEIGHT_STEP;
        double moved = 0;
        for (ClassState c : all) {
            if (surplus(c) <= 0) continue;
            double clamp = c.delaySlope > 0
                    ? ((1 - EPSILON) * delayGoalMs(c) - c.meanDelay) / c.delaySlope
                    : INITIAL_WEIGHT_STEP;
            double gift = BETA * Math.min(ask * surplus(c) / surplus, clamp);
            gift = Math.max(0, Math.min(gift, c.weight - MIN_WEIGHT));
            c.weight -= gift;
            moved += gift;
        }
        worst.weight += moved;
        return moved > 0;
    }

    private static double surplus(ClassState c) {
        if (c.meanDelay > (1 - EPSILON) * delayGoalMs(c)) return 0;
        return (delayGoalMs(c) - c.meanDelay) / (c.delaySlope > 0 ? c.delaySlope : delayGoalMs(c));
    }

    // ---- hosts

    /** Failures tell of a class on a host, which may serve the others as before; slow answers of the host. */
    private static double slowness(double now, TrackedHost s, ClassState c) {
        return s.health.slowness(now) * s.classHealth(c).slowness(now);
    }

    @Override
    public int avoidedHostCount(double now) {
        return (int) hosts.values().stream()
                .filter(s -> s.listed && isAvoided(now, s))
                .count();
    }

    /** A host that drains, or that is taken to be in trouble for every class. */
    private boolean isAvoided(double now, TrackedHost s) {
        return !s.isEligible() || classes.values().stream().allMatch(c -> slowness(now, s, c) >= UNHEALTHY_SLOWNESS);
    }

    /** Counts the hosts in use, so that each event needs only look-ups. */
    private void refreshHosts(double now) {
        hostsRefreshedAt = now;
        eligibleHosts.clear();
        warmCapacity = 0;
        for (TrackedHost s : hosts.values()) {
            if (!s.isEligible()) continue;
            eligibleHosts.add(s);
            warmCapacity += s.health.slowness(now) < FULL_HOST_SLOWNESS ? s.capacityShare(now, settings.rules()) : 0;
        }
        // Each gateway keeps to some hosts, in turn with the others: more answers and warm connections at
        // each, and tables that do not fill where there are hundreds of gateways.
        eligibleHosts.sort(Comparator.comparing(s -> s.info.id().hashCode()));
        subset.clear();
        int kept = Math.max(MIN_SUBSET_SIZE, MIN_GATEWAYS_PER_HOST * eligibleHosts.size() / peers.length);
        for (int i = 0; i < Math.min(kept, eligibleHosts.size()); i++) {
            subset.add(eligibleHosts.get((int) (((long) settings.gatewayNumber() * kept + i) % eligibleHosts.size())));
        }
    }

    /**
     * The best of a few hosts drawn by what each can do; null where none may be used. The best by the few own
     * counts of one of many gateways would be the best of all at once, so hosts are drawn: as many as own
     * attempts out can tell apart, and where that is all of them, all.
     */
    private TrackedHost pickHost(double now, RequestState ask) {
        int draws = Math.min(subset.size(), MIN_CANDIDATES + 2 * attemptsInFlight);
        TrackedHost best =
                bestHost(now, ask, canCompareSubset() ? subset : drawCandidates(now, ask.classState, draws), draws);
        return best != null ? best : bestHost(now, ask, eligibleHosts, eligibleHosts.size());
    }

    private boolean canCompareSubset() {
        return MIN_CANDIDATES + 2 * attemptsInFlight >= subset.size();
    }

    private Collection<TrackedHost> drawCandidates(double now, ClassState c, int draws) {
        LinkedHashSet<TrackedHost> drawn = new LinkedHashSet<>();
        for (int i = 0; i < draws * MAX_SCANNED && drawn.size() < draws; i++) {
            TrackedHost s = subset.get(random.nextInt(subset.size()));
            if (random.nextDouble() * slowness(now, s, c) <= 1) drawn.add(s);
        }
        return drawn;
    }

    private TrackedHost bestHost(double now, RequestState ask, Collection<TrackedHost> among, int draws) {
        TrackedHost best = null;
        double bestScore = Double.MAX_VALUE;
        for (TrackedHost s : among) {
            if (!s.isEligible() || !mayRunOn(now, ask, ask.firstPossibleRun(), s)) continue;
            // A cold host has nothing out and so wins: it takes part as seldom as it may win (rule 4).
            double ramp = s.capacityShare(now, settings.rules());
            double share = COLD_ALLOWANCE_SHARE * settings.rules().fallMultiple() * ramp;
            if (ramp < 1 && random.nextDouble() * draws > share) continue;
            double score = score(now, ask, s) * (1 + 1e-3 * random.nextDouble());
            if (score < bestScore) best = s;
            bestScore = Math.min(bestScore, score);
        }
        return best;
    }

    private double score(double now, RequestState ask, TrackedHost s) {
        double doubt = slowness(now, s, ask.classState);
        if (!canCompareSubset() && doubt < UNHEALTHY_SLOWNESS) doubt = 1; // drawn by it already
        for (Attempt a : ask.attempts) {
            if (a.host == s) doubt *= FULL_HOST_SLOWNESS;
        }
        // A zone is preferred only where own counts show its load, or all would gather in a crowded one.
        double zone =
                !canCompareSubset() || s.info.zone().equals(settings.zone()) ? 0 : CROSS_ZONE_COST * ask.expectedMs();
        return (ask.expectedMs() + s.expectedMsInFlight) * doubt / s.capacityShare(now, settings.rules()) + zone;
    }

    /** Rule 2: once an attempt may have run, only where a repeat does no harm. */
    private boolean mayRunOn(double now, RequestState ask, Attempt ran, TrackedHost s) {
        return isRepeatable(now, ask, ran)
                && (ran == null
                        || ask.classState.spec.effect() != Effect.KEYED
                        || ask.classState.spec.keyScope().dropsSameKeys(s.info, ran.host.info));
    }

    private boolean isRepeatable(double now, RequestState ask, Attempt ran) {
        RequestClass spec = ask.classState.spec;
        return ran == null
                || spec.effect() == Effect.REPEATABLE
                || spec.effect() == Effect.KEYED && now < ran.sentAt + usableKeyWindowMs(spec);
    }

    /** A further attempt may first wait for a connection as long as one may take to come up. */
    private double usableKeyWindowMs(RequestClass spec) {
        return Math.min(
                KEY_WINDOW_SHARE * spec.keyWindowMs(),
                spec.keyWindowMs() - settings.limits().connectTimeoutMs());
    }

    private boolean acquireRetry(double now, RequestState ask) {
        boolean may = isRepeatable(now, ask, ask.firstPossibleRun())
                && !ask.streaming
                && now < holdDeadline(ask)
                && retryTokens >= 1
                && ask.attempts.size() < settings.limits().maxAttempts();
        retryTokens -= may ? 1 : 0;
        return may;
    }

    private void recordOutcome(double now, RequestState ask, Attempt a, AttemptResult r) {
        TrackedHost s = a.host;
        ClassState c = ask.classState;
        switch (r.outcome()) {
            case OK -> {
                s.health.observe(now, r.latencyMs() / Math.max(1, a.expectedMs), LATENCY_GAIN);
                s.classHealth(c).observe(now, 1, FAILURE_GAIN);
                double perUnit = r.latencyMs() / Math.max(0.1, ask.details.units());
                c.samples++;
                c.latencyPerUnit += Math.max(0.03, 1.0 / c.samples) * (perUnit - c.latencyPerUnit);
                c.recordDelay(0, r.latencyMs());
                if (ask.customer != null && settings.coordination().postPaid() && r.actualUnits() > 0) {
                    charge(now, ask.customer, r.actualUnits() - ask.details.units(), 0);
                    if (ask.countedInTotal) addUnreported(ask.customer, r.actualUnits() - ask.details.units());
                }
            }
            // No connection: down or full, the host takes nothing from us now; one is enough.
            case CONNECT_FAILED -> s.health.observe(now, Health.MAX_SLOWNESS, 1);
            case FULL -> s.health.observe(now, FULL_HOST_SLOWNESS, FAILURE_GAIN);
            case ERROR, RESET, TIMEOUT -> s.classHealth(c).observe(now, Health.MAX_SLOWNESS, FAILURE_GAIN);
            default -> {}
        }
        if (r.outcome() == Outcome.OK || r.outcome() == Outcome.TIMEOUT) {
            latencySum += r.latencyMs(); // a time-out is an answer at least that late
            baselineSum += c.baselineLatency * ask.details.units();
            goalShareSum += r.latencyMs() / c.spec.goalMs();
            answerCount++;
        }
        if (ask.customer != null) applyMeterReading(now, ask.customer, r.meterReading());
    }

    private void checkOverdueAttempts(double now) {
        for (TrackedHost s : new ArrayList<>(busyHosts)) {
            for (Attempt a : new ArrayList<>(s.attemptsInFlight)) {
                double expected = a.expectedMs * Math.max(1, s.health.slowness(now));
                if (a.overdue || now - a.sentAt <= OVERDUE_EXPECTED_TIMES * expected + OVERDUE_MIN_MS) continue;
                a.overdue = true;
                s.classHealth(a.request.classState).observe(now, Health.MAX_SLOWNESS, FAILURE_GAIN);
                boolean useful =
                        !a.request.closed && !a.request.streaming && now + a.expectedMs < holdDeadline(a.request);
                boolean safe = a.request.classState.spec.effect() != Effect.ONCE
                        && settings.limits().mayCancel();
                if (useful && safe && retryTokens >= 1) actions.cancel(a.request.details.id(), a.number);
            }
        }
    }

    private void evictIdle(double now) {
        if (now - sweptAt < SWEEP_INTERVAL_MS) return;
        sweptAt = now;
        unreportedCustomers.removeIf(c -> now - c.refilledAt > IDLE_EXPIRY_MS);
        customers
                .values()
                .removeIf(c -> now - c.refilledAt > IDLE_EXPIRY_MS && c.openRequests == 0 && c.pending.isEmpty());
        hosts.values().removeIf(s -> !s.listed && s.attemptsInFlight.isEmpty());
    }
}
