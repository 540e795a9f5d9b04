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

/** What one gateway remembers: plain fields and look-ups, no decision; Brain alone reads meaning into them. */
final class DecisionState {
    static final double NEVER = Double.NEGATIVE_INFINITY;

    private DecisionState() {}

    /** The gateways of a set that stand first by the hash of a thing: each gateway finds the same by itself. */
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

    /** A class's queue, its place in the fair turns, its delay and its slope. */
    static final class ClassState {
        final RequestClass spec;
        final ArrayDeque<RequestState> queue = new ArrayDeque<>();
        double weight;
        double virtualTime;
        double latencyPerUnit;
        double baselineLatency;
        int samples;
        double releasedAt = NEVER;
        double meanReleaseGap;
        double meanDelay;
        double intervalDelaySum;
        int intervalCount;
        double delaySlope; // magnitude: delay lost for each unit of weight gained; 0 = not known yet
        double previousDelay;
        double previousWeight;

        ClassState(RequestClass spec) {
            this.spec = spec;
        }

        void recordDelay(double holdMs, double latencyMs) {
            intervalDelaySum += holdMs + latencyMs;
            intervalCount += latencyMs > 0 ? 0 : 1;
        }

        /** The base of the latency holds from so many samples on, and drifts up to what lasts. */
        void updateBaseline(int minSamples, double growth) {
            baselineLatency =
                    Math.min(samples < minSamples ? latencyPerUnit : baselineLatency * growth, latencyPerUnit);
        }

        /** Slopes are negative; a near-nought or wrongly signed one leaves the last good magnitude in place. */
        void measureSlope(double leastMagnitude) {
            double moved = weight - previousWeight;
            if (previousWeight > 0 && Math.abs(moved) > 1e-6) {
                double magnitude = -(meanDelay - previousDelay) / moved;
                if (magnitude > leastMagnitude) delaySlope = magnitude;
            }
            previousWeight = weight;
            previousDelay = meanDelay;
        }

        /** Ends a tick; {@code alpha} is the weight of the ticks before. */
        void endDelayInterval(double alpha) {
            if (intervalCount > 0) {
                double mean = intervalDelaySum / intervalCount;
                meanDelay = meanDelay == 0 ? mean : alpha * meanDelay + (1 - alpha) * mean;
            }
            intervalDelaySum = 0;
            intervalCount = 0;
        }
    }

    /** What is known of a peer gateway, and what waits to be told to it. */
    static final class PeerState {
        final int number;
        final LinkedHashSet<CustomerState> dueReports = new LinkedHashSet<>(); // to it as a keeper
        final LinkedHashSet<CustomerState> dueAnswers = new LinkedHashSet<>(); // to it by this gateway as a keeper
        boolean queued; // stands in the outbox
        boolean heardFrom;
        int epoch;
        int sentSerial; // of the last message to it
        int receivedSerial;
        double sentAt = NEVER;
        double unresponsiveUntil = NEVER;

        PeerState(int number) {
            this.number = number;
        }
    }

    /** What a gateway of a customer's set and its keeper know of each other; starts anew with either's life. */
    static final class MemberState {
        int epoch;
        boolean hasReported;
        double bookedUnits;
        double grantedUnits;
        double demand;
        double demandAt;
        int openRequests;
        double capUnitsGiven;
        double capUnitsTaken;
    }

    /** One customer's stores here; as its keeper, also what the others of its set told. */
    static final class CustomerState {
        final long id;
        final int planNumber;
        final Plan plan;
        final int first;
        final int spread;
        final int[] owners; // gateways of its set, the first in charge
        final Map<Integer, MemberState> members = new TreeMap<>();
        final ArrayDeque<RequestState> pending = new ArrayDeque<>(); // requests that wait for a keeper's word
        double ownTokens; // the own bucket
        double quotaLevel; // the whole store: as a keeper what is booked, else the most that it can hold
        double capTokens;
        double refilledAt;
        double demand;
        double othersDemand; // demand of the other gateways
        int othersOpenRequests;
        double usedUnits;
        double unsentUnits; // ceiling units let in whose requests have not left yet
        double sharedLevelAt = NEVER; // when a keeper last told
        double ownerNotifiedAt = NEVER;
        boolean informed; // as a keeper: knows what was used before its start
        final UsageHistory usageHistory = new UsageHistory();
        int lastMeterReading; // as last told by the meter
        double meterTotal; // what the meter told, and what was used here in the same periods, older ones less
        double meterOwn;
        double meterShare;
        double meterSeconds; // that the two figures above cover
        double spareUnits; // the whole store as far as own use and the meter show it
        double meterShareAt = NEVER; // when the part was last taken from a new figure
        double meterAt = NEVER;
        int openRequests;
        double counterTotal; // as last told by the counter
        double counterTotalAt = NEVER;
        double admittedAt = NEVER;
        double counterCalledAt = NEVER;
        double unreportedUnits; // units used here that no call has added yet; below nothing: to be given back
        double callUnits; // units that the call under way adds
        boolean callInFlight; // a call is under way
        long counterWindow; // by the clock, of the name that it adds to, in a wide set
        double expiredUnits; // units that have lapsed unused, to be added by the next call
        double expiredUnitsInCall; // and by the call under way
        AdmissionEstimate.CounterVerdict counterVerdict =
                AdmissionEstimate.CounterVerdict.UNKNOWN; // by the counter, when it was asked last
        List<RequestState> callRequests = List.of(); // requests whose units it carries

