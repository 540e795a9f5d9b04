package deckfall;

import java.util.List;

/**
 * The interface of the decision module ({@link DecisionModule}): its settings, the events that it receives and the
 * actions that it takes. All times are in milliseconds.
 */
public final class Gateway {
    private Gateway() {}

    /** Whether a request of a class may be repeated after it may have run. */
    public enum Effect {
        /** A repeat does no harm. */
        REPEATABLE,
        /** Hosts drop a repeat by its idempotency key, within the key's scope and window. */
        KEYED,
        /** A repeat runs the request a second time. */
        ONCE
    }

    /** The hosts that share idempotency keys and so drop repeats of a request. */
    public enum KeyScope {
        ALL,
        ZONE,
        CELL;

        /** Returns whether one host drops repeats of requests that the other one ran. */
        public boolean dropsSameKeys(Host a, Host b) {
            return this == ALL || a.zone().equals(b.zone()) && (this == ZONE || a.cell() == b.cell());
        }
    }

    /** The state of a host as discovery reports it. */
    public enum HostState {
        RUNNING,
        DRAINING,
        GONE
    }

    /** How a list of hosts is to be read. */
    public enum HostListKind {
        /** The hosts that changed since the last list. */
        CHANGES,
        /** All hosts. */
        FULL,
        /** All hosts as they were known before a restart. */
        CACHED,
        /** No list: the call to discovery failed. */
        FAILED
    }

    /** The outcome of an attempt, a probe or a counter call. */
    public enum Outcome {
        OK,
        ERROR,
        FULL,
        TIMEOUT,
        CONNECT_FAILED,
        RESET,
        CANCELLED,
        /** It was never sent. */
        MOOT;

        /** Returns whether the outcome proves that the host never ran the request. */
        public boolean neverRan() {
            return this == FULL || this == CONNECT_FAILED || this == MOOT;
        }
    }

    /** The reason for the refusal of a request. */
    public enum Refusal {
        /** The settings have no such plan or class. */
        UNKNOWN,
        /** This gateway's share of the quota lacks the units, and the counter was not called or gave no result. */
        PART,
        /** The whole quota doesn't have the units. */
        QUOTA,
        /** The customer has as many open requests as its plan allows. */
        OPEN,
        /** No host had room for the request while it was worth sending. */
        PLACE,
        /** Its customer is new, and too many customers are active. */
        CUSTOMERS
    }

    /**
     * A class of requests.
     *
     * @param keyWindowMs how long hosts remember an idempotency key
     * @param goalMs latency up to which a response has its full worth
     * @param worth worth of a served unit
     * @param lateValue share of the worth that remains once the goal is missed
     */
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

    /**
     * A plan: the quota and the cap of each of its customers, over all gateways. A limit of 0 means that there is none.
     *
     * @param rate units a second of the quota
     * @param burst units that the quota's bucket holds
     * @param openLimit number of open requests
     * @param valueFactor factor on the worth of a request class
     * @param excessWorth worth of a unit served beyond the quota, relative to its worth inside the quota
     * @param excessCost cost of a unit served beyond the quota, relative to its worth inside the quota
     * @param capRate units a second of the cap, which is never exceeded
     * @param capBurst units that the cap's bucket holds
     * @param capSlack read from the settings; no decision depends on it
     */
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
        /** Returns whether a unit served beyond the quota earns at least what it costs. */
        public boolean excessPays() {
            return excessWorth > 0 && excessWorth >= excessCost;
        }

        /** The loss by a unit served beyond the quota, relative to its worth inside the quota. */
        public double excessLossRatio() {
            return excessCost - excessWorth;
        }

