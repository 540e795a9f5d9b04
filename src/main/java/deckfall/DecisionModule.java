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
 * Makes every decision of one gateway; its interface (events, actions, settings) is in Gateway.java.
 *
 * <p>It decides on the admission of requests, the order in which queued requests are dispatched, the weights of request
 * classes, the choice and the health of hosts, retries and the messages to peer gateways. It does no input or output
 * and reads no clock: it is called with events, each with its time, and answers with actions. Equal events lead to
 * equal actions. It isn't thread-safe.
 *
 * <p>Comments refer to these rules by number:
 *
 * <ol>
 *   <li>Each request gets exactly one response, before its deadline.
 *   <li>A request that may have run is repeated only where a repeat does no harm.
 *   <li>A host that drains or has gone gets no new requests.
 *   <li>A cold host gets no more than its allowance from all gateways together.
 *   <li>The cap of a customer's plan is never exceeded by all gateways together, even across restarts.
 * </ol>
 */
public final class DecisionModule implements Gateway.Events {
    // ---- constants: timers

    /** Token of the periodic timer. */
    private static final String TICK_TIMER = "beat";

    /** Token of the timer that repeats a failed subscription to the host list. */
    private static final String SUBSCRIBE_TIMER = "watch";

    /** Period of the tick, on which queued requests expire and messages to peers leave. */
    private static final double TICK_MS = 20;

    /** Period of the removal of idle customers and of hosts that left the list. */
    private static final double SWEEP_INTERVAL_MS = 5000;

    /** A customer that is idle for this long is evicted: its token bucket is full again. */
    private static final double IDLE_EXPIRY_MS = 60_000;

    // ---- constants: admission by a gateway's own share of a quota

    /** Time constant of the demand average; it has to exceed the gaps between requests. */
    private static final double DEMAND_AVERAGING_MS = 2000;

    /**
     * Share of the quota's rate that is added to the demand of the set, split evenly, so that no gateway's share is 0.
     */
    private static final double EVEN_SHARE_PRIOR = 0.05;

    /** Share of the whole quota by which each new meter reading that leaves room raises a share with unmet demand. */
    private static final double SHARE_RAISE_STEP = 0.1;

    /** An owner's report older than this no longer allows admission without a query to the owner. */
    private static final double FRESH_LEVEL_MS = 1000;

    /** Once an owner's report is older than this, the even share applies. */
    private static final double STALE_LEVEL_MS = 3000;

    /** Age of a reported level on arrival: half the gap between messages plus the network latency. */
    private static final double REPORT_LAG_MS = 60;

    /** Mean age of a metered period's reading when it first arrives. */
    private static final double METER_LAG_MS = 860;

    /** Share of the quota's rate that a customer is assumed to use before its first meter reading. */
    private static final double ASSUMED_USE_SHARE = 0.5;

    /** Share of the other gateways' part of the burst that is assumed to be unused. */
    private static final double OTHERS_FREE_SHARE = 0.5;

    /** Share of the quota's rate that the other gateways may use unseen, in addition to their reported demand. */
    private static final double UNSEEN_USE_SHARE = 0.6;

    // ---- constants: admission in a set so wide that no gateway's share holds a whole request

    /** Expired quota, in bursts, from which the counter's total is corrected. */
    private static final double MIN_EXPIRED_BURSTS = 1;

    /** Chance of room from which a counter call adds the request's own units before the request is admitted. */
    private static final double LIKELY_ROOM_CHANCE = 0.5;

    /** Lifetime of a counter result or meter reading as evidence, in times in which the quota refills a burst. */
    private static final double EVIDENCE_BURSTS = 2;

    /** Upper limit of the expected cost of excess, as a share of the admitted worth. */
    private static final double MAX_EXCESS_COST_SHARE = 0.03;

    /**
     * Factor by which each admitted request raises the admission margin while {@link #MAX_EXCESS_COST_SHARE} is
     * exceeded, and lowers it otherwise.
     */
    private static final double MARGIN_STEP = 1.05;

    /** Initial admission margin: an admission without a counter call has to earn this many times its expected cost. */
    private static final double INITIAL_MARGIN = 4;

    private static final double MAX_MARGIN = 5;

    /** Largest use in a metered period that may be one gateway's own, in requests of the largest size. */
    private static final double MAX_OWN_USE_REQUESTS = 1.5;

    /** Share of a unit's worth that a counter call saves by correcting the total by that unit. */
    private static final double CORRECTION_WORTH_SHARE = 0.3;

    /** Weight of one request in the mean worth. */
    private static final double MEAN_WORTH_GAIN = 0.02;

    // ---- constants: owners of customers and messages between gateways

    /** Shortest retry delay that a refusal advises. */
    private static final double MIN_RETRY_AFTER_MS = TICK_MS;

    /** Gateways of a customer's set that keep its account; with two, one may be down. */
    private static final int OWNER_COUNT = 2;

    /** An owner's answer that takes longer than this counts as missing. */
    private static final double OWNER_ANSWER_TIMEOUT_MS = 150;

    /** A peer that missed an answer gets no further queries for this long. */
    private static final double UNRESPONSIVE_MS = 1000;

    /** Share of the peers' message rate limit that is used; the rest absorbs bursts. */
    private static final double PEER_MESSAGE_RATE_SHARE = 0.8;

    /** Messages that may leave at once, as the time in which the rate limit allows that many. */
    private static final double PEER_MESSAGE_BURST_MS = 150;

    /** Upper limit of the minimum gap between two messages to one peer. */
    private static final double MAX_PEER_MESSAGE_GAP_MS = 50;

    /** Interval at which the deciding owner of a customer reports to the customer's other owner. */
    private static final double OWNER_SYNC_INTERVAL_MS = 300;

    /** Largest message to a peer. */
    private static final int MAX_PEER_MESSAGE_BYTES = 256;

    /** Share of a cap that belongs to the primary owner; the rest is split evenly over the set. */
    private static final double PRIMARY_OWNER_CAP_SHARE = 0.5;

    /** Interval at which a customer's use is added to the counter when no request needs a call. */
    private static final double COUNTER_REPORT_INTERVAL_MS = 500;

    /** Lifetime of a counter name. */
    private static final double COUNTER_LIFETIME_MS = 60_000;

    /** Time that a request must have left before its deadline to wait for the counter's result. */
    private static final double COUNTER_CALL_ALLOWANCE_MS = 150;

    // ---- constants: dispatch of queued requests

    /** Extra concurrency for bursts, in square roots of the even share of the fleet's concurrency. */
    private static final double BURST_HEADROOM = 0.7;

    /** Initial concurrency limit of a host, over all gateways. */
    private static final double INITIAL_CONCURRENCY_PER_HOST = 6;

    /** Smallest concurrency limit of a host, over all gateways; with fewer its cores would idle. */
    private static final double MIN_CONCURRENCY_PER_HOST = 3;

    /** Largest concurrency limit of a host, over all gateways; beyond it no host gains throughput. */
    private static final double MAX_CONCURRENCY_PER_HOST = 128;

    /** Factor on the limit at each adjustment, while requests wait and hosts respond fast. */
    private static final double CONCURRENCY_INCREASE = 1.15;

    /** Factor on the limit at each adjustment, while latency shows queueing at the hosts. */
    private static final double CONCURRENCY_DECREASE = 0.85;

    /** Interval between two adjustments of the limit. */
    private static final double CONCURRENCY_INTERVAL_MS = 250;

    /** Responses needed for an adjustment; with fewer, it waits for this many intervals. */
    private static final int CONCURRENCY_MIN_RESPONSES = 8;