        CustomerState(long id, int planNumber, Plan plan, int first, int spread, int[] owners, double now) {
            this.id = id;
            this.planNumber = planNumber;
            this.plan = plan;
            this.first = first;
            this.spread = spread;
            this.owners = owners;
            this.refilledAt = now;
        }

        /** What is known between this gateway and a peer on this customer, new for each life of the peer. */
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
         * The number of the time by the clock that one name counts, so that one call tells a gateway that has never
         * seen the customer what may be left; each customer's begins at another moment, or all would in step.
         */
        long windowAt(double now, double lengthMs) {
            return (long) Math.floor((now + Math.floorMod(id, (long) lengthMs)) / lengthMs);
        }

        double elapsedInWindowMs(double now, double lengthMs) {
            return now + Math.floorMod(id, (long) lengthMs) - counterWindow * lengthMs;
        }

        /** What the own part filled again while the store stood full is not owed to the count. */
        void reduceUnreported(double units) {
            if (unreportedUnits > 0) unreportedUnits = Math.max(0, unreportedUnits - units);
        }

        /** All that waits to be asked and added goes with one call. */
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

        /** Units that the call under way adds for the requests that it asks for, and for those that these stand for. */
        double callRequestUnits() {
            return callRequests.stream()
                    .mapToDouble(a -> a.requestedUnits + a.sampledUnits)
                    .sum();
        }

        /** A total of the counter and what it shows of the store, from which excess takes nothing. */
        void applyCounterTotal(double now, double newTotal, double newLevel) {
            counterTotal = newTotal;
            counterTotalAt = sharedLevelAt = now;
            quotaLevel = Math.max(0, Math.min(plan.burst(), newLevel));
            spareUnits = Math.min(spareUnits, quotaLevel);
        }

        /** The name at the counter, with its window where it has one. */
        String counterName(boolean withWindow) {
            return "u" + Long.toHexString(id) + (withWindow ? "." + counterWindow : "");
        }

        static long idOfCounterName(String name) {
            int end = name.indexOf('.') < 0 ? name.length() : name.indexOf('.');
            return Long.parseLong(name, 1, end, 16);
        }

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

        /** What one of so many processes of this gateway has of what it remembers. */
        void restore(Gateway.CustomerSnapshot remembered, int processes) {
            ownTokens = remembered.tokens() / processes;
            quotaLevel = remembered.level();
            spareUnits = remembered.spare() / processes;
            meterTotal = remembered.meterTotal();
            meterOwn = remembered.meterOwn();
            meterSeconds = remembered.meterSeconds();
            meterShare = remembered.meterPart();
            meterAt = remembered.meterAt() > 0 ? remembered.meterAt() : NEVER;
            counterTotal = remembered.total();
            counterTotalAt = remembered.totalAt() > 0 ? remembered.totalAt() : NEVER;
        }

        /** A request of it is let in. */
        void requestAdmitted(double now) {
            openRequests++;
            admittedAt = now;
        }

        /** What this gateway learned of its store itself, as long as that tells of it. */
        AdmissionEstimate.CounterVerdict counterVerdict(double now, double lifetimeMs) {
            if (now - counterTotalAt < lifetimeMs) return counterVerdict;
            return now - admittedAt < lifetimeMs
                    ? AdmissionEstimate.CounterVerdict.ADMITTED
                    : AdmissionEstimate.CounterVerdict.UNKNOWN;
        }

        double fullness() {
            return plan.burst() > 0 ? quotaLevel / plan.burst() : 1;
        }

        double pendingUnits() {
            return pending.stream().mapToDouble(a -> a.details.units()).sum();
        }
    }

    /** What was used in the last few seconds, by slots of time. */
    static final class UsageHistory {
        private static final double SLOT_MS = 200;
        private final double[] slots = new double[16];
        private long newestSlot = Long.MIN_VALUE;

        private static long slotNumber(double at) {
            return (long) Math.floor(at / SLOT_MS);
        }

        private int slotIndex(long slot) {
            return Math.floorMod(slot, slots.length);
        }

