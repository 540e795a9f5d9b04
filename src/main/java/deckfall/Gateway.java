package deckfall;

import java.util.List;

/** What the decision module is told and what it can do: settings, events and actions. No decision lives here. */
public final class Gateway {
    private Gateway() {}

    /** What repeating a request of a class does. */
    public enum Effect {
        REPEATABLE,
        KEYED,
        ONCE
    }

    /** The hosts that drop repeats of one key. */
    public enum KeyScope {
        ALL,
        ZONE,
        CELL;

        /** True where both hosts drop repeats of the same keys. */
        public boolean dropsSameKeys(Host a, Host b) {
            return this == ALL || a.zone().equals(b.zone()) && (this == ZONE || a.cell() == b.cell());
        }
    }

    /** What discovery tells of a host. */
    public enum HostState {
        RUNNING,
        DRAINING,
        GONE
    }

    /** How a list of hosts is to be read: changes, all, what was held before a restart, or none (a call failed). */
    public enum HostListKind {
        CHANGES,
        FULL,
        CACHED,
        FAILED
    }

    /** How an attempt, a probe or a counter call ended. */
    public enum Outcome {
        OK,
        ERROR,
        FULL,
        TIMEOUT,
        CONNECT_FAILED,
        RESET,
        CANCELLED,
        MOOT;

        /** True where the outcome proves that the host never ran the request. */
        public boolean neverRan() {
            return this == FULL || this == CONNECT_FAILED || this == MOOT;
        }
    }

    /** Why a request is refused. */
    public enum Refusal {
        /** No plan or class of the settings covers it. */
        UNKNOWN,
        /** The own part lacks its units, and the counter was not asked or gave no answer. */
        PART,
        /** The whole quota is known to lack them. */
        QUOTA,
        /** As many requests are open as the plan allows. */
        OPEN,
        /** No host had a place for it while it was worth sending. */
        PLACE
    }

    /** What requests of one class may do, how long they may take and what they are worth. */
    public record RequestClass(
            String name,
            Effect effect,
            KeyScope keyScope,
            double keyWindowMs,
            double goalMs,
            double deadlineMs,
            double worth,
            double lateValue,
            boolean streaming) {}

    /** A plan's quotas, for each customer over all gateways; a figure of 0 means that there is no such limit. */
    public record Plan(
            String name,
            double rate,
            double burst,
            int openLimit,
            double valueFactor,
            double excessWorth,
            double excessCost,
            double capRate,
            double capBurst,
            double capSlack) {
        /** True where what is served beyond the quota earns as much as it costs. */
        public boolean excessPays() {
            return excessWorth > 0 && excessWorth >= excessCost;
        }

        /** What a unit beyond the quota loses, in times of its worth. */
        public double excessLossRatio() {
            return excessCost - excessWorth;
        }

        /** The same, in times of the worth of the class alone. */
        public double weightedExcessLoss() {
            return valueFactor * excessLossRatio();
        }
    }

    /** What a gateway may do for one request, and whether it may talk to others. */
    public record Limits(
            int maxAttempts,
            boolean mayDuplicate,
            boolean mayCancel,
            boolean mayProbe,
            boolean peerMessages,
            boolean mayAdviseRetry,
            double maxRetryAfterMs,
            double connectTimeoutMs) {}

    /** The rules on drains, cold hosts and late answers; times in milliseconds. */
    public record Rules(
            double answerSlackMs,
            double drainGraceMs,
            double fallMultiple,
            double fallMs,
            double coldFrom,
            double warmWithinMs,
            double askWithinMs) {}

    /** Where gateways may learn of each other, and what one costs. */
    public record Coordination(
            boolean hasCounter,
            double counterCallPrice,
            double counterTimeoutMs,
            double meterPeriodMs,
            boolean postPaid,
            double maxUnitsPerRequest,
            double peerMessagesPerSecond,
            double peerMessagePrice,
            double probePrice,
            double crossZonePrice) {}

    /** All that a gateway is told at its start. */
    public record Settings(
            long seed,
            int gatewayNumber,
            int gatewayCount,
            String zone,
            boolean subscribesToHosts,
            List<RequestClass> classes,
            List<Plan> plans,
            List<String> loadMetricNames,
            Limits limits,
            Rules rules,
            Coordination coordination) {}

    /** A host as discovery tells of it. */
    public record Host(
            String id, String zone, String kind, int cell, HostState state, double rating, double startedMs) {}

    /** A request: {@code spread} gateways from number {@code first} on, counted round, may receive the customer. */
    public record Request(
            String id,
            double deadlineMs,
            boolean retry,
            String requestClass,
            long customer,
            String plan,
            double units,
            int first,
            int spread) {}

    /** How an attempt ended; {@code usedPct} is 0 and {@code trueUnits} is 0 where nothing was told. */
    public record AttemptResult(
            String id,
            int attempt,
            String host,
            Outcome outcome,
            double latencyMs,
            boolean requestClosed,
            int meterReading,
            double actualUnits,
            double[] loadMetrics) {}

    /** What one process of a gateway knows of a customer, for one that serves beside or after it. */
    public record CustomerSnapshot(
            long customer,
            int plan,
            int first,
            int spread,
            double tokens,
            double level,
            double spare,
            double meterTotal,
            double meterOwn,
            double meterSeconds,
            double meterPart,
            double meterAt,
            double total,
            double totalAt) {
        /** The same with its times on a clock that is ahead by so many milliseconds. */
        public CustomerSnapshot shifted(double ms) {
            return new CustomerSnapshot(
                    customer,
                    plan,
                    first,
                    spread,
                    tokens,
                    level,
                    spare,
                    meterTotal,
                    meterOwn,
                    meterSeconds,
                    meterPart,
                    meterAt + ms,
                    total,
                    totalAt + ms);
        }
    }

    /** Everything that a gateway sees; {@code now} is the only clock, in milliseconds. */
    public interface Events {
        void start(double now, Settings settings);

        void hostsUpdated(double now, HostListKind kind, List<Host> hosts);

        void requestReceived(double now, Request request);

        void streamStarted(double now, String id, int attempt);

        void attemptEnded(double now, AttemptResult result);

        void clientDisconnected(double now, String id);

        void timerFired(double now, String token);

        default void probeEnded(double now, String host, Outcome outcome, double latencyMs, double[] report) {}

        void peerMessageReceived(double now, int sender, byte[] data);

        void counterCallEnded(double now, String counter, Outcome outcome, double total);

        /** So many processes serve as this gateway, this one among them: they share what is its own. */
        void processCountChanged(double now, int processes);

        /** What this process knows of its customers: a question, not an event. */
        List<CustomerSnapshot> snapshotCustomers(double now);

        /** What another process of this gateway knew; it stands for customers that this one has not seen. */
        void restoreCustomers(double now, List<CustomerSnapshot> memory);

        /** How many hosts of the list get no request as long as others may be had: a question, not an event. */
        int avoidedHostCount(double now);
    }

    /** Everything that a gateway can do. */
    public interface Actions {
        void send(String id, String host, double timeoutMs);

        void cancel(String id, int attempt);

        void refuse(String id, double retryAfterMs, Refusal why);

        void fail(String id);

        void startTimer(double delayMs, String token);

        void probeHost(String host);

        void sendPeerMessage(int peer, byte[] data);

        void addToCounter(String counter, double amount, double lifetimeMs);

        void subscribeHosts();
    }
}