    /** Factor on the latency baseline at each adjustment, so that a lasting change becomes the new baseline. */
    private static final double BASELINE_DRIFT = 1.002;

    /** Smallest weight of one response in the mean latency of a class. */
    private static final double MIN_LATENCY_MEAN_GAIN = 0.03;

    /** Responses after which the latency baseline no longer follows the average upwards. */
    private static final int BASELINE_MIN_SAMPLES = 20;

    /** Ratio of latency to its baseline above which hosts are taken to queue. */
    private static final double QUEUEING_LATENCY_RATIO = 1.7;

    /** Mean latency, as a share of the goal, below which it does no harm. */
    private static final double HARMLESS_GOAL_SHARE = 0.1;

    /** Late value of a class from which a request is worth sending after its latency goal. */
    private static final double MIN_LATE_VALUE = 0.5;

    /** Time that a queued request must still have, in multiples of its expected time. */
    private static final double REQUIRED_EXPECTED_TIMES = 3;

    /** Share of the latency goal for which any request may be queued. */
    private static final double MIN_HOLD_GOAL_SHARE = 0.1;

    /** Mean latency, as a share of the goal, that is always taken as queueing. */
    private static final double QUEUEING_GOAL_SHARE = 0.5;

    /** Weight of one dispatch in the mean gap between dispatches. */
    private static final double DISPATCH_GAP_GAIN = 0.1;

    /** Expected time of the largest request before the first response, as a share of the latency goal. */
    private static final double INITIAL_LATENCY_GOAL_SHARE = 0.2;

    /** Queued requests of a class examined in one turn when the ones ahead have no permitted host. */
    private static final int MAX_SCANNED = 16;

    // ---- constants: class weights

    // Weight moves between classes by partial donation: a class that misses its delay goal takes weight from classes
    // with a surplus. ALPHA, BETA and EPSILON are the names of that algorithm's parameters.

    /** Weight of the previous average when the mean delay is updated. */
    private static final double ALPHA = 0.7;

    /** Share of a computed donation that is applied. */
    private static final double BETA = 0.5;

    /** Half-width of the band around the delay goal, relative to the goal, in which a class neither takes nor gives. */
    private static final double EPSILON = 0.1;

    /** Mean delay that a class may have, as a share of its latency goal. */
    private static final double DELAY_GOAL_SHARE = 0.6;

    /** Interval over which delays are averaged. */
    private static final double DELAY_INTERVAL_MS = 500;

    /** Interval between donations; it doubles after each donation. */
    private static final double MIN_DONATION_INTERVAL_MS = 1000;

    private static final double MAX_DONATION_INTERVAL_MS = 8000;

    /** Donation before the slope of a class is known, as a share of the total weight. */
    private static final double INITIAL_WEIGHT_STEP = 0.05;

    /** Smallest weight of a class, as a share of the total weight. */
    private static final double MIN_WEIGHT = 0.02;

    // ---- constants: hosts

    /** Weight of one response's latency in a host's slowness. */
    private static final double LATENCY_GAIN = 0.12;

    /** Weight of a failure, or of an overdue attempt, in the slowness of a host. */
    private static final double FAILURE_GAIN = 0.4;

    /** Slowness recorded for a host that is full, and applied to a host that the request has already tried. */
    private static final double FULL_HOST_SLOWNESS = 4;

    /** Slowness above the range of random variation; a host that reaches it is taken to be unhealthy. */
    private static final double UNHEALTHY_SLOWNESS = 2.2;

    /** An attempt is overdue after this many times its expected time plus {@link #OVERDUE_MIN_MS}. */
    private static final double OVERDUE_EXPECTED_TIMES = 5;

    private static final double OVERDUE_MIN_MS = 400;

    /** Cost of crossing zones, as a share of the score of an idle host. */
    private static final double CROSS_ZONE_COST = 0.05;

    /** Share of a cold host's allowance that is used; the rest absorbs bursts. */
    private static final double COLD_ALLOWANCE_SHARE = 0.7;

    /** Smallest subset of hosts that a gateway uses as long as they serve. */
    private static final int MIN_SUBSET_SIZE = 8;

    /** The subset is larger where otherwise fewer gateways than this would use a host. */
    private static final int MIN_GATEWAYS_PER_HOST = 6;

    /** Smallest number of hosts to compare; more are compared where this gateway's own counts can tell them apart. */
    private static final int MIN_CANDIDATES = 2;

    /** Draws at most for each host to compare, since a slow host is not taken at each draw. */
    private static final int MAX_DRAWS_PER_CANDIDATE = 16;

    /** Further hosts to compare for each attempt in flight. */
    private static final int CANDIDATES_PER_ATTEMPT = 2;

    /** Random part of a score that decides between hosts of equal score. */
    private static final double TIE_BREAK_NOISE = 1e-3;

    /** Interval at which the eligible hosts are listed anew. */
    private static final double HOST_REFRESH_INTERVAL_MS = 500;

    /** Retries that each first attempt earns. */
    private static final double RETRY_BUDGET_SHARE = 0.2;

    /** Size of the token bucket of retries. */
    private static final double MAX_RETRY_TOKENS = 20;

    /** Share of a key's window in which a retry may leave; the rest covers the way to the host. */
    private static final double KEY_WINDOW_SHARE = 0.9;

    /** A request is refused or failed this long before its deadline: two ticks. */
    private static final double DEADLINE_MARGIN_MS = 40;

    private final Actions actions;
    private final Map<String, ClassState> classes = new LinkedHashMap<>();
    private final Map<String, Integer> planNumbers = new LinkedHashMap<>();
    private final CustomerTable customers = new CustomerTable();
    private final Map<String, TrackedHost> hosts = new LinkedHashMap<>();
    private final Map<String, RequestState> requests = new LinkedHashMap<>();

    /** Peers to which a message is due, in the order in which they were added. */
    private final ArrayDeque<PeerState> outbox = new ArrayDeque<>();

    /** Requests that wait for an owner's answer. */
    private final LinkedHashSet<RequestState> ownerQueries = new LinkedHashSet<>();

    private final LinkedHashSet<CustomerState> unreportedCustomers = new LinkedHashSet<>();

    /** Hosts with attempts in flight. */
    private final LinkedHashSet<TrackedHost> busyHosts = new LinkedHashSet<>();

    private final List<TrackedHost> eligibleHosts = new ArrayList<>();

    /** The eligible hosts that this gateway prefers. */
    private final List<TrackedHost> subset = new ArrayList<>();

    private PeerState[] peers = new PeerState[0];
    private Settings settings;
    private Random random;

    /** Identifies this run of the gateway process: the time of its start, truncated to 32 bits. */
    private int epoch;

    private double startedAt;
    private double concurrencyAdjustedAt;
    private double sweptAt;
    private double delayIntervalEndedAt;
    private double donatedAt;
    private double messageTokensAt;
    private double hostsRefreshedAt;
    private CallBudget callBudget;

    /** One for each plan, by its number. */
    private AdmissionEstimate[] admissionEstimates;

    private final ExcessEstimate excessEstimate = new ExcessEstimate();
    private double admissionMargin = INITIAL_MARGIN;
    private double counterRepliedAt = DecisionState.NEVER;
    private double meanWorth;

    /** Messages that may leave now, as a token bucket. */
    private double messageTokens;

    private double donationIntervalMs = MIN_DONATION_INTERVAL_MS;

    /** Whether requests have waited at the concurrency limit since the last donation. */
    private boolean requestsWaited;

    private int attemptsInFlight;

    /** Responses since the last adjustment of the concurrency limit; the three sums below cover the same ones. */
    private int responseCount;