        void add(double now, double units) {
            long slot = slotNumber(now);
            for (long s = Math.max(newestSlot + 1, slot - slots.length + 1); s <= slot; s++) {
                slots[slotIndex(s)] = 0;
            }
            newestSlot = Math.max(newestSlot, slot);
            slots[slotIndex(newestSlot)] += units;
        }

        /** The sum from one time to another, to the slot; what is older than the trail is forgotten. */
        double usedBetween(double from, double to) {
            double sum = 0;
            for (long s = Math.max(slotNumber(from), newestSlot - slots.length + 1);
                    s < slotNumber(to) && s <= newestSlot;
                    s++) {
                sum += slots[slotIndex(s)];
            }
            return Math.max(0, sum);
        }
    }

    /** How many times slower than usual a host was last taken to be, and when. */
    static final class Health {
        static final double MAX_SLOWNESS = 12; // largest slowness that is believed
        private static final double DECAY_MS = 6000; // slowness not confirmed fades: a trial by itself
        private double lastSlowness = 1;
        private double observedAt;

        double slowness(double now) {
            return 1 + (lastSlowness - 1) * Math.exp(-(now - observedAt) / DECAY_MS);
        }

        void observe(double now, double ratio, double gain) {
            lastSlowness = slowness(now) + gain * (Math.min(MAX_SLOWNESS, ratio) - slowness(now));
            observedAt = now;
        }
    }

    /** A host as this gateway sees it. */
    static final class TrackedHost {
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

        Health classHealth(ClassState classState) {
            return healthByClass.computeIfAbsent(classState.spec.name(), n -> new Health());
        }

        void update(Host update) {
            info = update;
            listed = update.state() != HostState.GONE;
            if (update.startedMs() > 0 && update.startedMs() > startedAt) {
                startedAt = update.startedMs();
                health.lastSlowness = 1;
            }
        }

        /** What a host that warms up can do by the rules' figures, as share of a warm one's. */
        double capacityShare(double now, Gateway.Rules rules) {
            double progress = (now - startedAt) / Math.max(1, rules.warmWithinMs());
            return progress >= 1
                    ? 1
                    : Math.max(0.01, rules.coldFrom() + (1 - rules.coldFrom()) * Math.max(0, progress));
        }

        boolean isEligible() {
            return listed && info.state() == HostState.RUNNING;
        }
    }

    static final class Attempt {
        final RequestState request;
        final int number;
        final TrackedHost host;
        final double sentAt;
        final double expectedMs;
        boolean inFlight = true;
        boolean neverRan;
        boolean neverSent; // it never left
        boolean overdue;

        Attempt(RequestState request, TrackedHost host, double sentAt, double expectedMs) {
            this.request = request;
            this.number = request.attempts.size();
            this.host = host;
            this.sentAt = sentAt;
            this.expectedMs = expectedMs;
        }

        void begin() {
            request.attempts.add(this);
            host.attemptsInFlight.add(this);
            host.expectedMsInFlight += expectedMs;
        }

        void end(Gateway.Outcome outcome) {
            inFlight = false;
            neverRan = outcome.neverRan();
            neverSent = outcome == Gateway.Outcome.MOOT;
            host.attemptsInFlight.remove(this);
            host.expectedMsInFlight = host.attemptsInFlight.isEmpty() ? 0 : host.expectedMsInFlight - expectedMs;
        }
    }

    /** A request held or under way. */
    static final class RequestState {
        final Request details;
        final ClassState classState;
        final CustomerState customer;
        final double arrivedAt;
        final List<Attempt> attempts = new ArrayList<>(2);
        boolean admitted;
        Gateway.Refusal refusal = Gateway.Refusal.PART; // why, if it is refused
        double callProbability; // of such requests for which a call is made
        int evidence; // what was known of its customer when it came
        double requestedUnits; // units that its call adds for itself
        double sampledUnits; // and for those that are let in unasked
        boolean countedInTotal; // its own units are in the total
        boolean closed;
        boolean streaming;
        int ownerIndex; // which of the customer's keepers is asked
        int askedOwner; // its number
        int querySerial; // of the message that asked
        double answerDueAt; // when its answer counts as missing

        RequestState(Request details, ClassState classState, CustomerState customer, double arrivedAt) {
            this.details = details;
            this.classState = classState;
            this.customer = customer;
            this.arrivedAt = arrivedAt;
        }

        double worth() {
            return classState.spec.worth() * customer.plan.valueFactor() * details.units();
        }

        /** Time that the class's requests of this size have been taking. */
        double expectedMs() {
            return classState.latencyPerUnit * Math.max(details.units(), 0.1);
        }

        /** The first attempt not known never to have run, or null. */
        Attempt firstPossibleRun() {
            return attempts.stream().filter(a -> !a.neverRan).findFirst().orElse(null);
        }

        boolean hasAttemptInFlight() {
            return attempts.stream().anyMatch(a -> a.inFlight);
        }
    }
}
