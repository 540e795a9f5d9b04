package deckfall;

import deckfall.AdmissionEstimate.CounterVerdict;
import deckfall.DecisionState.Attempt;
import deckfall.DecisionState.ClassState;
import deckfall.DecisionState.CustomerState;
import deckfall.DecisionState.Health;
import deckfall.DecisionState.MemberState;
import deckfall.DecisionState.PeerState;
import deckfall.DecisionState.RequestState;
import deckfall.DecisionState.TrackedHost;
import deckfall.Gateway.Actions;
import deckfall.Gateway.AttemptResult;
import deckfall.Gateway.CustomerSnapshot;
import deckfall.Gateway.Effect;
import deckfall.Gateway.Host;
import deckfall.Gateway.HostListKind;
import deckfall.Gateway.Outcome;
import deckfall.Gateway.Plan;
import deckfall.Gateway.Refusal;
import deckfall.Gateway.Request;
import deckfall.Gateway.RequestClass;
import deckfall.Gateway.Settings;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
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
    private static final double MIN_EXPIRED_BURSTS = 1; // bursts beyond the store from which a count is put right
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
        double totalWorth = initialSettings.classes().stream()
                .mapToDouble(requestClass -> Math.max(MIN_WEIGHT, requestClass.worth()))
                .sum();
        for (RequestClass requestClass : initialSettings.classes()) {
            ClassState classState = new ClassState(requestClass);
            classState.weight = Math.max(MIN_WEIGHT, requestClass.worth()) / totalWorth;
            classState.latencyPerUnit = classState.baselineLatency = requestClass.goalMs()
                    * INITIAL_LATENCY_GOAL_SHARE
                    / initialSettings.coordination().maxUnitsPerRequest();
            classes.put(requestClass.name(), classState);
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
        if (kind != HostListKind.CHANGES) hosts.values().forEach(host -> host.listed = false);
        updates.forEach(update -> hosts.computeIfAbsent(update.id(), id -> new TrackedHost(update))
                .update(update));
        refreshHosts(now);
        releaseQueued(now);
    }

    @Override
    public void requestReceived(double now, Request details) {
        ClassState classState = classes.get(details.requestClass());
        if (classState == null) actions.refuse(details.id(), 0, Refusal.UNKNOWN); // its class can't be judged
        if (classState == null) return;
        Integer planNumber = planNumbers.get(details.plan());
        CustomerState customer = planNumber == null
                ? null
                : customerState(now, details.customer(), planNumber, details.first(), details.spread());
        RequestState request = new RequestState(details, classState, customer, now);
        requests.put(details.id(), request);
        switch (customer == null ? AdmissionVerdict.ADMIT : decideAdmission(now, request)) {
            case ADMIT -> admit(now, request);
            case REFUSE -> admitOrRefuse(now, request, false);
            case ASK_COUNTER -> askCounter(now, request);
            default -> askOwner(now, request, 0);
        }
        if (customer != null && request.admitted) notifyOwners(now, customer);
        flushOutbox(now);
    }

    private void admit(double now, RequestState request) {
        ClassState classState = request.classState;
        request.admitted = true;
        CustomerState customer = request.customer;
        if (customer != null) customer.requestAdmitted(now);
        if (customer != null) charge(now, customer, request.details.units(), request.details.units());
        if (classState.queue.isEmpty()) classState.virtualTime = Math.max(classState.virtualTime, virtualTime);
        classState.queue.addLast(request);
        releaseQueued(now);
        // What would wait beyond its use is refused at once, and what has no time left may not wait (rule 1).
        boolean queued = !request.closed && request.attempts.isEmpty();
        if (queued && now + classState.queue.size() * classState.meanReleaseGap >= holdDeadline(request))
            finishUnserved(now, request);
    }

    @Override
    public void streamStarted(double now, String id, int attempt) {
        RequestState request = requests.get(id);
        if (request != null) request.streaming = true;
    }

    @Override
    public void attemptEnded(double now, AttemptResult result) {
        RequestState request = requests.get(result.id());
        if (request == null || result.attempt() < 0 || result.attempt() >= request.attempts.size()) return;
        Attempt attempt = request.attempts.get(result.attempt());
        if (!attempt.inFlight) return;
        attempt.end(result.outcome());
        attemptsInFlight--;
        if (attempt.host.attemptsInFlight.isEmpty()) busyHosts.remove(attempt.host);
        recordOutcome(now, request, attempt, result);
        if (result.requestClosed()) {
            closeRequest(now, request);
        } else if (!request.closed && !request.hasAttemptInFlight()) {
            if (acquireRetry(now, request) && result.outcome() != Outcome.MOOT)
                request.classState.queue.addFirst(request);
            else finishUnserved(now, request);
        }
        if (request.closed && !request.hasAttemptInFlight()) requests.remove(request.details.id());
        releaseQueued(now);
    }

    @Override
    public void clientDisconnected(double now, String id) {
        RequestState request = requests.get(id);
        if (request == null) return;
        closeRequest(now, request);
        for (Attempt attempt : request.attempts) {
            if (attempt.inFlight && settings.limits().mayCancel() && !request.streaming)
                actions.cancel(id, attempt.number);
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

    private CustomerState customerState(double now, long id, int planNumber, int first, int spread) {
        CustomerState customer = customers.get(id);
        if (customer == null || customer.planNumber != planNumber) {
            Plan plan = settings.plans().get(planNumber);
            int boundedSpread = Math.max(1, Math.min(spread, peers.length));
            int[] owners = DecisionState.rankGateways(id, first, boundedSpread, peers.length, OWNER_COUNT);
            customer = new CustomerState(id, planNumber, plan, first, boundedSpread, owners, now);
            customer.quotaLevel = plan.burst();
            customer.spareUnits = maxSpareUnits(customer, 1.0 / boundedSpread);
            // Less than one request is no use, but a free one in each gateway of a wide set is many bursts.
            customer.ownTokens = hasWideSet(customer)
                    ? plan.burst() / customer.spread
                    : Math.max(plan.burst() / customer.spread, minBucketSize(plan));
            // The ceiling's store starts with what has filled since this gateway started, never with a burst:
            // before a restart this gateway may have spent it (rule 5).
            double filled = (now - startedAt) / 1000 * plan.capRate() * capShare(customer);
            customer.capTokens = Math.min(maxCapTokens(customer), filled);
            customers.put(id, customer);
        }
        refill(now, customer);
        return customer;
    }

    /** This gateway's own share of a ceiling: all sum to one, and each is spent by its holder alone. */
    private double capShare(CustomerState customer) {
        if (customer.spread == 1) return 1;
        return (customer.owners[0] == settings.gatewayNumber() ? PRIMARY_OWNER_CAP_SHARE : 0)
                + (1 - PRIMARY_OWNER_CAP_SHARE) / customer.spread;
    }

    private double maxCapTokens(CustomerState customer) {
        return customer.plan.capBurst() * capShare(customer);
    }

    private void refill(double now, CustomerState customer) {
        double elapsedSeconds = (now - customer.refilledAt) / 1000;
        if (elapsedSeconds <= 0) return;
        double decay = Math.exp(-(now - customer.refilledAt) / DEMAND_AVERAGING_MS);
        Plan plan = customer.plan;
        double share = processShare(now, customer);
        customer.demand *= decay;
        customer.othersDemand *= decay;
        customer.refilledAt = now;
        if (!hasWideSet(customer))
            customer.reduceUnreported(share * plan.rate() * elapsedSeconds * customer.fullness());
        customer.quotaLevel = Math.min(plan.burst(), customer.quotaLevel + plan.rate() * elapsedSeconds);
        double unusedRate = Math.max(0, plan.rate() - othersRate(customer)) / processCount;
        customer.spareUnits =
                Math.min(maxSpareUnits(customer, share), customer.spareUnits + unusedRate * elapsedSeconds);
        customer.ownTokens = Math.min(
                Math.max(share * plan.burst(), minBucketSize(plan)),
                customer.ownTokens + share * plan.rate() * elapsedSeconds);
        // Units let in but not sent yet are still in the true store, and it may not overfill (rule 5).
        customer.capTokens = Math.min(
                maxCapTokens(customer) - customer.unsentUnits,
                customer.capTokens + plan.capRate() * capShare(customer) * elapsedSeconds);
    }

    /** Of the others' parts of a burst only a share is taken to be free: all of a set think alike. */
    private double maxSpareUnits(CustomerState customer, double share) {
        return customer.plan.burst() * (share + (1.0 / processCount - share) * OTHERS_FREE_SHARE);
    }

    private double minBucketSize(Plan plan) {
        return Math.min(plan.burst(), settings.coordination().maxUnitsPerRequest());
    }

    /** What the others of the set use a second, by the meter; before its first figure as much as is usual. */
    private double othersRate(CustomerState customer) {
        if (customer.meterSeconds <= 0) return ASSUMED_USE_SHARE * customer.plan.rate() * (1 - 1.0 / customer.spread);
        return Math.max(0, customer.meterTotal - customer.meterOwn) / customer.meterSeconds;
    }

    /**
     * Whether the whole store has room beside what others may have used unseen: most customers use a part
     * of their quota, and what one gateway's bucket lacks then lies in the others'. Without a meter that is a
     * guess which all of a set make alike: it is left to the plans whose excess costs little.
     */
    private boolean hasSpareUnits(CustomerState customer, double units) {
        double unseenUnits = othersRate(customer) * METER_LAG_MS / 1000;
        boolean mayEstimate = settings.coordination().meterPeriodMs() > 0 || !hasCostlyExcess(customer.plan);
        return mayEstimate
                && !settings.limits().peerMessages()
                && customer.spread > 1
                && customer.spareUnits - unseenUnits >= units;
    }

    /** This gateway's part of a customer's demand: all parts of one keeper's word sum to one. */
    private double processShare(double now, CustomerState customer) {
        return gatewayShare(now, customer) / processCount;
    }

    /** The part of all processes of this gateway. */
    private double gatewayShare(double now, CustomerState customer) {
        if (customer.spread == 1) return 1;
        if (!settings.limits().peerMessages())
            return now - customer.meterAt < STALE_LEVEL_MS ? customer.meterShare : 1.0 / customer.spread;
        if (now - customer.sharedLevelAt > STALE_LEVEL_MS
                && decidingOwner(now, customer, 0) != settings.gatewayNumber()) return 1.0 / customer.spread;
        double prior = EVEN_SHARE_PRIOR * customer.plan.rate();
        return (customer.demand + prior / customer.spread) / (customer.demand + customer.othersDemand + prior);
    }

    /** The gateway that decides on a customer, from its keeper {@code stage} on; -1 where none can be had. */
    private int decidingOwner(double now, CustomerState customer, int ownerIndex) {
        for (int i = ownerIndex; i < customer.owners.length; i++) {
            int owner = customer.owners[i];
            boolean last = i == customer.owners.length - 1;
            if (owner == settings.gatewayNumber()
                    ? last || !isUninformed(now, customer)
                    : now >= peers[owner].unresponsiveUntil) return owner;
        }
        return customer.owners[0] == settings.gatewayNumber() ? settings.gatewayNumber() : -1;
    }

    /** A keeper new to its life does not know what was used before, until told or until it cannot matter. */
    private boolean isUninformed(double now, CustomerState customer) {
        return !customer.informed && (now - startedAt) / 1000 * customer.plan.rate() < customer.plan.burst();
    }

    private AdmissionVerdict decideAdmission(double now, RequestState request) {
        CustomerState customer = request.customer;
        double units = request.details.units();
        customer.demand += units / DEMAND_AVERAGING_MS * 1000;
        Plan plan = customer.plan;
        meanWorth += MEAN_WORTH_GAIN * (request.classState.spec.worth() - meanWorth);
        callBudget.updateMinPrice(settings.coordination().counterCallPrice(), meanWorth);
        boolean hasQuota = plan.rate() > 0 && !plan.excessPays();
        boolean openLimitReached = !plan.excessPays() && !isBelowOpenLimit(now, customer);
        if (openLimitReached || hasQuota && customer.quotaLevel < units) {
            request.refusal = openLimitReached ? Refusal.OPEN : Refusal.QUOTA;
            if (now - customer.ownerNotifiedAt > OWNER_SYNC_INTERVAL_MS) notifyOwners(now, customer);
            return AdmissionVerdict.REFUSE;
        }
        if (hasQuota) request.evidence = evidence(now, request);
        if (hasQuota && hasWideSet(customer)) return decideWideSet(now, request);
        boolean asksOwner = settings.limits().peerMessages() && customer.spread > 1;
        int decidingOwner = decidingOwner(now, customer, 0);
        boolean hasRoom = !hasQuota
                || decidingOwner == settings.gatewayNumber() && asksOwner
                || customer.ownTokens >= units && (!asksOwner || now - customer.sharedLevelAt < FRESH_LEVEL_MS)
                || hasSpareUnits(customer, units)
                || (asksOwner || usesCounter(customer))
                        && now - customer.sharedLevelAt < FRESH_LEVEL_MS
                        && customer.quotaLevel - unseenUseReserve(now, customer) >= units;
        boolean hasCapRoom = plan.capRate() <= 0 || customer.capTokens >= units; // rule 5: own units need no peer
        if (hasRoom && hasCapRoom) return AdmissionVerdict.ADMIT;
        request.requestedUnits = units;
        if (usesCounter(customer) && hasCapRoom && drawsCounterCall(now, request, roomChance(request)))
            return AdmissionVerdict.ASK_COUNTER;
        return asksOwner ? AdmissionVerdict.ASK_OWNER : AdmissionVerdict.REFUSE;
    }

    /** Whether so many gateways share a customer that an even part of the burst holds no request. */
    private boolean hasTooSmallShares(CustomerState customer) {
        return !settings.limits().peerMessages()
                && customer.plan.burst() / customer.spread
                        < settings.coordination().maxUnitsPerRequest();
    }

    /** There a part says nothing of the whole: the counter has to tell, as far as it can. */
    private boolean hasWideSet(CustomerState customer) {
        return hasTooSmallShares(customer)
                && customer.plan.capRate() <= 0
                && (settings.coordination().hasCounter() || hasCostlyExcess(customer.plan));
    }

    private boolean hasCostlyExcess(Plan plan) {
        double mean = settings.plans().stream()
                .mapToDouble(Plan::weightedExcessLoss)
                .average()
                .orElse(0);
        return plan.weightedExcessLoss() >= mean;
    }

    /**
     * A call is drawn by what it would save against the guess. What that lets in unasked is counted by those
     * drawn: each adds the units of the others that its draw stands for; the total is true in the mean.
     */
    private AdmissionVerdict decideWideSet(double now, RequestState request) {
        CustomerState customer = request.customer;
        double units = request.details.units();
        if (!settings.coordination().hasCounter())
            return customer.ownTokens >= units || hasSpareUnits(customer, units)
                    ? AdmissionVerdict.ADMIT
                    : AdmissionVerdict.REFUSE;
        boolean admits = isAdmissionWorthwhile(now, request);
        boolean foundEmpty = customer.counterVerdict(now, evidenceLifetimeMs(customer.plan)) == CounterVerdict.EMPTY;
        if (!admits && foundEmpty) return AdmissionVerdict.REFUSE; // asked a moment ago
        boolean callsCounter =
                drawsCounterCall(now, request, admits ? expectedExcessCost(now, request) : roomChance(request));
        if (!callsCounter && admits) adjustAdmissionMargin(request, roomChance(request));
        if (!callsCounter) return admits ? AdmissionVerdict.ADMIT : AdmissionVerdict.REFUSE;
        request.requestedUnits = roomChance(request) >= 0.5 ? units : 0; // otherwise it is added once it is let in
        request.sampledUnits = admits ? units * (1 / (request.callProbability * callBudget.allowedShare()) - 1) : 0;
        return AdmissionVerdict.ASK_COUNTER;
    }

    /** Whether a call is made that saves so much of a request's worth. */
    private boolean drawsCounterCall(double now, RequestState request, double savedWorthShare) {
        request.callProbability = Math.min(1, request.worth() * savedWorthShare / callBudget.price(now));
        return random.nextDouble() < request.callProbability && callBudget.allowsCall(now);
    }

    private double roomChance(RequestState request) {
        return admissionEstimates[request.customer.planNumber].chance(request.evidence);
    }

    /** What a guess to let in may cost in the mean, in times of the worth; more by the margin. */
    private double expectedExcessCost(double now, RequestState request) {
        boolean marginApplies = now - counterAnsweredAt < STALE_LEVEL_MS;
        return (marginApplies ? admissionMargin : 1)
                * request.customer.plan.excessLossRatio()
                * (1 - roomChance(request));
    }

    /** Whether it pays in the mean to let in what the counter is not asked about. */
    private boolean isAdmissionWorthwhile(double now, RequestState request) {
        return roomChance(request) > expectedExcessCost(now, request);
    }

    /** Guesses have to pay the more, the longer what is let in is expected to cost over its bound. */
    private void adjustAdmissionMargin(RequestState request, double chance) {
        excessEstimate.record(
                request.worth() * chance, request.worth() * (1 - chance) * request.customer.plan.excessCost());
        double factor = excessEstimate.costShare() > MAX_EXCESS_COST_SHARE ? MARGIN_STEP : 1 / MARGIN_STEP;
        admissionMargin = Math.max(1, Math.min(MARGIN_MAX, admissionMargin * factor));
    }

    private static double evidenceLifetimeMs(Plan plan) {
        return EVIDENCE_BURSTS * 1000 * plan.burst() / plan.rate();
    }

    /** What is known of a request's customer without asking: what the counter and the meter told last. */
    private int evidence(double now, RequestState request) {
        CustomerState customer = request.customer;
        double quotaPerPeriod = customer.plan.rate() * settings.coordination().meterPeriodMs() / 1000;
        double meteredUnits = now - customer.meterAt < evidenceLifetimeMs(customer.plan)
                ? (customer.lastMeterReading - 1) / 100.0 * quotaPerPeriod
                : 0;
        boolean overQuota = meteredUnits
                > Math.max(
                        quotaPerPeriod,
                        OWN_USE_REQUESTS * settings.coordination().maxUnitsPerRequest());
        return AdmissionEstimate.evidence(
                request.details.retry(), overQuota, customer.counterVerdict(now, evidenceLifetimeMs(customer.plan)));
    }

    /** What the others may have used since a keeper told, as far as it matters against the excess cost. */
    private double unseenUseReserve(double now, CustomerState customer) {
        double cost = customer.plan.excessLossRatio();
        double rate = customer.othersDemand + UNSEEN_USE_SHARE * customer.plan.rate();
        return rate * (now - customer.sharedLevelAt + REPORT_LAG_MS) / 1000 * 2 * cost / (1 + cost);
    }

    private boolean isBelowOpenLimit(double now, CustomerState customer) {
        int limit = customer.plan.openLimit();
        boolean knowsOthers = customer.spread == 1
                || settings.limits().peerMessages()
                        && (decidingOwner(now, customer, 0) == settings.gatewayNumber()
                                || now - customer.sharedLevelAt < FRESH_LEVEL_MS);
        return limit <= 0
                || (knowsOthers
                        ? customer.openRequests + customer.othersOpenRequests < limit
                        : customer.openRequests < Math.max(1, (int) (limit * processShare(now, customer))));
    }

    /** When the store will have filled enough; every refusal tells a time to come back. */
    private double retryAfterMs(double now, CustomerState customer, double units) {
        if (customer.plan.rate() <= 0) return boundRetryAfterMs(0);
        double quotaWaitMs = 1000 * (units - customer.quotaLevel) / customer.plan.rate();
        double ownBucketWaitMs = 1000
                * (units - customer.ownTokens)
                / (customer.plan.rate() * Math.max(EVEN_SHARE_PRIOR, processShare(now, customer)));
        return boundRetryAfterMs(
                settings.limits().peerMessages() || now - customer.counterTotalAt < FRESH_LEVEL_MS
                        ? quotaWaitMs
                        : Math.max(quotaWaitMs, ownBucketWaitMs));
    }

    private double boundRetryAfterMs(double waitMs) {
        double maxMs = settings.limits().maxRetryAfterMs();
        return maxMs > 0 ? Math.min(maxMs, Math.max(MIN_RETRY_AFTER_MS, waitMs)) : 0;
    }

    /** Takes units from the quota's and the ceiling's stores, or gives them back where negative. */
    private void charge(double now, CustomerState customer, double units, double capUnits) {
        customer.ownTokens = Math.max(customer.ownTokens - units, -customer.plan.burst() / customer.spread);
        customer.quotaLevel =
                Math.max(-customer.plan.burst(), Math.min(customer.plan.burst(), customer.quotaLevel - units));
        customer.spareUnits -= units;
        customer.usedUnits += units;
        if (usesCounter(customer) && !hasWideSet(customer)) addUnreported(customer, units);
        customer.usageHistory.add(now, units);
        customer.unsentUnits += capUnits;
        customer.capTokens -= capUnits;
    }

    /**
     * The part follows the own use in the period that the meter tells of. Use of now over a total of long ago
     * would grow by itself: each gateway of the set would see its own share rise until the next figure.
     */
    private void applyMeterReading(double now, CustomerState customer, int reading) {
        if (reading <= 0 || settings.limits().peerMessages() || customer.plan.rate() <= 0) return;
        customer.meterAt = now;
        double periodMs = settings.coordination().meterPeriodMs();
        if (reading == customer.lastMeterReading && now - customer.meterShareAt < periodMs)
            return; // told before: it says nothing new
        customer.lastMeterReading = reading;
        double decay = Math.exp(-Math.max(0, now - customer.meterShareAt) / DEMAND_AVERAGING_MS);
        customer.meterShareAt = now;
        customer.meterTotal =
                customer.meterTotal * decay + (reading - 1) / 100.0 * customer.plan.rate() * periodMs / 1000;
        customer.meterSeconds = customer.meterSeconds * decay + periodMs / 1000;
        customer.meterOwn = customer.meterOwn * decay
                + customer.usageHistory.usedBetween(now - METER_LAG_MS - periodMs, now - METER_LAG_MS);
        double prior = EVEN_SHARE_PRIOR * customer.plan.rate();
        double share = Math.min(1, (customer.meterOwn + prior / customer.spread) / (customer.meterTotal + prior));
        boolean raises = reading - 1 < 100 && customer.demand > share * customer.plan.rate();
        customer.meterShare = raises ? Math.min(1, Math.max(share, customer.meterShare) + SHARE_RAISE_STEP) : share;
    }

    // ---- processes of one gateway

    @Override
    public void processCountChanged(double now, int count) {
        double keptShare = Math.min(1, (double) processCount / count); // what is stored goes to new ones evenly
        customers.values().forEach(customer -> refill(now, customer));
        processCount = count;
        for (CustomerState customer : customers.values()) {
            customer.ownTokens *= keptShare;
            customer.spareUnits *= keptShare;
        }
    }

    @Override
    public List<CustomerSnapshot> snapshotCustomers(double now) {
        customers.values().forEach(customer -> refill(now, customer));
        return customers.values().stream().map(CustomerState::snapshot).toList();
    }

    @Override
    public void restoreCustomers(double now, List<CustomerSnapshot> snapshots) {
        for (CustomerSnapshot snapshot : snapshots) {
            boolean known = customers.containsKey(snapshot.customer());
            if (known
                    || snapshot.plan() < 0
                    || snapshot.plan() >= settings.plans().size()) continue;
            CustomerState customer =
                    customerState(now, snapshot.customer(), snapshot.plan(), snapshot.first(), snapshot.spread());
            customer.restore(snapshot, processCount);
        }
    }

    // ---- questions to the counter

    /** Where gateways can't talk, the counter holds a customer's use by all of its set. */
    private boolean usesCounter(CustomerState customer) {
        return settings.coordination().hasCounter()
                && !settings.limits().peerMessages()
                && customer.spread > 1
                && customer.plan.rate() > 0
                && !customer.plan.excessPays();
    }

    /** Holds a request that the own part has no room for until the whole store is known. */
    private void askCounter(double now, RequestState request) {
        CustomerState customer = request.customer;
        if (now + COUNTER_CALL_ALLOWANCE_MS >= request.details.deadlineMs() - DEADLINE_MARGIN_MS) {
            admitOrRefuse(now, request, false);
            return;
        }
        customer.pending.addLast(request);
        if (!customer.callInFlight) callCounter(now, customer);
    }

    /** Adds what was used and what is wanted: of two gateways the second then sees the first one's wish. */
    private void callCounter(double now, CustomerState customer) {
        if (hasWideSet(customer)) customer.counterWindow = customer.windowAt(now, COUNTER_LIFETIME_MS);
        customer.beginCall(now);
        unreportedCustomers.remove(customer);
        callBudget.recordCall(now);
        actions.addToCounter(customer.counterName(hasWideSet(customer)), customer.callUnits, COUNTER_LIFETIME_MS);
    }

    @Override
    public void counterCallEnded(double now, String counter, Outcome outcome, double total) {
        CustomerState customer = customers.get(CustomerState.idOfCounterName(counter));
        if (customer == null || !customer.callInFlight) return;
        refill(now, customer);
        customer.callInFlight = false;
        boolean succeeded = outcome == Outcome.OK;
        callBudget.recordAnswer(now, now - customer.counterCalledAt, succeeded);
        if (succeeded) counterAnsweredAt = now;
        if (succeeded && hasWideSet(customer)) applyWindowTotal(now, customer, total);
        else if (succeeded) applyCounterTotal(now, customer, total);
        if (outcome.neverRan()) customer.unreportedUnits += customer.callUnits - customer.expiredUnitsInCall;
        if (!succeeded) customer.expiredUnitsInCall = 0; // by the next answer it shows whether it is still due
        List<RequestState> answeredRequests = customer.callRequests;
        customer.callRequests = List.of();
        for (RequestState request : answeredRequests) decideAfterCounterCall(now, request, succeeded);
        while (!succeeded && !customer.pending.isEmpty()) {
            RequestState next = customer.pending.poll();
            admitOrRefuse(now, next, hasWideSet(customer) && isAdmissionWorthwhile(now, next));
        }
        addUnreported(customer, 0);
        if (!customer.pending.isEmpty() || hasWideSet(customer) && succeeded && isCounterCallWorthwhile(now, customer))
            callCounter(now, customer);
        customer.expiredUnits = 0;
        flushOutbox(now);
    }

    /** What the next call is to add to a customer's count, or to take off it. */
    private void addUnreported(CustomerState customer, double units) {
        customer.unreportedUnits += units;
        if (customer.unreportedUnits == 0) unreportedCustomers.remove(customer);
        else unreportedCustomers.add(customer);
    }

    /** In a wide set what is let in is counted here; elsewhere it is charged anew. */
    private void decideAfterCounterCall(double now, RequestState request, boolean succeeded) {
        CustomerState customer = request.customer;
        double units = request.details.units();
        boolean hasRoom = succeeded
                ? customer.quotaLevel >= units
                : hasWideSet(customer) ? isAdmissionWorthwhile(now, request) : customer.ownTokens >= units;
        if (succeeded) recordCounterVerdict(now, request, hasRoom);
        boolean admits = hasRoom && !request.closed && isBelowOpenLimit(now, customer);
        request.countedInTotal = admits && hasWideSet(customer);
        customer.unreportedUnits += (request.countedInTotal ? units : 0) - request.requestedUnits;
        if (succeeded && !hasRoom) customer.unreportedUnits -= request.sampledUnits; // excess takes nothing
        if (request.countedInTotal) adjustAdmissionMargin(request, succeeded ? 1 : roomChance(request));
        if (!request.closed) admitOrRefuse(now, request, admits);
    }

    private void recordCounterVerdict(double now, RequestState request, boolean hasRoom) {
        CustomerState customer = request.customer;
        admissionEstimates[customer.planNumber].record(request.evidence, hasRoom);
        request.refusal = hasRoom ? Refusal.OPEN : Refusal.QUOTA; // if it is not let in
        customer.counterVerdict = CounterVerdict.of(hasRoom, customer.fullness());
    }

    /** What is to be put right in a count has a worth too, and waits where calls save more elsewhere. */
    private boolean isCounterCallWorthwhile(double now, CustomerState customer) {
        double valuePerUnit =
                hasWideSet(customer) ? CORRECTION_WORTH_SHARE : customer.spread * (1 - customer.fullness());
        double units = Math.min(
                customer.plan.burst(), valuePerUnit * Math.abs(customer.unreportedUnits) + customer.expiredUnits);
        return units > 0
                && callBudget.hasSavedCall(now)
                && units * customer.plan.valueFactor() * meanWorth >= callBudget.price(now);
    }

    /** What the others used since the last total is gone; a smaller total is of a name begun anew. */
    private void applyCounterTotal(double now, CustomerState customer, double total) {
        boolean restarted = customer.counterTotalAt == DecisionState.NEVER || total < customer.counterTotal / 2;
        double othersUnits = total - customer.callUnits - (restarted ? 0 : customer.counterTotal);
        customer.applyCounterTotal(now, total, customer.quotaLevel - othersUnits);
    }

    /**
     * A store whole when the window began holds what has filled since less the total, and at most the
     * burst: what is left unused lapses. One call adds that to the count, once it is a burst or more; of two
     * that do so at once the second sees by its answer that it was not needed, and takes it back.
     */
    private void applyWindowTotal(double now, CustomerState customer, double total) {
        double seconds = customer.elapsedInWindowMs(now, COUNTER_LIFETIME_MS) / 1000;
        double newLevel =
                customer.plan.burst() + customer.plan.rate() * seconds - (total - customer.callRequestUnits());
        if (customer.expiredUnitsInCall > 0 && newLevel < customer.plan.burst() - customer.expiredUnitsInCall / 2)
            customer.unreportedUnits -= customer.expiredUnitsInCall;
        customer.expiredUnitsInCall = 0;
        double expired = newLevel - customer.plan.burst();
        customer.expiredUnits = expired > MIN_EXPIRED_BURSTS * customer.plan.burst() ? expired : 0;
        customer.applyCounterTotal(now, total, newLevel);
    }

    /** What was let in by the own part is to be known to the others too, by and by. */
    private void reportUsage(double now) {
        if (unreportedCustomers.isEmpty()) return;
        for (CustomerState customer : new ArrayList<>(unreportedCustomers)) {
            boolean windowEnded =
                    hasWideSet(customer) && customer.counterWindow != customer.windowAt(now, COUNTER_LIFETIME_MS);
            if (windowEnded) customer.unreportedUnits = 0; // its name counts no more
            if (customer.unreportedUnits == 0) unreportedCustomers.remove(customer);
            else if (!customer.callInFlight
                    && now - customer.counterCalledAt >= COUNTER_REPORT_INTERVAL_MS
                    && isCounterCallWorthwhile(now, customer)) callCounter(now, customer);
        }
    }

    // ---- questions to keepers

    /** Holds a request for the word of the next keeper that may know; without one the even part decides. */
    private void askOwner(double now, RequestState request, int ownerIndex) {
        CustomerState customer = request.customer;
        int owner = ownerIndex < customer.owners.length ? decidingOwner(now, customer, ownerIndex) : -1;
        if (owner < 0
                || owner == settings.gatewayNumber()
                || now + OWNER_ANSWER_TIMEOUT_MS >= request.details.deadlineMs() - DEADLINE_MARGIN_MS) {
            customer.pending.remove(request);
            boolean hasRoom = customer.plan.rate() <= 0
                    || (owner < 0 ? customer.ownTokens : customer.quotaLevel) >= request.details.units();
            admitOrRefuse(
                    now,
                    request,
                    hasRoom && (customer.plan.capRate() <= 0 || customer.capTokens >= request.details.units()));
            notifyOwners(now, customer);
            return;
        }
        request.ownerIndex = owner == customer.owners[0] ? 0 : customer.owners.length - 1;
        request.askedOwner = owner;
        request.querySerial = peers[owner].sentSerial + 1; // of the next message: the last one did not ask for it
        request.answerDueAt = now + OWNER_ANSWER_TIMEOUT_MS;
        if (!customer.pending.contains(request)) customer.pending.addLast(request);
        ownerQueries.add(request);
        customer.ownerNotifiedAt = now;
        enqueuePeer(peers[owner], customer);
    }

    private void admitOrRefuse(double now, RequestState request, boolean admits) {
        if (admits) admit(now, request);
        if (admits) return;
        closeRequest(now, request);
        actions.refuse(
                request.details.id(), retryAfterMs(now, request.customer, request.details.units()), request.refusal);
    }

    /** Silence of a peer shows only where an answer was due: then it is passed over for a while. */
    private void expireOwnerQueries(double now) {
        ownerQueries.removeIf(query -> query.closed || query.admitted);
        for (RequestState request :
                ownerQueries.stream().filter(query -> now >= query.answerDueAt).toList()) {
            ownerQueries.remove(request);
            peers[request.askedOwner].unresponsiveUntil = now + UNRESPONSIVE_MS;
            refill(now, request.customer);
            askOwner(now, request, request.ownerIndex + 1);
        }
    }

    // ---- tells between gateways

    /** The keeper in charge is to know at once; where it is this gateway, the other keepers now and then. */
    private void notifyOwners(double now, CustomerState customer) {
        if (!settings.limits().peerMessages() || customer.spread == 1) return;
        int owner = decidingOwner(now, customer, 0);
        if (owner != settings.gatewayNumber()) {
            customer.ownerNotifiedAt = now;
            if (owner >= 0) enqueuePeer(peers[owner], customer);
        } else if (now - customer.ownerNotifiedAt > OWNER_SYNC_INTERVAL_MS) {
            customer.ownerNotifiedAt = now;
            IntStream.of(customer.owners)
                    .filter(other -> other != settings.gatewayNumber())
                    .forEach(other -> enqueuePeer(peers[other], customer));
        }
    }

    private void enqueuePeer(PeerState peer, CustomerState customer) {
        if (customer != null) peer.dueReports.add(customer);
        if (!peer.queued) outbox.addLast(peer);
        peer.queued = true;
    }

    /** Questions take half of the intake, since each brings an answer; answers only keep the shortest gap. */
    private void flushOutbox(double now) {
        double ratePerMs =
                Math.max(1, settings.coordination().peerMessagesPerSecond()) * PEER_MESSAGE_RATE_SHARE / 1000;
        messageTokens = Math.min(
                Math.max(1, ratePerMs * PEER_MESSAGE_BURST_MS),
                messageTokens + (now - messageTokensAt) * ratePerMs / 2);
        messageTokensAt = now;
        double minGapMs = Math.min(MAX_PEER_MESSAGE_GAP_MS, (peers.length - 1) / ratePerMs);
        for (PeerState peer : new ArrayList<>(outbox)) {
            if (now - peer.sentAt < minGapMs || peer.dueAnswers.isEmpty() && messageTokens < 1) continue;
            if (peer.dueAnswers.isEmpty()) messageTokens -= 1;
            sendMessage(now, peer);
            if (!peer.dueReports.isEmpty() || !peer.dueAnswers.isEmpty()) continue;
            outbox.remove(peer);
            peer.queued = false;
        }
    }

    private void sendMessage(double now, PeerState peer) {
        List<PeerMessage.Entry> entries = new ArrayList<>();
        int maxEntries = (MAX_PEER_MESSAGE_BYTES - PeerMessage.HEADER_BYTES) / PeerMessage.MAX_ENTRY_BYTES;
        peer.sentSerial++;
        for (LinkedHashSet<CustomerState> due : List.of(peer.dueAnswers, peer.dueReports)) {
            for (Iterator<CustomerState> iterator = due.iterator();
                    iterator.hasNext() && entries.size() < maxEntries;
                    iterator.remove()) {
                CustomerState customer = iterator.next();
                refill(now, customer);
                entries.add(
                        due == peer.dueAnswers ? answerEntry(now, customer, peer) : reportEntry(now, customer, peer));
            }
        }
        peer.sentAt = now;
        actions.sendPeerMessage(
                peer.number,
                new PeerMessage(epoch, peer.epoch, peer.sentSerial, peer.receivedSerial, entries).encode());
    }

    private PeerMessage.Entry reportEntry(double now, CustomerState customer, PeerState owner) {
        for (RequestState request : customer.pending)
            if (request.askedOwner == owner.number) request.querySerial = owner.sentSerial;
        double wantedUnits = customer.pendingUnits();
        boolean replyWanted = decidingOwner(now, customer, 0) == owner.number
                || now < owner.unresponsiveUntil
                || customer.pending.stream().anyMatch(request -> request.askedOwner == owner.number);
        boolean hasLevel = decidingOwner(now, customer, 0) == settings.gatewayNumber()
                || now - customer.sharedLevelAt < FRESH_LEVEL_MS;
        return new PeerMessage.Entry(
                false,
                replyWanted,
                customer.plan.capRate() > 0 && customer.capTokens < wantedUnits,
                false,
                hasLevel,
                customer.id,
                customer.planNumber,
                customer.first,
                customer.spread,
                customer.usedUnits,
                wantedUnits,
                customer.demand,
                customer.fullness(),
                customer.openRequests,
                0);
    }

    private PeerMessage.Entry answerEntry(double now, CustomerState customer, PeerState peer) {
        MemberState member = customer.member(peer);
        double peerDemand = member.demand * Math.exp(-(now - member.demandAt) / DEMAND_AVERAGING_MS);
        double othersDemand = Math.max(0, customer.demand + customer.othersDemand - peerDemand);
        return new PeerMessage.Entry(
                true,
                false,
                customer.plan.capRate() > 0,
                isUninformed(now, customer),
                false,
                customer.id,
                customer.planNumber,
                customer.first,
                customer.spread,
                member.bookedUnits,
                member.grantedUnits,
                othersDemand,
                customer.fullness(),
                customer.openRequests + customer.othersOpenRequests - member.openRequests,
                member.capUnitsGiven);
    }

    @Override
    public void peerMessageReceived(double now, int sender, byte[] data) {
        PeerMessage message = sender < 0 || sender >= peers.length || sender == settings.gatewayNumber()
                ? null
                : PeerMessage.decode(data);
        if (message == null) return; // unknown sender, or damaged
        PeerState peer = peers[sender];
        boolean sameEpoch = peer.heardFrom && message.epoch() == peer.epoch;
        // Overtaken on the way, told twice, or from before the sender's restart.
        // Lives are compared by difference: their field runs over every 50 days of Unix time.
        boolean outdated = sameEpoch
                ? !PeerMessage.isAfter(message.serial(), peer.receivedSerial)
                : message.epoch() - peer.epoch < 0;
        if (peer.heardFrom && outdated) return;
        peer.heardFrom = true;
        peer.epoch = message.epoch();
        peer.receivedSerial = message.serial();
        peer.unresponsiveUntil = DecisionState.NEVER;
        boolean toThisEpoch = message.receiverEpoch() == epoch;
        for (PeerMessage.Entry entry : message.entries()) {
            if (entry.plan() >= settings.plans().size()) continue;
            if (entry.answer()) handleAnswer(now, peer, entry, message.receivedSerial(), toThisEpoch);
            else handleReport(now, peer, entry);
        }
        flushOutbox(now);
    }

    /** As a keeper: books what was used, grants of what is wanted as far as the store has it. */
    private void handleReport(double now, PeerState peer, PeerMessage.Entry entry) {
        int position = Math.floorMod(peer.number - entry.first(), peers.length);
        if (entry.spread() > peers.length || position >= entry.spread()) return; // a set that cannot be
        CustomerState customer = customerState(now, entry.customer(), entry.plan(), entry.first(), entry.spread());
        if (IntStream.of(customer.owners).noneMatch(owner -> owner == settings.gatewayNumber())) return;
        boolean uninformed = isUninformed(now, customer);
        boolean adoptsLevel = entry.hasLevel() && (uninformed || decidingOwner(now, customer, 0) == peer.number);
        if (adoptsLevel) { // the word of the keeper in charge, or of anyone fresh where this one knows nothing
            customer.quotaLevel = Math.min(
                    uninformed ? customer.quotaLevel : customer.plan.burst(), entry.fullness() * customer.plan.burst());
            customer.informed = true;
        }
        MemberState member = customer.member(peer);
        customer.othersDemand = Math.max(
                0,
                customer.othersDemand
                        + entry.demand()
                        - member.demand * Math.exp(-(now - member.demandAt) / DEMAND_AVERAGING_MS));
        member.demand = entry.demand();
        member.demandAt = now;
        customer.othersOpenRequests += entry.openRequests() - member.openRequests;
        member.openRequests = entry.openRequests();
        double spentUnits =
                member.hasReported && !adoptsLevel ? PeerMessage.unitsAhead(entry.usedUnits(), member.bookedUnits) : 0;
        member.hasReported = true;
        customer.quotaLevel =
                Math.max(-customer.plan.burst(), Math.min(customer.plan.burst(), customer.quotaLevel - spentUnits));
        boolean givesCapUnits = entry.cap() && customer.plan.capRate() > 0;
        boolean grants = entry.wantedUnits() > 0
                && (customer.plan.rate() <= 0 || customer.quotaLevel >= entry.wantedUnits())
                && (!givesCapUnits || customer.capTokens >= entry.wantedUnits());
        member.grantedUnits = grants ? entry.wantedUnits() : 0;
        member.bookedUnits = entry.usedUnits() + member.grantedUnits;
        customer.quotaLevel -= member.grantedUnits;
        if (decidingOwner(now, customer, 0) == settings.gatewayNumber() && spentUnits + member.grantedUnits != 0)
            notifyOwners(now, customer);
        if (grants && givesCapUnits && entry.replyWanted()) { // deducted here first, so a lost message loses units
            customer.capTokens -= entry.wantedUnits();
            member.capUnitsGiven += entry.wantedUnits();
        }
        if (entry.replyWanted()) {
            peer.dueAnswers.add(customer);
            enqueuePeer(peer, null);
        }
    }

    /** A keeper's word: the store and the others' demand, and what of the wanted units is granted. */
    private void handleAnswer(
            double now, PeerState peer, PeerMessage.Entry entry, int answeredSerial, boolean toThisEpoch) {
        CustomerState customer = customers.get(entry.customer());
        if (customer == null || customer.planNumber != entry.plan() || !toThisEpoch) return;
        refill(now, customer);
        MemberState member = customer.member(peer);
        if (entry.cap() && entry.capUnitsGiven() > member.capUnitsTaken) {
            customer.capTokens = Math.min(
                    maxCapTokens(customer) - customer.unsentUnits,
                    customer.capTokens + entry.capUnitsGiven() - member.capUnitsTaken);
            member.capUnitsTaken = entry.capUnitsGiven();
        }
        List<RequestState> answeredRequests = customer.pending.stream()
                .filter(query ->
                        query.askedOwner == peer.number && !PeerMessage.isAfter(query.querySerial, answeredSerial))
                .toList();
        if (!entry.uninformed()) {
            customer.othersDemand = entry.demand();
            customer.othersOpenRequests = entry.openRequests();
            customer.sharedLevelAt = now;
            customer.informed = true;
            customer.quotaLevel = entry.fullness() * customer.plan.burst()
                    - PeerMessage.unitsAhead(customer.usedUnits, entry.usedUnits());
        }
        double grantedUnits = entry.wantedUnits();
        for (RequestState request : answeredRequests) {
            double units = request.details.units();
            if (entry.uninformed() && request.ownerIndex + 1 < customer.owners.length) {
                askOwner(now, request, request.ownerIndex + 1);
                continue;
            }
            customer.pending.remove(request);
            boolean admits = grantedUnits >= units && (customer.plan.capRate() <= 0 || customer.capTokens >= units);
            grantedUnits -= admits ? units : 0;
            admitOrRefuse(now, request, admits);
            int primaryOwner = customer.owners[0]; // it did not book what another let in
            if (admits && peer.number != primaryOwner && primaryOwner != settings.gatewayNumber())
                enqueuePeer(peers[primaryOwner], customer);
        }
    }

    // ---- release

    /** Places for attempts out: the even ones of what hosts get fleet-wide, and some for chance bursts. */
    private double concurrencyLimit() {
        double evenShare = concurrencyPerHost * Math.max(1, warmCapacity) / (peers.length * processCount);
        return Math.max(1, evenShare + BURST_HEADROOM * Math.sqrt(evenShare) * (1 - 1.0 / peers.length));
    }

    /** Work-conserving fair turns: the backlogged class with the earliest turn goes next. */
    private void releaseQueued(double now) {
        double limit = concurrencyLimit();
        LinkedHashSet<ClassState> blocked = new LinkedHashSet<>();
        while (attemptsInFlight < limit) {
            ClassState next = null;
            for (ClassState classState : classes.values()) {
                boolean earlier = next == null || classState.virtualTime < next.virtualTime;
                if (earlier && !classState.queue.isEmpty() && !blocked.contains(classState)) next = classState;
            }
            if (next == null) return;
            if (!releaseNext(now, next)) blocked.add(next);
        }
        requestsWaited = true;
    }

    private boolean releaseNext(double now, ClassState classState) {
        for (RequestState request : classState.queue.stream().limit(MAX_SCANNED).toList()) {
            TrackedHost host = pickHost(now, request);
            if (host == null) continue;
            classState.queue.remove(request);
            virtualTime = Math.max(virtualTime, classState.virtualTime);
            classState.virtualTime += request.expectedMs() / classState.weight;
            boolean backlogged = !classState.queue.isEmpty();
            if (backlogged && classState.releasedAt > DecisionState.NEVER) {
                classState.meanReleaseGap +=
                        RELEASE_GAP_GAIN * (now - classState.releasedAt - classState.meanReleaseGap);
            }
            classState.releasedAt = backlogged ? now : DecisionState.NEVER;
            sendAttempt(now, request, host);
            return true;
        }
        return false;
    }

    private void sendAttempt(double now, RequestState request, TrackedHost host) {
        Attempt attempt = new Attempt(request, host, now, request.expectedMs());
        if (request.attempts.isEmpty()) {
            retryTokens = Math.min(MAX_RETRY_TOKENS, retryTokens + RETRY_BUDGET_SHARE);
            request.classState.recordDelay(now - request.arrivedAt, 0);
            if (request.customer != null) request.customer.unsentUnits -= request.details.units();
        }
        attempt.begin();
        busyHosts.add(host);
        attemptsInFlight++;
        actions.send(request.details.id(), host.info.id(), 0);
    }

    /** When a held request must have left or be answered here: rule 1, and no work for late answers. */
    private double holdDeadline(RequestState request) {
        double deadline = request.details.deadlineMs() - DEADLINE_MARGIN_MS;
        if (request.firstPossibleRun() != null) return deadline;
        double goal = request.classState.spec.goalMs();
        double usefulUntil = request.classState.spec.lateValue() >= MIN_LATE_VALUE
                ? deadline
                : Math.min(deadline, request.arrivedAt + goal);
        double maxHold = usefulUntil - request.arrivedAt - REQUIRED_EXPECTED_TIMES * request.expectedMs();
        return Math.min(deadline, request.arrivedAt + Math.max(MIN_HOLD_GOAL_SHARE * goal, maxHold));
    }

    private void expireQueued(double now) {
        for (ClassState classState : classes.values()) {
            for (RequestState request : classState.queue.stream()
                    .filter(queued -> now >= holdDeadline(queued))
                    .toList()) {
                classState.recordDelay(now - request.arrivedAt, 0);
                finishUnserved(now, request); // takes it from the queue
            }
        }
    }

    /** The final answer where none was served: a refusal only where a further try is harmless (rule 2). */
    private void finishUnserved(double now, RequestState request) {
        RequestClass spec = request.classState.spec;
        boolean retryIsSafe = request.firstPossibleRun() == null
                || spec.effect() == Effect.REPEATABLE
                || spec.effect() == Effect.KEYED && spec.keyScope() == Gateway.KeyScope.ALL;
        closeRequest(now, request);
        // A place may be had once what is held now has left.
        double waitMs = boundRetryAfterMs(request.classState.queue.size() * request.classState.meanReleaseGap);
        if (retryIsSafe) actions.refuse(request.details.id(), waitMs, Refusal.PLACE);
        else actions.fail(request.details.id());
    }

    private void closeRequest(double now, RequestState request) {
        if (!request.hasAttemptInFlight()) requests.remove(request.details.id());
        if (request.closed) return;
        request.closed = true;
        request.classState.queue.remove(request);
        CustomerState customer = request.customer;
        if (customer == null) return;
        customer.pending.remove(request);
        if (!request.admitted) return;
        customer.openRequests--;
        if (request.attempts.stream()
                .allMatch(attempt -> attempt.neverSent)) { // let in but never sent: the units go back
            customer.unsentUnits +=
                    request.attempts.isEmpty() ? 0 : request.details.units(); // taken off as it was to leave
            charge(now, customer, -request.details.units(), -request.details.units());
            if (request.countedInTotal) addUnreported(customer, -request.details.units());
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
            boolean queueing = latencySum > QUEUEING_LATENCY_RATIO * baselineSum
                            && goalShareSum > HARMLESS_GOAL_SHARE * answerCount
                    || goalShareSum > QUEUEING_GOAL_SHARE * answerCount;
            if (queueing)
                concurrencyPerHost = Math.max(MIN_CONCURRENCY_PER_HOST, concurrencyPerHost * CONCURRENCY_DECREASE);
            else if (requestsWaited)
                concurrencyPerHost = Math.min(MAX_CONCURRENCY_PER_HOST, concurrencyPerHost * CONCURRENCY_INCREASE);
        }
        latencySum = baselineSum = goalShareSum = 0;
        answerCount = 0;
        classes.values().forEach(classState -> classState.updateBaseline(BASELINE_MIN_SAMPLES, BASELINE_DRIFT));
    }

    // ---- weights by donation

    static double delayGoalMs(ClassState classState) {
        return classState.spec.goalMs() * DELAY_GOAL_SHARE;
    }

    private void adjustWeights(double now) {
        if (now - delayIntervalEndedAt < DELAY_INTERVAL_MS) return;
        delayIntervalEndedAt = now;
        classes.values().forEach(classState -> classState.endDelayInterval(ALPHA));
        if (now - donatedAt < donationIntervalMs) return;
        donatedAt = now;
        if (requestsWaited)
            classes.values().forEach(classState -> classState.measureSlope(delayGoalMs(classState) * EPSILON));
        boolean donated = requestsWaited && donateWeight(new ArrayList<>(classes.values()));
        donationIntervalMs =
                donated ? Math.min(MAX_DONATION_INTERVAL_MS, donationIntervalMs * 2) : MIN_DONATION_INTERVAL_MS;
        requestsWaited = false;
    }

    /** The worst underweight class asks, overweight ones give by surplus, clamped; the sum stays. */
    static boolean donateWeight(List<ClassState> classStates) {
        ClassState worst = null;
        double surplus = 0;
        for (ClassState classState : classStates) {
            double delayRatio = classState.meanDelay / delayGoalMs(classState);
            if (delayRatio >= 1 + EPSILON && (worst == null || delayRatio > worst.meanDelay / delayGoalMs(worst)))
                worst = classState;
            surplus += surplus(classState);
        }
        if (worst == null || surplus <= 0) return false; // all content, or all underweight: weights freeze
        double wanted =
                worst.delaySlope > 0 ? (worst.meanDelay - delayGoalMs(worst)) / worst.delaySlope : INITIAL_WEIGHT_STEP;
        double moved = 0;
        for (ClassState classState : classStates) {
            if (surplus(classState) <= 0) continue;
            double maxDonation = classState.delaySlope > 0
                    ? ((1 - EPSILON) * delayGoalMs(classState) - classState.meanDelay) / classState.delaySlope
                    : INITIAL_WEIGHT_STEP;
            double donation = BETA * Math.min(wanted * surplus(classState) / surplus, maxDonation);
            donation = Math.max(0, Math.min(donation, classState.weight - MIN_WEIGHT));
            classState.weight -= donation;
            moved += donation;
        }
        worst.weight += moved;
        return moved > 0;
    }

    private static double surplus(ClassState classState) {
        if (classState.meanDelay > (1 - EPSILON) * delayGoalMs(classState)) return 0;
        return (delayGoalMs(classState) - classState.meanDelay)
                / (classState.delaySlope > 0 ? classState.delaySlope : delayGoalMs(classState));
    }

    // ---- hosts

    /** Failures tell of a class on a host, which may serve the others as before; slow answers of the host. */
    private static double slowness(double now, TrackedHost host, ClassState classState) {
        return host.health.slowness(now) * host.classHealth(classState).slowness(now);
    }

    @Override
    public int avoidedHostCount(double now) {
        return (int) hosts.values().stream()
                .filter(host -> host.listed && isAvoided(now, host))
                .count();
    }

    /** A host that drains, or that is taken to be in trouble for every class. */
    private boolean isAvoided(double now, TrackedHost host) {
        return !host.isEligible()
                || classes.values().stream()
                        .allMatch(classState -> slowness(now, host, classState) >= UNHEALTHY_SLOWNESS);
    }

    /** Counts the hosts in use, so that each event needs only look-ups. */
    private void refreshHosts(double now) {
        hostsRefreshedAt = now;
        eligibleHosts.clear();
        warmCapacity = 0;
        for (TrackedHost host : hosts.values()) {
            if (!host.isEligible()) continue;
            eligibleHosts.add(host);
            warmCapacity +=
                    host.health.slowness(now) < FULL_HOST_SLOWNESS ? host.capacityShare(now, settings.rules()) : 0;
        }
        // Each gateway keeps to some hosts, in turn with the others: more answers and warm connections at
        // each, and tables that do not fill where there are hundreds of gateways.
        eligibleHosts.sort(Comparator.comparing(host -> host.info.id().hashCode()));
        subset.clear();
        int subsetSize = Math.max(MIN_SUBSET_SIZE, MIN_GATEWAYS_PER_HOST * eligibleHosts.size() / peers.length);
        for (int i = 0; i < Math.min(subsetSize, eligibleHosts.size()); i++) {
            subset.add(eligibleHosts.get(
                    (int) (((long) settings.gatewayNumber() * subsetSize + i) % eligibleHosts.size())));
        }
    }

    /**
     * The best of a few hosts drawn by what each can do; null where none may be used. The best by the few own
     * counts of one of many gateways would be the best of all at once, so hosts are drawn: as many as own
     * attempts out can tell apart, and where that is all of them, all.
     */
    private TrackedHost pickHost(double now, RequestState request) {
        int candidateCount = Math.min(subset.size(), MIN_CANDIDATES + 2 * attemptsInFlight);
        TrackedHost best = bestHost(
                now,
                request,
                canCompareSubset() ? subset : drawCandidates(now, request.classState, candidateCount),
                candidateCount);
        return best != null ? best : bestHost(now, request, eligibleHosts, eligibleHosts.size());
    }

    private boolean canCompareSubset() {
        return MIN_CANDIDATES + 2 * attemptsInFlight >= subset.size();
    }

    private Collection<TrackedHost> drawCandidates(double now, ClassState classState, int candidateCount) {
        LinkedHashSet<TrackedHost> candidates = new LinkedHashSet<>();
        for (int i = 0; i < candidateCount * MAX_SCANNED && candidates.size() < candidateCount; i++) {
            TrackedHost host = subset.get(random.nextInt(subset.size()));
            if (random.nextDouble() * slowness(now, host, classState) <= 1) candidates.add(host);
        }
        return candidates;
    }

    private TrackedHost bestHost(
            double now, RequestState request, Collection<TrackedHost> candidates, int candidateCount) {
        TrackedHost best = null;
        double bestScore = Double.MAX_VALUE;
        for (TrackedHost host : candidates) {
            if (!host.isEligible() || !mayRunOn(now, request, request.firstPossibleRun(), host)) continue;
            // A cold host has nothing out and so wins: it takes part as seldom as it may win (rule 4).
            double capacityShare = host.capacityShare(now, settings.rules());
            double allowance = COLD_ALLOWANCE_SHARE * settings.rules().fallMultiple() * capacityShare;
            if (capacityShare < 1 && random.nextDouble() * candidateCount > allowance) continue;
            double score = score(now, request, host) * (1 + 1e-3 * random.nextDouble());
            if (score < bestScore) best = host;
            bestScore = Math.min(bestScore, score);
        }
        return best;
    }

    private double score(double now, RequestState request, TrackedHost host) {
        double slowness = slowness(now, host, request.classState);
        if (!canCompareSubset() && slowness < UNHEALTHY_SLOWNESS) slowness = 1; // drawn by it already
        for (Attempt attempt : request.attempts) {
            if (attempt.host == host) slowness *= FULL_HOST_SLOWNESS;
        }
        // A zone is preferred only where own counts show its load, or all would gather in a crowded one.
        double zoneCost = !canCompareSubset() || host.info.zone().equals(settings.zone())
                ? 0
                : CROSS_ZONE_COST * request.expectedMs();
        return (request.expectedMs() + host.expectedMsInFlight) * slowness / host.capacityShare(now, settings.rules())
                + zoneCost;
    }

    /** Rule 2: once an attempt may have run, only where a repeat does no harm. */
    private boolean mayRunOn(double now, RequestState request, Attempt possibleRun, TrackedHost host) {
        return isRepeatable(now, request, possibleRun)
                && (possibleRun == null
                        || request.classState.spec.effect() != Effect.KEYED
                        || request.classState.spec.keyScope().dropsSameKeys(host.info, possibleRun.host.info));
    }

    private boolean isRepeatable(double now, RequestState request, Attempt possibleRun) {
        RequestClass spec = request.classState.spec;
        return possibleRun == null
                || spec.effect() == Effect.REPEATABLE
                || spec.effect() == Effect.KEYED && now < possibleRun.sentAt + usableKeyWindowMs(spec);
    }

    /** A further attempt may first wait for a connection as long as one may take to come up. */
    private double usableKeyWindowMs(RequestClass spec) {
        return Math.min(
                KEY_WINDOW_SHARE * spec.keyWindowMs(),
                spec.keyWindowMs() - settings.limits().connectTimeoutMs());
    }

    private boolean acquireRetry(double now, RequestState request) {
        boolean allowed = isRepeatable(now, request, request.firstPossibleRun())
                && !request.streaming
                && now < holdDeadline(request)
                && retryTokens >= 1
                && request.attempts.size() < settings.limits().maxAttempts();
        retryTokens -= allowed ? 1 : 0;
        return allowed;
    }

    private void recordOutcome(double now, RequestState request, Attempt attempt, AttemptResult result) {
        TrackedHost host = attempt.host;
        ClassState classState = request.classState;
        switch (result.outcome()) {
            case OK -> {
                host.health.observe(now, result.latencyMs() / Math.max(1, attempt.expectedMs), LATENCY_GAIN);
                host.classHealth(classState).observe(now, 1, FAILURE_GAIN);
                double perUnit = result.latencyMs() / Math.max(0.1, request.details.units());
                classState.samples++;
                classState.latencyPerUnit +=
                        Math.max(0.03, 1.0 / classState.samples) * (perUnit - classState.latencyPerUnit);
                classState.recordDelay(0, result.latencyMs());
                if (request.customer != null && settings.coordination().postPaid() && result.actualUnits() > 0) {
                    charge(now, request.customer, result.actualUnits() - request.details.units(), 0);
                    if (request.countedInTotal)
                        addUnreported(request.customer, result.actualUnits() - request.details.units());
                }
            }
            // No connection: down or full, the host takes nothing from us now; one is enough.
            case CONNECT_FAILED -> host.health.observe(now, Health.MAX_SLOWNESS, 1);
            case FULL -> host.health.observe(now, FULL_HOST_SLOWNESS, FAILURE_GAIN);
            case ERROR, RESET, TIMEOUT -> host.classHealth(classState).observe(now, Health.MAX_SLOWNESS, FAILURE_GAIN);
            default -> {}
        }
        if (result.outcome() == Outcome.OK || result.outcome() == Outcome.TIMEOUT) {
            latencySum += result.latencyMs(); // a time-out is an answer at least that late
            baselineSum += classState.baselineLatency * request.details.units();
            goalShareSum += result.latencyMs() / classState.spec.goalMs();
            answerCount++;
        }
        if (request.customer != null) applyMeterReading(now, request.customer, result.meterReading());
    }

    private void checkOverdueAttempts(double now) {
        for (TrackedHost host : new ArrayList<>(busyHosts)) {
            for (Attempt attempt : new ArrayList<>(host.attemptsInFlight)) {
                double expectedMs = attempt.expectedMs * Math.max(1, host.health.slowness(now));
                if (attempt.overdue || now - attempt.sentAt <= OVERDUE_EXPECTED_TIMES * expectedMs + OVERDUE_MIN_MS)
                    continue;
                attempt.overdue = true;
                host.classHealth(attempt.request.classState).observe(now, Health.MAX_SLOWNESS, FAILURE_GAIN);
                boolean useful = !attempt.request.closed
                        && !attempt.request.streaming
                        && now + attempt.expectedMs < holdDeadline(attempt.request);
                boolean safe = attempt.request.classState.spec.effect() != Effect.ONCE
                        && settings.limits().mayCancel();
                if (useful && safe && retryTokens >= 1) actions.cancel(attempt.request.details.id(), attempt.number);
            }
        }
    }

    private void evictIdle(double now) {
        if (now - sweptAt < SWEEP_INTERVAL_MS) return;
        sweptAt = now;
        unreportedCustomers.removeIf(customer -> now - customer.refilledAt > IDLE_EXPIRY_MS);
        customers
                .values()
                .removeIf(customer -> now - customer.refilledAt > IDLE_EXPIRY_MS
                        && customer.openRequests == 0
                        && customer.pending.isEmpty());
        hosts.values().removeIf(host -> !host.listed && host.attemptsInFlight.isEmpty());
    }
}