    private double latencySum;
    private double baselineSum;
    private double goalShareSum;
    private int processCount = 1;
    private double concurrencyPerHost = INITIAL_CONCURRENCY_PER_HOST;

    /** Capacity of the eligible hosts, in warm hosts. */
    private double warmCapacity;

    /** The virtual time of fair queueing: that of the class that dispatched last. */
    private double virtualTime;

    private double retryTokens = MAX_RETRY_TOKENS / 2;

    /** Creates a module that acts through {@code actions}; its first event has to be {@link #start}. */
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
        actions.startTimer(TICK_MS, TICK_TIMER);
    }

    @Override
    public void hostsUpdated(double now, HostListKind kind, List<Host> updates) {
        if (kind == HostListKind.FAILED) actions.startTimer(STALE_LEVEL_MS, SUBSCRIBE_TIMER);
        if (kind == HostListKind.FAILED) return;
        if (kind != HostListKind.CHANGES) hosts.values().forEach(host -> host.listed = false);
        updates.forEach(update -> hosts.computeIfAbsent(update.id(), id -> new TrackedHost(update))
                .update(update));
        refreshHosts(now);
        dispatchQueued(now);
    }

    @Override
    public void requestReceived(double now, Request details) {
        ClassState classState = classes.get(details.requestClass());
        if (classState == null) actions.refuse(details.id(), 0, Refusal.UNKNOWN);
        if (classState == null) return;
        Integer planNumber = planNumbers.get(details.plan());
        if (planNumber != null && !customers.contains(details.customer()) && !customers.makeRoom(now)) {
            actions.refuse(details.id(), 0, Refusal.CUSTOMERS);
            return;
        }
        CustomerState customer = planNumber == null
                ? null
                : customerState(now, details.customer(), planNumber, details.first(), details.spread());
        RequestState request = new RequestState(details, classState, customer, now);
        requests.put(details.id(), request);
        switch (customer == null ? AdmissionVerdict.ADMIT : decideAdmission(now, request)) {
            case ADMIT -> admit(now, request);
            case REFUSE -> admitOrRefuse(now, request, false);
            case CALL_COUNTER -> holdForCounterCall(now, request);
            default -> queryOwner(now, request, 0);
        }
        if (customer != null && request.admitted) notifyOwners(now, customer);
        flushOutbox(now);
    }

    /** Admits a request: charges its units, puts it into its class's queue and dispatches it if it can. */
    private void admit(double now, RequestState request) {
        ClassState classState = request.classState;
        request.admitted = true;
        CustomerState customer = request.customer;
        if (customer != null) customer.requestAdmitted(now);
        if (customer != null) charge(now, customer, request.details.units(), request.details.units());
        if (classState.queue.isEmpty()) classState.virtualTime = Math.max(classState.virtualTime, virtualTime);
        classState.queue.addLast(request);
        dispatchQueued(now);
        // A request that would wait past its hold deadline is refused at once instead of being queued (rule 1).
        boolean queued = !request.closed && request.attempts.isEmpty();
        if (queued && now + classState.queue.size() * classState.meanDispatchGap >= holdDeadline(request))
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
        dispatchQueued(now);
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
        if (token.equals(SUBSCRIBE_TIMER)) actions.subscribeHosts();
        if (!token.equals(TICK_TIMER)) return;
        actions.startTimer(TICK_MS, TICK_TIMER);
        expireQueued(now);
        expireOwnerQueries(now);
        reportUsage(now);
        if (now - hostsRefreshedAt >= HOST_REFRESH_INTERVAL_MS) refreshHosts(now);
        checkOverdueAttempts(now);
        adjustConcurrency(now);
        adjustWeights(now);
        evictIdle(now);
        dispatchQueued(now);
        flushOutbox(now);
    }

    // ---- admission by a gateway's own share

    /** The decision on a request, or what it depends on: an owner's answer or the counter. */
    private enum AdmissionVerdict {
        ADMIT,
        REFUSE,
        QUERY_OWNER,
        CALL_COUNTER
    }

    /** Returns the refilled state of a customer; it is created on first use or if the plan has changed. */
    private CustomerState customerState(double now, long id, int planNumber, int first, int spread) {
        CustomerState customer = customers.get(id);
        if (customer == null || customer.planNumber != planNumber) {
            Plan plan = settings.plans().get(planNumber);
            int boundedSpread = Math.max(1, Math.min(spread, peers.length));
            int[] owners = DecisionState.rankGateways(id, first, boundedSpread, peers.length, OWNER_COUNT);
            customer = new CustomerState(id, planNumber, plan, first, boundedSpread, owners, now);
            customer.quotaLevel = plan.burst();
            customer.spareUnits = maxSpareUnits(customer, 1.0 / boundedSpread);
            // A bucket that is smaller than one request is of no use, but one free request at each gateway of a wide
            // set would add up to many bursts.
            customer.ownTokens = hasWideSet(customer)
                    ? plan.burst() / customer.spread
                    : Math.max(plan.burst() / customer.spread, minBucketSize(plan));
            // The cap's bucket starts with what has been refilled since this gateway started, never with a burst, which
            // this gateway may have spent before a restart (rule 5).
            double filled = (now - startedAt) / 1000 * plan.capRate() * capShare(customer);
            customer.capTokens = Math.min(maxCapTokens(customer), filled);
            customers.put(customer);
        }
        refill(now, customer);
        return customer;
    }

    /** This gateway's share of a customer's cap. The shares of a set sum to 1, and only their holders spend them. */
    private double capShare(CustomerState customer) {
        if (customer.spread == 1) return 1;
        return (customer.owners[0] == settings.gatewayNumber() ? PRIMARY_OWNER_CAP_SHARE : 0)
                + (1 - PRIMARY_OWNER_CAP_SHARE) / customer.spread;
    }

    /** The size of this gateway's bucket of the cap. */
    private double maxCapTokens(CustomerState customer) {
        return customer.plan.capBurst() * capShare(customer);
    }

    /** Refills a customer's token buckets for the time since the last refill, and decays the demand averages. */
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
        // Units that are admitted but not sent yet haven't left the cap's true bucket, which may not overfill (rule 5).
        customer.capTokens = Math.min(
                maxCapTokens(customer) - customer.unsentUnits,
                customer.capTokens + plan.capRate() * capShare(customer) * elapsedSeconds);
    }

    /**
     * The largest number of spare units. Only a share of the others' part of the burst counts as free, since all
     * gateways of the set make the same estimate.
     */
    private double maxSpareUnits(CustomerState customer, double share) {
        return customer.plan.burst() * (share + (1.0 / processCount - share) * OTHERS_FREE_SHARE);
    }

    /** A bucket has to hold at least one request of the largest size. */
    private double minBucketSize(Plan plan) {
        return Math.min(plan.burst(), settings.coordination().maxUnitsPerRequest());
    }

    /** Units a second used by the other gateways of the set, by the meter; an assumed use before its first reading. */
    private double othersRate(CustomerState customer) {
        if (customer.meterSeconds <= 0) return ASSUMED_USE_SHARE * customer.plan.rate() * (1 - 1.0 / customer.spread);
        return Math.max(0, customer.meterTotal - customer.meterOwn) / customer.meterSeconds;
    }

    /**
     * Returns whether the whole quota has room for the units after what the other gateways may have used unseen. Most
     * customers use only a part of their quota, so the units that one gateway's bucket lacks are in the others'.
     * Without a meter this is an estimate that all gateways of the set make in the same way, so it is used only for
     * plans whose excess costs little.
     */
    private boolean hasSpareUnits(CustomerState customer, double units) {
        double unseenUnits = othersRate(customer) * METER_LAG_MS / 1000;
        boolean mayEstimate = settings.coordination().meterPeriodMs() > 0 || !hasCostlyExcess(customer.plan);
        return mayEstimate
                && !settings.limits().mayMessagePeers()
                && customer.spread > 1
                && customer.spareUnits - unseenUnits >= units;
    }

    /** This process's share of a customer's demand; the shares that follow from one owner's report sum to 1. */
    private double processShare(double now, CustomerState customer) {
        return gatewayShare(now, customer) / processCount;
    }

    /** The share of all processes of this gateway together. */
    private double gatewayShare(double now, CustomerState customer) {
        if (customer.spread == 1) return 1;
        if (!settings.limits().mayMessagePeers())
            return now - customer.meterAt < STALE_LEVEL_MS ? customer.meterShare : 1.0 / customer.spread;
        if (now - customer.sharedLevelAt > STALE_LEVEL_MS
                && decidingOwner(now, customer, 0) != settings.gatewayNumber()) return 1.0 / customer.spread;
        double prior = EVEN_SHARE_PRIOR * customer.plan.rate();
        return (customer.demand + prior / customer.spread) / (customer.demand + customer.othersDemand + prior);
    }

    /** The gateway that decides on a customer, searched from owner {@code ownerIndex} on; -1 if none is available. */
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

    /**
     * Returns whether this gateway, as an owner, has no report of the use before its start. This ends when a peer
     * reports the level, or once the time since the start has refilled a whole burst, so that the earlier use no longer
     * matters.
     */
    private boolean isUninformed(double now, CustomerState customer) {
        return !customer.informed && (now - startedAt) / 1000 * customer.plan.rate() < customer.plan.burst();
    }

    /** Decides on a request or, if this gateway can't decide it, whether an owner or the counter is to be queried. */
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
        if (hasQuota) request.evidenceIndex = evidenceIndex(now, request);
        if (hasQuota && hasWideSet(customer)) return decideWideSet(now, request);
        boolean queriesOwner = settings.limits().mayMessagePeers() && customer.spread > 1;
        int decidingOwner = decidingOwner(now, customer, 0);
        boolean hasRoom = !hasQuota
                || decidingOwner == settings.gatewayNumber() && queriesOwner
                || customer.ownTokens >= units && (!queriesOwner || now - customer.sharedLevelAt < FRESH_LEVEL_MS)
                || hasSpareUnits(customer, units)
                || (queriesOwner || usesCounter(customer))
                        && now - customer.sharedLevelAt < FRESH_LEVEL_MS
                        && customer.quotaLevel - unseenUseReserve(now, customer) >= units;
        // Rule 5: the own share of the cap may be spent without a query to a peer.
        boolean hasCapRoom = plan.capRate() <= 0 || customer.capTokens >= units;
        if (hasRoom && hasCapRoom) return AdmissionVerdict.ADMIT;
        request.requestedUnits = units;
        if (usesCounter(customer) && hasCapRoom && drawsCounterCall(now, request, roomChance(request)))
            return AdmissionVerdict.CALL_COUNTER;
        return queriesOwner ? AdmissionVerdict.QUERY_OWNER : AdmissionVerdict.REFUSE;
    }

    /** Returns whether so many gateways share a customer that an even share of the burst holds no whole request. */
    private boolean hasTooSmallShares(CustomerState customer) {
        return !settings.limits().mayMessagePeers()
                && customer.plan.burst() / customer.spread
                        < settings.coordination().maxUnitsPerRequest();
    }

    /** Returns whether a share of the quota is too small to show its state, so that {@link #decideWideSet} decides. */
    private boolean hasWideSet(CustomerState customer) {
        return hasTooSmallShares(customer)
                && customer.plan.capRate() <= 0
                && (settings.coordination().hasCounter() || hasCostlyExcess(customer.plan));
    }

    /** Returns whether excess in this plan costs at least the mean over all plans. */
    private boolean hasCostlyExcess(Plan plan) {
        double mean = settings.plans().stream()
                .mapToDouble(Plan::weightedExcessLoss)
                .average()
                .orElse(0);
        return plan.weightedExcessLoss() >= mean;
    }

    /**
     * Decides on a request of a wide set. A counter call is made at random, with a probability in proportion to what it
     * would save over an estimate. Requests admitted without a call are counted by sampling: each call adds the units
     * of the requests without a call that it represents, so the counter's total is unbiased.
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
        if (!admits && foundEmpty) return AdmissionVerdict.REFUSE; // a recent call found the quota empty
        boolean callsCounter =
                drawsCounterCall(now, request, admits ? expectedExcessCost(now, request) : roomChance(request));
        if (!callsCounter && admits) adjustAdmissionMargin(request, roomChance(request));
        if (!callsCounter) return admits ? AdmissionVerdict.ADMIT : AdmissionVerdict.REFUSE;
        // If room is unlikely, the units are added once the request is admitted.
        request.requestedUnits = roomChance(request) >= LIKELY_ROOM_CHANCE ? units : 0;
        request.sampledUnits = admits ? units * (1 / (request.callProbability * callBudget.allowedShare()) - 1) : 0;
        return AdmissionVerdict.CALL_COUNTER;
    }

    /** Draws whether to make a counter call that saves this share of the request's worth. */
    private boolean drawsCounterCall(double now, RequestState request, double savedWorthShare) {
        request.callProbability = Math.min(1, request.worth() * savedWorthShare / callBudget.price(now));
        return random.nextDouble() < request.callProbability && callBudget.allowsCall(now);
    }

    /** The estimated probability that the whole quota has room for a request. */
    private double roomChance(RequestState request) {
        return admissionEstimates[request.customer.planNumber].chance(request.evidenceIndex);
    }

    /** The expected cost of admitting a request without a call, relative to its worth and scaled by the margin. */
    private double expectedExcessCost(double now, RequestState request) {
        boolean marginApplies = now - counterRepliedAt < STALE_LEVEL_MS;
        return (marginApplies ? admissionMargin : 1)
                * request.customer.plan.excessLossRatio()
                * (1 - roomChance(request));
    }

    /** Returns whether admitting the request without a counter call pays on average. */
    private boolean isAdmissionWorthwhile(double now, RequestState request) {
        return roomChance(request) > expectedExcessCost(now, request);
    }

    /** Raises the margin as long as the expected cost of excess exceeds its limit, and lowers it otherwise. */
    private void adjustAdmissionMargin(RequestState request, double chance) {
        excessEstimate.record(
                request.worth() * chance, request.worth() * (1 - chance) * request.customer.plan.excessCost());
        double factor = excessEstimate.costShare() > MAX_EXCESS_COST_SHARE ? MARGIN_STEP : 1 / MARGIN_STEP;
        admissionMargin = Math.max(1, Math.min(MAX_MARGIN, admissionMargin * factor));
    }

    /** The time for which a counter result or a meter reading counts as evidence. */
    private static double evidenceLifetimeMs(Plan plan) {
        return EVIDENCE_BURSTS * 1000 * plan.burst() / plan.rate();
    }

    /** The index of the evidence on a request's customer: the last counter result and meter reading. */
    private int evidenceIndex(double now, RequestState request) {
        CustomerState customer = request.customer;
        double quotaPerPeriod = customer.plan.rate() * settings.coordination().meterPeriodMs() / 1000;
        double meteredUnits = now - customer.meterAt < evidenceLifetimeMs(customer.plan)
                ? (customer.lastMeterReading - 1) / 100.0 * quotaPerPeriod
                : 0;
        boolean overQuota = meteredUnits
                > Math.max(
                        quotaPerPeriod,
                        MAX_OWN_USE_REQUESTS * settings.coordination().maxUnitsPerRequest());
        return AdmissionEstimate.evidenceIndex(
                request.details.retry(), overQuota, customer.counterVerdict(now, evidenceLifetimeMs(customer.plan)));
    }

    /** Units that the others may have used since the last shared level, weighted by what excess costs. */
    private double unseenUseReserve(double now, CustomerState customer) {
        double cost = customer.plan.excessLossRatio();
        double rate = customer.othersDemand + UNSEEN_USE_SHARE * customer.plan.rate();
        return rate * (now - customer.sharedLevelAt + REPORT_LAG_MS) / 1000 * 2 * cost / (1 + cost);
    }

    /** Returns whether the limit of open requests allows one more: by the own share, if the others' aren't known. */
    private boolean isBelowOpenLimit(double now, CustomerState customer) {
        int limit = customer.plan.openLimit();
        boolean othersKnown = customer.spread == 1
                || settings.limits().mayMessagePeers()
                        && (decidingOwner(now, customer, 0) == settings.gatewayNumber()
                                || now - customer.sharedLevelAt < FRESH_LEVEL_MS);
        return limit <= 0
                || (othersKnown
                        ? customer.openRequests + customer.othersOpenRequests < limit
                        : customer.openRequests < Math.max(1, (int) (limit * processShare(now, customer))));
    }

    /** The retry delay that a refusal advises: the time until the quota has refilled enough. */
    private double retryAfterMs(double now, CustomerState customer, double units) {
        if (customer.plan.rate() <= 0) return boundRetryAfterMs(0);
        double quotaWaitMs = 1000 * (units - customer.quotaLevel) / customer.plan.rate();
        double ownBucketWaitMs = 1000
                * (units - customer.ownTokens)
                / (customer.plan.rate() * Math.max(EVEN_SHARE_PRIOR, processShare(now, customer)));
        return boundRetryAfterMs(
                settings.limits().mayMessagePeers() || now - customer.counterTotalAt < FRESH_LEVEL_MS
                        ? quotaWaitMs
                        : Math.max(quotaWaitMs, ownBucketWaitMs));
    }

    /** Limits a retry delay to what may be advised; 0 if none may be. */
    private double boundRetryAfterMs(double waitMs) {
        double maxMs = settings.limits().maxRetryAfterMs();
        return maxMs > 0 ? Math.min(maxMs, Math.max(MIN_RETRY_AFTER_MS, waitMs)) : 0;
    }

    /** Takes units from the buckets of the quota and of the cap, or returns them where negative. */
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
     * Derives this gateway's share from its own use in the period that the meter reading covers. Current use over an
     * older total would grow by itself: each gateway of the set would see its share rise until the next reading.
     */
    private void applyMeterReading(double now, CustomerState customer, int reading) {
        if (reading <= 0 || settings.limits().mayMessagePeers() || customer.plan.rate() <= 0) return;
        customer.meterAt = now;
        double periodMs = settings.coordination().meterPeriodMs();
        // A reading that is repeated within its period shows nothing new.
        if (reading == customer.lastMeterReading && now - customer.meterShareAt < periodMs) return;
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
        // The tokens are split evenly with new processes.
        double keptShare = Math.min(1, (double) processCount / count);
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
            boolean known = customers.contains(snapshot.customer());
            if (known
                    || snapshot.plan() < 0
                    || snapshot.plan() >= settings.plans().size()) continue;
            CustomerState customer =
                    customerState(now, snapshot.customer(), snapshot.plan(), snapshot.first(), snapshot.spread());
            customer.restore(snapshot, processCount);
        }
    }

    // ---- calls to the counter

    /** Returns whether the counter tracks a customer's use by all of its set, as gateways can't exchange messages. */
    private boolean usesCounter(CustomerState customer) {
        return settings.coordination().hasCounter()
                && !settings.limits().mayMessagePeers()
                && customer.spread > 1
                && customer.plan.rate() > 0
                && !customer.plan.excessPays();
    }

    /** Holds a request that the own share has no room for until the counter call has ended. */
    private void holdForCounterCall(double now, RequestState request) {
        CustomerState customer = request.customer;
        if (now + COUNTER_CALL_ALLOWANCE_MS >= request.details.deadlineMs() - DEADLINE_MARGIN_MS) {
            admitOrRefuse(now, request, false);
            return;
        }
        customer.pending.addLast(request);
        if (!customer.callInFlight) callCounter(now, customer);
    }

    /** Adds used and requested units in one call, so that the second of two gateways sees the first one's request. */
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
        callBudget.recordReply(now, now - customer.counterCalledAt, succeeded);
        if (succeeded) counterRepliedAt = now;
        if (succeeded && hasWideSet(customer)) applyWindowTotal(now, customer, total);
        else if (succeeded) applyCounterTotal(now, customer, total);
        if (outcome.neverRan()) customer.unreportedUnits += customer.callUnits - customer.expiredUnitsInCall;
        if (!succeeded) customer.expiredUnitsInCall = 0; // the next result shows whether it is still needed
        List<RequestState> decidedRequests = customer.callRequests;
        customer.callRequests = List.of();
        for (RequestState request : decidedRequests) decideAfterCounterCall(now, request, succeeded);
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

    /** Adds to the units that the next call adds to a customer's total, or subtracts from it where negative. */
    private void addUnreported(CustomerState customer, double units) {
        customer.unreportedUnits += units;
        if (customer.unreportedUnits == 0) unreportedCustomers.remove(customer);
        else unreportedCustomers.add(customer);
    }

    /** Decides on a request after its call. In a wide set its units are counted here; elsewhere charging adds them. */
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
        if (succeeded && !hasRoom) customer.unreportedUnits -= request.sampledUnits; // excess uses up no quota
        if (request.countedInTotal) adjustAdmissionMargin(request, succeeded ? 1 : roomChance(request));
        if (!request.closed) admitOrRefuse(now, request, admits);
    }

    /** Records for a customer and its plan whether the quota had room for a request, by a result of the counter. */
    private void recordCounterVerdict(double now, RequestState request, boolean hasRoom) {
        CustomerState customer = request.customer;
        admissionEstimates[customer.planNumber].record(request.evidenceIndex, hasRoom);
        request.refusal = hasRoom ? Refusal.OPEN : Refusal.QUOTA; // applies if it isn't admitted
        customer.counterVerdict = CounterVerdict.of(hasRoom, customer.fullness());
    }

    /** Returns whether correcting a customer's total is worth a call; it waits while other calls save more. */
    private boolean isCounterCallWorthwhile(double now, CustomerState customer) {
        double valuePerUnit =
                hasWideSet(customer) ? CORRECTION_WORTH_SHARE : customer.spread * (1 - customer.fullness());
        double units = Math.min(
                customer.plan.burst(), valuePerUnit * Math.abs(customer.unreportedUnits) + customer.expiredUnits);
        return units > 0
                && callBudget.hasCallToken(now)
                && units * customer.plan.valueFactor() * meanWorth >= callBudget.price(now);
    }

    /** Subtracts the others' use since the last total; a much smaller total is that of a counter that started anew. */
    private void applyCounterTotal(double now, CustomerState customer, double total) {
        boolean restarted = customer.counterTotalAt == DecisionState.NEVER || total < customer.counterTotal / 2;
        double othersUnits = total - customer.callUnits - (restarted ? 0 : customer.counterTotal);
        customer.applyCounterTotal(now, total, customer.quotaLevel - othersUnits);
    }

    /**
     * Applies the total of a window. The quota held a burst when the window began; it now holds that and what has been
     * refilled since, less the total, and at most a burst: quota that stays unused expires. Once a burst or more has
     * expired, one call adds it to the total. Where two gateways do so at once, the second sees from its result that
     * its correction wasn't needed and takes it back.
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

    /** Adds the units admitted by the own share to the counter, so that the other gateways see them in time. */
    private void reportUsage(double now) {
        if (unreportedCustomers.isEmpty()) return;
        for (CustomerState customer : new ArrayList<>(unreportedCustomers)) {
            boolean windowEnded =
                    hasWideSet(customer) && customer.counterWindow != customer.windowAt(now, COUNTER_LIFETIME_MS);
            if (windowEnded) customer.unreportedUnits = 0; // no gateway reads the counter name of an ended window
            if (customer.unreportedUnits == 0) unreportedCustomers.remove(customer);
            else if (!customer.callInFlight
                    && now - customer.counterCalledAt >= COUNTER_REPORT_INTERVAL_MS
                    && isCounterCallWorthwhile(now, customer)) callCounter(now, customer);
        }
    }

    // ---- queries to owners

    /**
     * Queries the next available owner on a request and holds the request until it answers. If no owner is available or
     * the deadline is near, this gateway decides.
     */
    private void queryOwner(double now, RequestState request, int ownerIndex) {
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
        request.queriedOwner = owner;
        request.querySerial = peers[owner].sentSerial + 1; // of the next message, which will carry this query
        request.answerDueAt = now + OWNER_ANSWER_TIMEOUT_MS;
        if (!customer.pending.contains(request)) customer.pending.addLast(request);
        ownerQueries.add(request);
        customer.ownerNotifiedAt = now;
        enqueuePeer(peers[owner], customer);
    }

    /** Carries out the decision on a request. */
    private void admitOrRefuse(double now, RequestState request, boolean admits) {
        if (admits) admit(now, request);
        if (admits) return;
        closeRequest(now, request);
        actions.refuse(
                request.details.id(), retryAfterMs(now, request.customer, request.details.units()), request.refusal);
    }

    /**
     * Passes queries without an answer to the next owner, and sends the unresponsive one no queries for a while. Only
     * a missing answer shows that a peer doesn't respond.
     */
    private void expireOwnerQueries(double now) {
        ownerQueries.removeIf(query -> query.closed || query.admitted);
        for (RequestState request :
                ownerQueries.stream().filter(query -> now >= query.answerDueAt).toList()) {
            ownerQueries.remove(request);
            peers[request.queriedOwner].unresponsiveUntil = now + UNRESPONSIVE_MS;
            refill(now, request.customer);
            queryOwner(now, request, request.ownerIndex + 1);
        }
    }

    // ---- messages between gateways

    /** Reports a change to the deciding owner at once; if that is this gateway, to the other owners at an interval. */
    private void notifyOwners(double now, CustomerState customer) {
        if (!settings.limits().mayMessagePeers() || customer.spread == 1) return;
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

    /** Schedules a message to a peer, with a report on the customer unless that is null. */
    private void enqueuePeer(PeerState peer, CustomerState customer) {
        if (customer != null) peer.dueReports.add(customer);
        if (!peer.queued) outbox.addLast(peer);
        peer.queued = true;
    }

    /** Sends due messages. Reports get half of the rate, since each brings an answer; answers only keep the gap. */
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

    /** Sends a message with as many due answers and reports as fit into it, answers first. */
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

    /** The report on a customer to its owner; it also carries the queries of the customer's pending requests. */
    private PeerMessage.Entry reportEntry(double now, CustomerState customer, PeerState owner) {
        for (RequestState request : customer.pending)
            if (request.queriedOwner == owner.number) request.querySerial = owner.sentSerial;
        double wantedUnits = customer.pendingUnits();
        boolean answerWanted = decidingOwner(now, customer, 0) == owner.number
                || now < owner.unresponsiveUntil
                || customer.pending.stream().anyMatch(request -> request.queriedOwner == owner.number);
        boolean hasLevel = decidingOwner(now, customer, 0) == settings.gatewayNumber()
                || now - customer.sharedLevelAt < FRESH_LEVEL_MS;
        return new PeerMessage.Entry(
                false,
                answerWanted,
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

    /** This gateway's answer, as an owner, to a report on a customer. */
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
        if (message == null) return; // unknown sender or damaged message
        PeerState peer = peers[sender];
        boolean sameEpoch = peer.heardFrom && message.epoch() == peer.epoch;
        // Reordered, duplicated or sent before the sender's restart. Epochs are compared by their difference, since
        // their field overflows every 50 days of Unix time.
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

    /** As an owner, books the reported use and grants the wanted units if the quota has them. */
    private void handleReport(double now, PeerState peer, PeerMessage.Entry entry) {
        int position = Math.floorMod(peer.number - entry.first(), peers.length);
        if (entry.spread() > peers.length || position >= entry.spread()) return; // no valid set
        CustomerState customer = customerState(now, entry.customer(), entry.plan(), entry.first(), entry.spread());
        if (IntStream.of(customer.owners).noneMatch(owner -> owner == settings.gatewayNumber())) return;
        boolean uninformed = isUninformed(now, customer);
        boolean adoptsLevel = entry.hasLevel() && (uninformed || decidingOwner(now, customer, 0) == peer.number);
        // The report of the deciding owner, or any fresh one while this owner is uninformed, replaces the level.
        if (adoptsLevel) {
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
        // Units are deducted here before they are sent, so a lost message loses units and never creates any.
        if (grants && givesCapUnits && entry.answerWanted()) {
            customer.capTokens -= entry.wantedUnits();
            member.capUnitsGiven += entry.wantedUnits();
        }
        if (entry.answerWanted()) {
            peer.dueAnswers.add(customer);
            enqueuePeer(peer, null);
        }
    }

    /** Applies an owner's answer: the level, the others' demand and the granted part of the wanted units. */
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
                        query.queriedOwner == peer.number && !PeerMessage.isAfter(query.querySerial, answeredSerial))
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
                queryOwner(now, request, request.ownerIndex + 1);
                continue;
            }
            customer.pending.remove(request);
            boolean admits = grantedUnits >= units && (customer.plan.capRate() <= 0 || customer.capTokens >= units);
            grantedUnits -= admits ? units : 0;
            admitOrRefuse(now, request, admits);
            // The primary owner hasn't booked the units that another owner granted.
            int primaryOwner = customer.owners[0];
            if (admits && peer.number != primaryOwner && primaryOwner != settings.gatewayNumber())
                enqueuePeer(peers[primaryOwner], customer);
        }
    }

    // ---- dispatch of queued requests

    /** The limit of attempts in flight: an even share of the fleet's concurrency and headroom for random bursts. */
    private double concurrencyLimit() {
        double evenShare = concurrencyPerHost * Math.max(1, warmCapacity) / (peers.length * processCount);
        return Math.max(1, evenShare + BURST_HEADROOM * Math.sqrt(evenShare) * (1 - 1.0 / peers.length));
    }

    /** Dispatches by work-conserving fair queueing: the backlogged class with the smallest virtual time is next. */
    private void dispatchQueued(double now) {
        double limit = concurrencyLimit();
        LinkedHashSet<ClassState> blocked = new LinkedHashSet<>();
        while (attemptsInFlight < limit) {
            ClassState next = null;
            for (ClassState classState : classes.values()) {
                boolean earlier = next == null || classState.virtualTime < next.virtualTime;
                if (earlier && !classState.queue.isEmpty() && !blocked.contains(classState)) next = classState;
            }
            if (next == null) return;
            if (!dispatchNext(now, next)) blocked.add(next);
        }
        requestsWaited = true;
    }

    /** Sends the first queued request of a class that has a permitted host; returns false if there is none. */
    private boolean dispatchNext(double now, ClassState classState) {
        for (RequestState request : classState.queue.stream().limit(MAX_SCANNED).toList()) {
            TrackedHost host = pickHost(now, request);
            if (host == null) continue;
            classState.queue.remove(request);
            virtualTime = Math.max(virtualTime, classState.virtualTime);
            classState.virtualTime += request.expectedMs() / classState.weight;
            boolean backlogged = !classState.queue.isEmpty();
            if (backlogged && classState.dispatchedAt > DecisionState.NEVER) {
                classState.meanDispatchGap +=
                        DISPATCH_GAP_GAIN * (now - classState.dispatchedAt - classState.meanDispatchGap);
            }
            classState.dispatchedAt = backlogged ? now : DecisionState.NEVER;
            sendAttempt(now, request, host);
            return true;
        }
        return false;
    }

    /** Sends an attempt of a request to a host; first attempts earn retries. */
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

    /** The time by which a queued request must be sent or refused: rule 1, and no work for late responses. */
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

    /** Ends the queued requests whose hold deadline has passed. */
    private void expireQueued(double now) {
        for (ClassState classState : classes.values()) {
            for (RequestState request : classState.queue.stream()
                    .filter(queued -> now >= holdDeadline(queued))
                    .toList()) {
                classState.recordDelay(now - request.arrivedAt, 0);
                finishUnserved(now, request); // removes it from the queue
            }
        }
    }

    /** Ends a request that no host has served. A refusal invites a retry, and is sent only if that is safe (rule 2). */
    private void finishUnserved(double now, RequestState request) {
        RequestClass spec = request.classState.spec;
        boolean retryIsSafe = request.firstPossibleRun() == null
                || spec.effect() == Effect.REPEATABLE
                || spec.effect() == Effect.KEYED && spec.keyScope() == Gateway.KeyScope.ALL;
        closeRequest(now, request);
        // There may be room once the requests queued now have been sent.
        double waitMs = boundRetryAfterMs(request.classState.queue.size() * request.classState.meanDispatchGap);
        if (retryIsSafe) actions.refuse(request.details.id(), waitMs, Refusal.PLACE);
        else actions.fail(request.details.id());
    }

    /** Closes a request: its client no longer waits for a response. If it was never sent, its units are returned. */
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
        if (request.attempts.stream().allMatch(attempt -> attempt.neverSent)) {
            // sendAttempt subtracted the units from the unsent ones when the first attempt began.
            customer.unsentUnits += request.attempts.isEmpty() ? 0 : request.details.units();
            charge(now, customer, -request.details.units(), -request.details.units());
            if (request.countedInTotal) addUnreported(customer, -request.details.units());
        }
    }

    /** Adjusts the concurrency limit by the latency of the responses since the last adjustment. */
    private void adjustConcurrency(double now) {
        if (now - concurrencyAdjustedAt < CONCURRENCY_INTERVAL_MS) return;
        // Few responses show nothing: even on idle hosts one response in five takes twice its expected time.
        if (responseCount > 0
                && responseCount < CONCURRENCY_MIN_RESPONSES
                && now - concurrencyAdjustedAt < CONCURRENCY_MIN_RESPONSES * CONCURRENCY_INTERVAL_MS) return;
        concurrencyAdjustedAt = now;
        if (responseCount > 0) {
            boolean queueing = latencySum > QUEUEING_LATENCY_RATIO * baselineSum
                            && goalShareSum > HARMLESS_GOAL_SHARE * responseCount
                    || goalShareSum > QUEUEING_GOAL_SHARE * responseCount;
            if (queueing)
                concurrencyPerHost = Math.max(MIN_CONCURRENCY_PER_HOST, concurrencyPerHost * CONCURRENCY_DECREASE);
            else if (requestsWaited)
                concurrencyPerHost = Math.min(MAX_CONCURRENCY_PER_HOST, concurrencyPerHost * CONCURRENCY_INCREASE);
        }
        latencySum = baselineSum = goalShareSum = 0;
        responseCount = 0;
        classes.values().forEach(classState -> classState.updateBaseline(BASELINE_MIN_SAMPLES, BASELINE_DRIFT));
    }

    // ---- class weights by donation

    /** The mean delay that a class may have. */
    static double delayGoalMs(ClassState classState) {
        return classState.spec.goalMs() * DELAY_GOAL_SHARE;
    }

    /** Updates the mean delays and, at the donation interval, moves weight between the classes. */
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

    /**
     * Moves weight to the class furthest above its delay goal from the classes below theirs, each in proportion to its
     * surplus and limited to what keeps it within its goal. The sum of all weights stays the same. Returns whether any
     * weight has moved.
     */
    static boolean donateWeight(List<ClassState> classStates) {
        ClassState worst = null;
        double surplus = 0;
        for (ClassState classState : classStates) {
            double delayRatio = classState.meanDelay / delayGoalMs(classState);
            if (delayRatio >= 1 + EPSILON && (worst == null || delayRatio > worst.meanDelay / delayGoalMs(worst)))
                worst = classState;
            surplus += surplus(classState);
        }
        if (worst == null || surplus <= 0) return false; // no class misses its goal, or none has a surplus
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

    /** The weight that a class can spare; 0 if its delay isn't below the band around its goal. */
    private static double surplus(ClassState classState) {
        if (classState.meanDelay > (1 - EPSILON) * delayGoalMs(classState)) return 0;
        return (delayGoalMs(classState) - classState.meanDelay)
                / (classState.delaySlope > 0 ? classState.delaySlope : delayGoalMs(classState));
    }

    // ---- hosts

    /** Failures count against one class on a host, which may serve the other classes well; latency against the host. */
    private static double slowness(double now, TrackedHost host, ClassState classState) {
        return host.health.slowness(now) * host.classHealth(classState).slowness(now);
    }

    @Override
    public int avoidedHostCount(double now) {
        return (int) hosts.values().stream()
                .filter(host -> host.listed && isAvoided(now, host))
                .count();
    }

    /** Returns whether a host drains or is taken to be unhealthy for every class. */
    private boolean isAvoided(double now, TrackedHost host) {
        return !host.isEligible()
                || classes.values().stream()
                        .allMatch(classState -> slowness(now, host, classState) >= UNHEALTHY_SLOWNESS);
    }

    /** Lists the eligible hosts anew, so that each event needs only look-ups. */
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
        // Each gateway uses a subset of the hosts, rotated by its number: it gets more responses and warm connections
        // from each, and the hosts' connection tables don't fill up where there are hundreds of gateways.
        eligibleHosts.sort(Comparator.comparing(host -> host.info.id().hashCode()));
        subset.clear();
        int subsetSize = Math.max(MIN_SUBSET_SIZE, MIN_GATEWAYS_PER_HOST * eligibleHosts.size() / peers.length);
        for (int i = 0; i < Math.min(subsetSize, eligibleHosts.size()); i++) {
            subset.add(eligibleHosts.get(
                    (int) (((long) settings.gatewayNumber() * subsetSize + i) % eligibleHosts.size())));
        }
    }

    /**
     * Returns the best of a few hosts drawn at random by their health, or null if no host is permitted. One of many
     * gateways has few attempts of its own in flight, and the best host by such counts would be the best for all
     * gateways at once. So only as many hosts are compared as these attempts can tell apart, up to the whole subset.
     */
    private TrackedHost pickHost(double now, RequestState request) {
        int candidateCount = Math.min(subset.size(), MIN_CANDIDATES + CANDIDATES_PER_ATTEMPT * attemptsInFlight);
        TrackedHost best = bestHost(
                now,
                request,
                canCompareSubset() ? subset : drawCandidates(now, request.classState, candidateCount),
                candidateCount);
        return best != null ? best : bestHost(now, request, eligibleHosts, eligibleHosts.size());
    }

    /** Returns whether this gateway has enough attempts in flight to tell all hosts of its subset apart. */
    private boolean canCompareSubset() {
        return MIN_CANDIDATES + CANDIDATES_PER_ATTEMPT * attemptsInFlight >= subset.size();
    }

    /** Draws distinct hosts of the subset at random; a slow host is drawn less often, in proportion. */
    private Collection<TrackedHost> drawCandidates(double now, ClassState classState, int candidateCount) {
        LinkedHashSet<TrackedHost> candidates = new LinkedHashSet<>();
        for (int i = 0; i < candidateCount * MAX_DRAWS_PER_CANDIDATE && candidates.size() < candidateCount; i++) {
            TrackedHost host = subset.get(random.nextInt(subset.size()));
            if (random.nextDouble() * slowness(now, host, classState) <= 1) candidates.add(host);
        }
        return candidates;
    }

    /** Returns the permitted candidate with the lowest score, or null if there is none. */
    private TrackedHost bestHost(
            double now, RequestState request, Collection<TrackedHost> candidates, int candidateCount) {
        TrackedHost best = null;
        double bestScore = Double.MAX_VALUE;
        for (TrackedHost host : candidates) {
            if (!host.isEligible() || !mayRunOn(now, request, request.firstPossibleRun(), host)) continue;
            // A cold host has no attempts in flight and would win each time, so it is a candidate only as often as it
            // may win (rule 4).
            double capacityShare = host.capacityShare(now, settings.rules());
            double allowance = COLD_ALLOWANCE_SHARE * settings.rules().coldLoadMultiple() * capacityShare;
            if (capacityShare < 1 && random.nextDouble() * candidateCount > allowance) continue;
            double score = score(now, request, host) * (1 + TIE_BREAK_NOISE * random.nextDouble());
            if (score < bestScore) best = host;
            bestScore = Math.min(bestScore, score);
        }
        return best;
    }

    /** The expected cost of a request on a host; the lowest score wins. */
    private double score(double now, RequestState request, TrackedHost host) {
        double slowness = slowness(now, host, request.classState);
        if (!canCompareSubset() && slowness < UNHEALTHY_SLOWNESS) slowness = 1; // the draw has applied it already
        for (Attempt attempt : request.attempts) {
            if (attempt.host == host) slowness *= FULL_HOST_SLOWNESS;
        }
        // The own zone is preferred only where the own counts show its load; otherwise a crowded zone would get more.
        double zoneCost = !canCompareSubset() || host.info.zone().equals(settings.zone())
                ? 0
                : CROSS_ZONE_COST * request.expectedMs();
        return (request.expectedMs() + host.expectedMsInFlight) * slowness / host.capacityShare(now, settings.rules())
                + zoneCost;
    }

    /** Rule 2: once an attempt may have run, a request goes only where a repeat does no harm. */
    private boolean mayRunOn(double now, RequestState request, Attempt possibleRun, TrackedHost host) {
        return isRepeatable(now, request, possibleRun)
                && (possibleRun == null
                        || request.classState.spec.effect() != Effect.KEYED
                        || request.classState.spec.keyScope().dropsSameKeys(host.info, possibleRun.host.info));
    }

    /** Rule 2: returns whether a further attempt does no harm at a host that the key's scope allows. */
    private boolean isRepeatable(double now, RequestState request, Attempt possibleRun) {
        RequestClass spec = request.classState.spec;
        return possibleRun == null
                || spec.effect() == Effect.REPEATABLE
                || spec.effect() == Effect.KEYED && now < possibleRun.sentAt + usableKeyWindowMs(spec);
    }

    /** The part of a key's window that is usable: a retry may first have to wait for a new connection. */
    private double usableKeyWindowMs(RequestClass spec) {
        return Math.min(
                KEY_WINDOW_SHARE * spec.keyWindowMs(),
                spec.keyWindowMs() - settings.limits().connectTimeoutMs());
    }

    /** Returns whether a request may have a further attempt, and if so takes a token for it. */
    private boolean acquireRetry(double now, RequestState request) {
        boolean allowed = isRepeatable(now, request, request.firstPossibleRun())
                && !request.streaming
                && now < holdDeadline(request)
                && retryTokens >= 1
                && request.attempts.size() < settings.limits().maxAttempts();
        retryTokens -= allowed ? 1 : 0;
        return allowed;
    }

    /** Updates the health of the host, the latency figures and the charge by the outcome of an attempt. */
    private void recordOutcome(double now, RequestState request, Attempt attempt, AttemptResult result) {
        TrackedHost host = attempt.host;
        ClassState classState = request.classState;
        switch (result.outcome()) {
            case OK -> {
                host.health.observe(now, result.latencyMs() / Math.max(1, attempt.expectedMs), LATENCY_GAIN);
                host.classHealth(classState).observe(now, 1, FAILURE_GAIN);
                double perUnit =
                        result.latencyMs() / Math.max(DecisionState.MIN_LATENCY_UNITS, request.details.units());
                classState.samples++;
                classState.latencyPerUnit += Math.max(MIN_LATENCY_MEAN_GAIN, 1.0 / classState.samples)
                        * (perUnit - classState.latencyPerUnit);
                classState.recordDelay(0, result.latencyMs());
                if (request.customer != null && settings.coordination().postPaid() && result.actualUnits() > 0) {
                    charge(now, request.customer, result.actualUnits() - request.details.units(), 0);
                    if (request.countedInTotal)
                        addUnreported(request.customer, result.actualUnits() - request.details.units());
                }
            }
            // The host is down or its connection table is full: one failure is enough to avoid it.
            case CONNECT_FAILED -> host.health.observe(now, Health.MAX_SLOWNESS, 1);
            case FULL -> host.health.observe(now, FULL_HOST_SLOWNESS, FAILURE_GAIN);
            case ERROR, RESET, TIMEOUT -> host.classHealth(classState).observe(now, Health.MAX_SLOWNESS, FAILURE_GAIN);
            default -> {}
        }
        if (result.outcome() == Outcome.OK || result.outcome() == Outcome.TIMEOUT) {
            latencySum += result.latencyMs(); // a timeout counts as a response of at least that latency
            baselineSum += classState.baselineLatency * request.details.units();
            goalShareSum += result.latencyMs() / classState.spec.goalMs();
            responseCount++;
        }
        if (request.customer != null) applyMeterReading(now, request.customer, result.meterReading());
    }

    /** Counts overdue attempts against their hosts, and cancels those that can still be retried elsewhere. */
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

    /** Evicts idle customers and the hosts that left the list. */
    private void evictIdle(double now) {
        if (now - sweptAt < SWEEP_INTERVAL_MS) return;
        sweptAt = now;
        unreportedCustomers.removeIf(customer -> now - customer.refilledAt > IDLE_EXPIRY_MS);
        customers.removeIf(customer ->
                now - customer.refilledAt > IDLE_EXPIRY_MS && customer.openRequests == 0 && customer.pending.isEmpty());
        hosts.values().removeIf(host -> !host.listed && host.attemptsInFlight.isEmpty());
    }
}
