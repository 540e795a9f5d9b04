package deckfall;

import deckfall.Gateway.Host;
import deckfall.Gateway.HostState;
import deckfall.Gateway.Plan;
import deckfall.Gateway.Request;
import deckfall.Gateway.RequestClass;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;

/**
 * The state of the decision module: requests, customers, peers, request classes and hosts as one gateway sees them.
 * These types hold data and derive figures from it; all decisions are made in {@link DecisionModule}.
 */
final class DecisionState {
    /** The time of an event that hasn't happened yet. */
    static final double NEVER = Double.NEGATIVE_INFINITY;

    /** Units that a request counts as at least, when latency is related to units. */
    static final double MIN_LATENCY_UNITS = 0.1;

    private DecisionState() {}

    /**
     * Returns the {@code count} gateways of a set that rank first for a key by rendezvous hashing, so that all gateways
     * find the same ones without a message. The set has {@code spread} gateways from number {@code first} on.
     */
    static int[] rankGateways(long key, int first, int spread, int gateways, int count) {
        return IntStream.range(first, first + spread)
                .map(g -> Math.floorMod(g, gateways))
                .boxed()
                .sorted(Comparator.comparingLong(g -> mixHash(key * 31 + mixHash(g))))
                .limit(count)
                .mapToInt(g -> g)
                .toArray();
    }

    private static long mixHash(long value) {
        long hash = (value ^ value >>> 32) * 0x9E3779B97F4A7C15L;
        return (hash ^ hash >>> 29) * 0xBF58476D1CE4E5B9L ^ hash >>> 32;
    }

    /** A request class: its queue, its virtual time in fair queueing, and its latency and delay figures. */
    static final class ClassState {
        /** A smaller change of weight shows no slope. */
        private static final double MIN_WEIGHT_CHANGE = 1e-6;

        final RequestClass spec;
        final ArrayDeque<RequestState> queue = new ArrayDeque<>();
        double weight;
        double virtualTime;
        double latencyPerUnit; // mean, in ms
        double baselineLatency; // ms per unit while the hosts don't queue
        int samples;
        double dispatchedAt = NEVER;
        double meanDispatchGap;
        double meanDelay;
        double intervalDelaySum;
        int intervalCount;
        double delaySlope; // delay lost for each unit of weight gained, as a magnitude; 0 = not known yet
        double previousDelay;
        double previousWeight;

        ClassState(RequestClass spec) {
            this.spec = spec;
        }

        /**
         * Adds to the delay of the current interval. It is called with the time in the queue when a request leaves it,
         * which counts the request, and with the latency when its response arrives.
         */
        void recordDelay(double holdMs, double latencyMs) {
            intervalDelaySum += holdMs + latencyMs;
            intervalCount += latencyMs > 0 ? 0 : 1;
        }

        /** Updates the latency baseline, which from {@code minSamples} on rises only by the growth factor at a time. */
        void updateBaseline(int minSamples, double growth) {
            baselineLatency =
                    Math.min(samples < minSamples ? latencyPerUnit : baselineLatency * growth, latencyPerUnit);
        }

        /** Updates the slope. A slope is negative; one near zero or of the wrong sign leaves the last good value. */
        void measureSlope(double minMagnitude) {
            double moved = weight - previousWeight;
            if (previousWeight > 0 && Math.abs(moved) > MIN_WEIGHT_CHANGE) {
                double magnitude = -(meanDelay - previousDelay) / moved;
                if (magnitude > minMagnitude) delaySlope = magnitude;
            }
            previousWeight = weight;
            previousDelay = meanDelay;
        }

        /** Adds the delays of the ended interval to the mean; {@code alpha} is the weight of the earlier intervals. */
        void endDelayInterval(double alpha) {
            if (intervalCount > 0) {
                double mean = intervalDelaySum / intervalCount;
                meanDelay = meanDelay == 0 ? mean : alpha * meanDelay + (1 - alpha) * mean;
            }
            intervalDelaySum = 0;
            intervalCount = 0;
        }
    }