        /** The same loss, relative to the worth of the request class. */
        public double weightedExcessLoss() {
            return valueFactor * excessLossRatio();
        }
    }

    /**
     * What a gateway may do for a request, and whether gateways may exchange messages. No decision depends on {@code
     * mayDuplicate}, {@code mayProbe} and {@code mayAdviseRetry}; a {@code maxRetryAfterMs} of 0 means that refusals
     * advise no retry.
     */
    public record Limits(
            int maxAttempts,
            boolean mayDuplicate,
            boolean mayCancel,
            boolean mayProbe,
            boolean mayMessagePeers,
            boolean mayAdviseRetry,
            double maxRetryAfterMs,
            double connectTimeoutMs) {}

    /**
     * The rules on drains, cold hosts and late responses. The decision module uses only {@code coldLoadMultiple},
     * {@code coldCapacity} and {@code hostWarmUpMs}.
     *
     * @param coldLoadMultiple load that a cold host may get, as a multiple of its capacity share
     * @param coldLoadWindowMs time window over which that load is limited
     * @param coldCapacity capacity of a host that has just started, as a share of a warm host's
     * @param hostWarmUpMs time after its start at which a host is warm
     */
    public record Rules(
            double responseSlackMs,
            double drainGraceMs,
            double coldLoadMultiple,
            double coldLoadWindowMs,
            double coldCapacity,
            double hostWarmUpMs,
            double askWithinMs) {}

    /**
     * How gateways coordinate the quotas of a customer, and what each means costs.
     *
     * @param hasCounter whether there is a counter that all gateways share
     * @param meterPeriodMs length of a metered period; 0 if there is no meter
     * @param postPaid whether a request is charged for the units that it has actually used
     */
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

    /**
     * The settings of a gateway, given once at its start.
     *
     * @param gatewayNumber number of this gateway, from 0 on
     * @param subscribesToHosts whether the decision module subscribes to the host list itself
     */
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

    /** A host as discovery reports it; {@code startedMs} is 0 if the time of its start isn't known. */
    public record Host(
            String id, String zone, String kind, int cell, HostState state, double rating, double startedMs) {}

    /**
     * A request. The {@code spread} gateways from number {@code first} on, wrapping around at the last one, are the set
     * that receives the customer's requests.
     */
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

    /**
     * The result of an attempt.
     *
     * @param requestClosed whether the client no longer waits for a response: it has got one, or it has disconnected
     * @param meterReading percentage of its quota that the customer used in a metered period, plus 1; 0 if none came
     * @param actualUnits units that the request has actually used; 0 if they aren't known
     */
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

    /** The state of a customer in one process of a gateway, for a process that serves in addition or replaces it. */
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
        /** Returns the same snapshot with its times on a clock that is ahead by {@code ms}. */
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

    /** The events of a gateway and the queries on its state; {@code now} is the only clock of the decision module. */
    public interface Events {
        /** The gateway starts; this is the first event. */
        void start(double now, Settings settings);

        /** Discovery has sent a list of hosts, or the call for it has failed. */
        void hostsUpdated(double now, HostListKind kind, List<Host> hosts);

        /** A client's request has arrived. */
        void requestReceived(double now, Request request);

        /** The response of an attempt has begun to reach the client, so that the request can't be retried any more. */
        void streamStarted(double now, String id, int attempt);

        /** An attempt has ended. */
        void attemptEnded(double now, AttemptResult result);

        /** The client of a request has disconnected before the response. */
        void clientDisconnected(double now, String id);

        /** A timer that was started with this token has fired. */
        void timerFired(double now, String token);

        /** A probe of a host has ended. */
        default void probeEnded(double now, String host, Outcome outcome, double latencyMs, double[] loadMetrics) {}

        /** A message from another gateway has arrived. */
        void peerMessageReceived(double now, int sender, byte[] data);

        /** A call to the counter has ended; {@code total} is the counter's value if the outcome is OK. */
        void counterCallEnded(double now, String counter, Outcome outcome, double total);

        /** The number of processes of this gateway, including this one, has changed; they split the gateway's share. */
        void processCountChanged(double now, int processes);

        /** Returns the state of this process's customers. This is a query and causes no action. */
        List<CustomerSnapshot> snapshotCustomers(double now);

        /** Restores the state that another process of this gateway had of customers that this process hasn't seen. */
        void restoreCustomers(double now, List<CustomerSnapshot> snapshots);

        /** Returns how many listed hosts get no request as long as others are available. This is a query. */
        int avoidedHostCount(double now);
    }

    /** The actions of a gateway. */
    public interface Actions {
        /** Sends a new attempt of a request to a host; a timeout of 0 means that the attempt has none. */
        void send(String id, String host, double timeoutMs);

        /** Cancels an attempt, given by its number within the request, from 0 on. */
        void cancel(String id, int attempt);

        /** Refuses a request; a retry delay of 0 means that none is advised. */
        void refuse(String id, double retryAfterMs, Refusal reason);

        /** Responds to a request with an error: it may have run, so a retry may do harm. */
        void fail(String id);

        /** Starts a timer that fires once with this token. */
        void startTimer(double delayMs, String token);

        /** Sends a health check to a host. */
        void probeHost(String host);

        /** Sends a message to another gateway, given by its number; it may be lost. */
        void sendPeerMessage(int peer, byte[] data);

        /** Adds an amount to a named counter and requests its total; the counter starts anew after its lifetime. */
        void addToCounter(String counter, double amount, double lifetimeMs);

        /** Subscribes to the host list. */
        void subscribeHosts();
    }
}