    /** The state of a peer gateway, with the customers on which messages to it are due. */
    static final class PeerState {
        final int number;
        final LinkedHashSet<CustomerState> dueReports = new LinkedHashSet<>(); // for it as an owner
        final LinkedHashSet<CustomerState> dueAnswers = new LinkedHashSet<>(); // by this gateway as an owner
        boolean queued; // a message to it is due
        boolean heardFrom;
        int epoch;
        int sentSerial; // number of the last message to it
        int receivedSerial;
        double sentAt = NEVER;
        double unresponsiveUntil = NEVER;

        PeerState(int number) {
            this.number = number;
        }
    }

    /** What a gateway of a customer's set and an owner have exchanged; it is reset when either of them restarts. */
    static final class MemberState {
        int epoch;
        boolean hasReported;
        double bookedUnits; // by the owner: reported as used, and granted
        double grantedUnits; // by the last answer
        double demand;
        double demandAt;
        int openRequests;
        double capUnitsGiven; // by this gateway as an owner
        double capUnitsTaken; // by this gateway from an owner
    }

    /** A customer's token buckets at this gateway; if this is an owner, also what the rest of the set reported. */
    static final class CustomerState {
        final long id;
        final int planNumber;
        final Plan plan;
        final int first;
        final int spread;
        final int[] owners; // gateways of its set that keep its account, the primary owner first
        final Map<Integer, MemberState> members = new TreeMap<>();
        final ArrayDeque<RequestState> pending = new ArrayDeque<>(); // requests that wait for an owner or the counter
        double ownTokens; // this gateway's bucket: its share of the quota
        double quotaLevel; // the whole quota's bucket: booked use at an owner, elsewhere an upper limit
        double capTokens;
        double refilledAt;
        double demand; // units a second, at this gateway
        double othersDemand; // units a second, at the other gateways
        int othersOpenRequests;
        double usedUnits;
        double unsentUnits; // cap units of admitted requests that are not sent yet
        double sharedLevelAt = NEVER; // when an owner or the counter last reported the level
        double ownerNotifiedAt = NEVER;
        boolean informed; // a peer has reported the level since this process started
        final UsageHistory usageHistory = new UsageHistory();
        int lastMeterReading; // 0 before the first one
        double meterTotal; // use that the meter reported, older periods weighted less
        double meterOwn; // use at this gateway in the same periods, with the same weights
        double meterShare;
        double meterSeconds; // time that the two figures above cover
        double spareUnits; // level of the whole quota as estimated from own use and the meter
        double meterShareAt = NEVER; // when the share was last derived from a new reading
        double meterAt = NEVER;
        int openRequests;
        double counterTotal; // the counter's last result
        double counterTotalAt = NEVER;
        double admittedAt = NEVER;
        double counterCalledAt = NEVER;
        double unreportedUnits; // units used here that no call has added yet; negative: to be subtracted
        double callUnits; // units that the call in flight adds
        boolean callInFlight;
        long counterWindow; // number of the time window of the counter name, in a wide set
        double expiredUnits; // quota that expired unused, to be added by the next call
        double expiredUnitsInCall; // the same, added by the call in flight
        AdmissionEstimate.CounterVerdict counterVerdict = AdmissionEstimate.CounterVerdict.UNKNOWN; // of the last call
        List<RequestState> callRequests = List.of(); // requests that the call in flight decides on

        CustomerState(long id, int planNumber, Plan plan, int first, int spread, int[] owners, double now) {
            this.id = id;
            this.planNumber = planNumber;
            this.plan = plan;
            this.first = first;
            this.spread = spread;
            this.owners = owners;
            this.refilledAt = now;
        }

        /** What this gateway and a peer have exchanged on this customer; it is reset when the peer restarts. */
        MemberState member(PeerState peer) {
            MemberState member = members.get(peer.number);
            if (member == null || member.epoch != peer.epoch) {
                othersOpenRequests -= member == null ? 0 : member.openRequests;
                member = new MemberState();
                member.epoch = peer.epoch;
                members.put(peer.number, member);
            }
            return member;
        }

        /**
         * The number of the time window at {@code now}. A counter name covers one window of the clock, so that a single
         * call shows the remaining quota to a gateway that has never seen the customer. The windows of customers start
         * at different times; otherwise all would call at once.
         */
        long windowAt(double now, double lengthMs) {
            return (long) Math.floor((now + Math.floorMod(id, (long) lengthMs)) / lengthMs);
        }

        /** The time since the window of the current counter name began. */
        double elapsedInWindowMs(double now, double lengthMs) {
            return now + Math.floorMod(id, (long) lengthMs) - counterWindow * lengthMs;
        }

        /** Drops unreported units that the own share has refilled in the meantime while the quota was full. */
        void reduceUnreported(double units) {
            if (unreportedUnits > 0) unreportedUnits = Math.max(0, unreportedUnits - units);
        }

        /** Starts a call that adds all unreported units, and whose result decides on all pending requests. */
        void beginCall(double now) {
            callRequests = new ArrayList<>(pending);
            pending.clear();
            expiredUnitsInCall = expiredUnits;
            expiredUnits = 0;
            callUnits = unreportedUnits + expiredUnitsInCall + callRequestUnits();
            unreportedUnits = 0;
            callInFlight = true;
            counterCalledAt = now;
        }

        /** Units that the call in flight adds for its requests and for those that they represent. */
        double callRequestUnits() {
            return callRequests.stream()
                    .mapToDouble(request -> request.requestedUnits + request.sampledUnits)
                    .sum();
        }

        /** Applies a total of the counter and the quota level that follows from it; excess uses up no quota. */
        void applyCounterTotal(double now, double newTotal, double newLevel) {
            counterTotal = newTotal;
            counterTotalAt = sharedLevelAt = now;
            quotaLevel = Math.max(0, Math.min(plan.burst(), newLevel));
            spareUnits = Math.min(spareUnits, quotaLevel);
        }

        /** The customer's name at the counter, with the number of the window where it has one. */
        String counterName(boolean withWindow) {
            return "u" + Long.toHexString(id) + (withWindow ? "." + counterWindow : "");
        }

        /** The id of the customer that a counter name belongs to. */
        static long idOfCounterName(String name) {
            int end = name.indexOf('.') < 0 ? name.length() : name.indexOf('.');
            return Long.parseLong(name, 1, end, 16);
        }

        /** The part of the state that another process of this gateway needs. */
        Gateway.CustomerSnapshot snapshot() {
            return new Gateway.CustomerSnapshot(
                    id,
                    planNumber,
                    first,
                    spread,
                    ownTokens,
                    quotaLevel,
                    spareUnits,
                    meterTotal,
                    meterOwn,
                    meterSeconds,
                    meterShare,
                    Math.max(0, meterAt),
                    counterTotal,
                    Math.max(0, counterTotalAt));
        }

        /** Restores a snapshot taken by another process; tokens are split evenly among the gateway's processes. */
        void restore(Gateway.CustomerSnapshot snapshot, int processes) {
            ownTokens = snapshot.tokens() / processes;
            quotaLevel = snapshot.level();
            spareUnits = snapshot.spare() / processes;
            meterTotal = snapshot.meterTotal();
            meterOwn = snapshot.meterOwn();
            meterSeconds = snapshot.meterSeconds();
            meterShare = snapshot.meterPart();
            meterAt = snapshot.meterAt() > 0 ? snapshot.meterAt() : NEVER;
            counterTotal = snapshot.total();
            counterTotalAt = snapshot.totalAt() > 0 ? snapshot.totalAt() : NEVER;
        }

        /** Counts a request that is admitted. */
        void requestAdmitted(double now) {
            openRequests++;
            admittedAt = now;
        }

        /** The counter's last verdict if it is recent, otherwise whether this gateway admitted a request recently. */
        AdmissionEstimate.CounterVerdict counterVerdict(double now, double lifetimeMs) {
            if (now - counterTotalAt < lifetimeMs) return counterVerdict;
            return now - admittedAt < lifetimeMs
                    ? AdmissionEstimate.CounterVerdict.ADMITTED
                    : AdmissionEstimate.CounterVerdict.UNKNOWN;
        }

        /** The quota's level as a share of its burst. */
        double fullness() {
            return plan.burst() > 0 ? quotaLevel / plan.burst() : 1;
        }

        /** Units of the requests that wait for a decision. */
        double pendingUnits() {
            return pending.stream()
                    .mapToDouble(request -> request.details.units())
                    .sum();
        }
    }

    /** Units used in the last few seconds, in time slots of a ring buffer. */
    static final class UsageHistory {
        private static final double SLOT_MS = 200;
        private static final int SLOT_COUNT = 16;
        private final double[] slots = new double[SLOT_COUNT];
        private long newestSlot = Long.MIN_VALUE;

        private static long slotNumber(double at) {
            return (long) Math.floor(at / SLOT_MS);
        }

        private int slotIndex(long slot) {
            return Math.floorMod(slot, slots.length);
        }

        /** Adds units used now. */
        void add(double now, double units) {
            long slot = slotNumber(now);
            for (long s = Math.max(newestSlot + 1, slot - slots.length + 1); s <= slot; s++) {
                slots[slotIndex(s)] = 0;
            }
            newestSlot = Math.max(newestSlot, slot);
            slots[slotIndex(newestSlot)] += units;
        }

        /** The units used between two times, to the precision of a slot; use that has left the buffer counts as 0. */
        double usedBetween(double from, double to) {
            double sum = 0;
            for (long slot = Math.max(slotNumber(from), newestSlot - slots.length + 1);
                    slot < slotNumber(to) && slot <= newestSlot;
                    slot++) {
                sum += slots[slotIndex(slot)];
            }
            return Math.max(0, sum);
        }
    }

    /** The slowness of a host, or of a class on a host: a multiple of its usual latency, which decays to 1. */
    static final class Health {
        /** Largest slowness that is recorded. */
        static final double MAX_SLOWNESS = 12;

        /** Time constant of the decay of slowness: a host that isn't used recovers and so is tried again. */
        private static final double DECAY_MS = 6000;

        private double lastSlowness = 1;
        private double observedAt;

        /** The slowness now; 1 is the usual speed. */
        double slowness(double now) {
            return 1 + (lastSlowness - 1) * Math.exp(-(now - observedAt) / DECAY_MS);
        }

        /** Moves the slowness towards an observed ratio; {@code gain} is the weight of the observation. */
        void observe(double now, double ratio, double gain) {
            lastSlowness = slowness(now) + gain * (Math.min(MAX_SLOWNESS, ratio) - slowness(now));
            observedAt = now;
        }
    }

    /** The state that this gateway keeps on a host. */
    static final class TrackedHost {
        /** Smallest capacity share, so that a score divided by it stays finite. */
        private static final double MIN_CAPACITY_SHARE = 0.01;

        final LinkedHashSet<Attempt> attemptsInFlight = new LinkedHashSet<>();
        Host info;
        boolean listed = true;
        double expectedMsInFlight;
        final Health health = new Health();
        private final Map<String, Health> healthByClass = new TreeMap<>();
        double startedAt = NEVER;

        TrackedHost(Host info) {
            this.info = info;
        }

        /** The health of one class on this host. */
        Health classHealth(ClassState classState) {
            return healthByClass.computeIfAbsent(classState.spec.name(), n -> new Health());
        }

        /** Applies an update by discovery; a new start makes the host cold and clears its slowness. */
        void update(Host update) {
            info = update;
            listed = update.state() != HostState.GONE;
            if (update.startedMs() > 0 && update.startedMs() > startedAt) {
                startedAt = update.startedMs();
                health.lastSlowness = 1;
            }
        }

        /** The capacity of a host that warms up, as a share of a warm host's, by the rules' figures. */
        double capacityShare(double now, Gateway.Rules rules) {
            double progress = (now - startedAt) / Math.max(1, rules.hostWarmUpMs());
            return progress >= 1
                    ? 1
                    : Math.max(
                            MIN_CAPACITY_SHARE,
                            rules.coldCapacity() + (1 - rules.coldCapacity()) * Math.max(0, progress));
        }

        /** Returns whether the host may get new requests. */
        boolean isEligible() {
            return listed && info.state() == HostState.RUNNING;
        }
    }

    /** One attempt of a request at a host. */
    static final class Attempt {
        final RequestState request;
        final int number;
        final TrackedHost host;
        final double sentAt;
        final double expectedMs;
        boolean inFlight = true;
        boolean neverRan;
        boolean neverSent;
        boolean overdue;

        Attempt(RequestState request, TrackedHost host, double sentAt, double expectedMs) {
            this.request = request;
            this.number = request.attempts.size();
            this.host = host;
            this.sentAt = sentAt;
            this.expectedMs = expectedMs;
        }

        /** Adds the attempt to its request and host as in flight. */
        void begin() {
            request.attempts.add(this);
            host.attemptsInFlight.add(this);
            host.expectedMsInFlight += expectedMs;
        }

        /** Removes the attempt from those in flight. */
        void end(Gateway.Outcome outcome) {
            inFlight = false;
            neverRan = outcome.neverRan();
            neverSent = outcome == Gateway.Outcome.MOOT;
            host.attemptsInFlight.remove(this);
            host.expectedMsInFlight = host.attemptsInFlight.isEmpty() ? 0 : host.expectedMsInFlight - expectedMs;
        }
    }

    /** A request that is queued, waits for a decision or has an attempt in flight. */
    static final class RequestState {
        final Request details;
        final ClassState classState;
        final CustomerState customer;
        final double arrivedAt;
        final List<Attempt> attempts = new ArrayList<>(2);
        boolean admitted;
        Gateway.Refusal refusal = Gateway.Refusal.PART; // reason, if it is refused
        double callProbability; // share of such requests for which a counter call is made
        int evidenceIndex; // of the evidence on its customer at its arrival
        double requestedUnits; // units that its counter call adds for itself
        double sampledUnits; // units that it adds for requests admitted without a call
        boolean countedInTotal; // its units are part of the counter's total
        boolean closed;
        boolean streaming;
        int ownerIndex; // position of the queried owner among the customer's owners
        int queriedOwner; // number of the queried owner
        int querySerial; // number of the message that carried the query
        double answerDueAt; // the answer counts as missing from this time on

        RequestState(Request details, ClassState classState, CustomerState customer, double arrivedAt) {
            this.details = details;
            this.classState = classState;
            this.customer = customer;
            this.arrivedAt = arrivedAt;
        }

        /** The worth of the request inside its customer's quota. */
        double worth() {
            return classState.spec.worth() * customer.plan.valueFactor() * details.units();
        }

        /** The mean latency of the class's requests of this size. */
        double expectedMs() {
            return classState.latencyPerUnit * Math.max(details.units(), MIN_LATENCY_UNITS);
        }

        /** The first attempt that may have run, or null. */
        Attempt firstPossibleRun() {
            return attempts.stream()
                    .filter(attempt -> !attempt.neverRan)
                    .findFirst()
                    .orElse(null);
        }

        boolean hasAttemptInFlight() {
            return attempts.stream().anyMatch(attempt -> attempt.inFlight);
        }
    }
}
