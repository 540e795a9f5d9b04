package deckfall.scale;

import deckfall.Gateway.Coordination;
import deckfall.Gateway.Effect;
import deckfall.Gateway.Host;
import deckfall.Gateway.KeyScope;
import deckfall.Gateway.Limits;
import deckfall.Gateway.Outcome;
import deckfall.Gateway.Plan;
import deckfall.Gateway.RequestClass;
import deckfall.Gateway.Rules;
import deckfall.Gateway.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ObjDoubleConsumer;

/** All gateways, servers and services of a run, and the messages between them. */
final class Fleet {
    private static final int MAX_ATTEMPTS = 3;
    private static final double CONNECT_TIMEOUT_MS = 250;
    private static final int ONCE_CLASS_INTERVAL = 3; // requests of one class in this many must not be repeated
    private static final double MAX_RETRY_AFTER_MS = 500;
    private static final double RESPONSE_SLACK_MS = 8;
    private static final double DRAIN_GRACE_MS = 500;
    private static final double COLD_LOAD_MULTIPLE = 2;
    private static final double COLD_LOAD_WINDOW_MS = 1000;
    private static final double COUNTER_CALL_PRICE = 0.01;
    private static final long START_DRAW = -1; // index of a gateway's random number for its start
    static final int SERVICES_ZONE = 0; // zone of discovery and the counter
    private static final int SERVERS_PER_RACK = 20; // all in one zone

    final EventQueue queue = new EventQueue();
    final SimulationOptions options;
    final Customers customers;
    final QuotaAccounting quotas;
    final RunStatistics statistics;
    final NetworkTopology topology;
    final SimulatedDiscovery discovery;
    final SimulatedCounter counter; // null if there is none
    final List<SimulatedServer> servers = new ArrayList<>();
    final FleetGateway[] gateways;
    final SimulatedLoadBalancer loadBalancer;
    private final SimulatedClients clients;
    private final SimulatedMeter meter;
    private final Map<String, SimulatedServer> serversById = new HashMap<>(); // for lookups only
    private final List<RequestClass> classes = new ArrayList<>();
    private AdmissionPolicy admissionPolicy = AdmissionPolicy.DECIDED_BY_GATEWAYS;
    private int gatewaysStarted;
    private long endedProcessesNanos;

    /**
     * Creates a fleet whose first gateways are real processes and whose next ones are simulated. The caller puts the
     * real ones into {@code gateways}.
     */
    Fleet(SimulationOptions options, int realGateways, int simulatedGateways) {
        this.options = options;
        customers = new Customers(options);
        statistics = new RunStatistics(options);
        quotas = new QuotaAccounting(customers, statistics.perSecond);
        topology = new NetworkTopology(options.zones, options.regions, options.zoneLatencyMs, options.regionLatencyMs);
        discovery = new SimulatedDiscovery(queue, options);
        counter = options.counterCallsPerSecond <= 0
                ? null
                : new SimulatedCounter(
                        queue,
                        options.counterCallsPerSecond,
                        options.counterShards,
                        options.counterRoundTripMs,
                        options.maxCounterQueueTimeouts * options.counterTimeoutMs);
        meter = new SimulatedMeter(customers, options.meterPeriodMs, options.meterDelayMs);
        clients = new SimulatedClients(queue, options, customers, this::arrive);
        gateways = new FleetGateway[options.gateways];
        loadBalancer = new SimulatedLoadBalancer(this);
        for (int i = 0; i < options.classes; i++) {
            classes.add(new RequestClass(
                    "c" + i,
                    i % ONCE_CLASS_INTERVAL == 1 ? Effect.ONCE : Effect.REPEATABLE,
                    KeyScope.ALL,
                    0,
                    options.goalMs,
                    options.deadlineMs,
                    1,
                    0,
                    false));
        }
        for (int i = 0; i < options.servers; i++) {
            discovery.addInitialHost(addServer(topology.zoneOf(i), rackOf(i), 0).toHost());
        }
        for (int gateway = realGateways; gateway < realGateways + simulatedGateways; gateway++) {
            int number = gateway; // staggered, since periodic calls in step would collide at the counter
            double startAtMs = HashRandom.uniformBetween(
                    0, SimulationOptions.STARTUP_MS, HashRandom.mix(options.seed, number), START_DRAW);
            queue.scheduleAt(startAtMs, () -> startGateway(number));
        }
    }

    private int rackOf(int server) {
        return server / (options.zones * SERVERS_PER_RACK) * options.zones + topology.zoneOf(server);
    }

    SimulatedServer addServer(int zone, int cell, double startedMs) {
        SimulatedServer server = new SimulatedServer(queue, options, servers.size(), zone, cell, startedMs);
        servers.add(server);
        serversById.put(server.id, server);
        return server;
    }

    /** Starts a new process of a gateway, which gets all new requests. */
    SimulatedGateway startGateway(int number) {
        int zone = topology.zoneOf(number);
        SimulatedGateway gateway =
                new SimulatedGateway(this, settings(number, NetworkTopology.zoneName(zone)), number, zone);
        gateways[number] = gateway;
        gatewaysStarted++;
        gateway.start();
        discovery.watch(number, gateway::hostsUpdated);
        return gateway;
    }

    Settings settings(int number, String zone) {
        List<Plan> plans = admissionPolicy.replacesGatewayQuotas() ? customers.plansWithoutQuotas() : customers.plans();
        boolean metered = options.meterDelayMs > 0;
        return new Settings(
                HashRandom.mix(options.seed, number),
                number,
                options.gateways,
                zone,
                false,
                List.copyOf(classes),
                plans,
                List.of(),
                new Limits(MAX_ATTEMPTS, false, true, false, false, true, MAX_RETRY_AFTER_MS, CONNECT_TIMEOUT_MS),
                new Rules(
                        RESPONSE_SLACK_MS,
                        DRAIN_GRACE_MS,
                        COLD_LOAD_MULTIPLE,
                        COLD_LOAD_WINDOW_MS,
                        options.coldCapacity,
                        options.serverWarmUpMs,
                        0),
                new Coordination(
                        counter != null,
                        COUNTER_CALL_PRICE,
                        options.counterTimeoutMs,
                        metered ? options.meterPeriodMs : 0,
                        false,
                        options.maxUnits,
                        0,
                        0,
                        0,
                        0));
    }

    void startClients(double untilMs) {
        clients.start(untilMs);
    }

    // ---- clients and gateways

    private void arrive(ClientRequest request) {
        if (gateways[request.gateway] == null) {
            return; // neither the gateway nor its clients are part of this run
        }
        statistics.requestArrived(request);
        if (request.retryNumber == 0) {
            quotas.requestOffered(request);
        }
        request.gateway = loadBalancer.gatewayFor(request);
        if (!gateways[request.gateway].alive()) {
            requestEnded(request, RunStatistics.RequestOutcome.NO_GATEWAY, 0);
            return;
        }
        admissionPolicy
                .refusalRetryAfterMs(request)
                .ifPresentOrElse(
                        retryAfterMs -> requestEnded(request, RunStatistics.RequestOutcome.REFUSED, retryAfterMs),
                        () -> gateways[request.gateway].handleRequest(request));
    }

    /** Sets a policy that decides on quotas in place of the gateways. To be called before any of them starts. */
    void setAdmissionPolicy(AdmissionPolicy policy) {
        admissionPolicy = policy;
    }

    /** Called when a request has its final outcome. */
    void requestEnded(ClientRequest request, RunStatistics.RequestOutcome outcome, double retryAfterMs) {
        statistics.requestEnded(request, outcome, queue.now());
        if (outcome == RunStatistics.RequestOutcome.REFUSED) {
            statistics.refusedWithRetryAfter += request.measured && retryAfterMs > 0 ? 1 : 0;
            if (!request.dispatched) {
                quotas.requestRefused(request, queue.now());
            }
        }
        if (outcome == RunStatistics.RequestOutcome.REFUSED || outcome == RunStatistics.RequestOutcome.NO_GATEWAY) {
            clients.retryOrGiveUp(request, retryAfterMs);
        }
    }

    // ---- gateways and servers

    void sendAttempt(ClientRequest.Attempt attempt) {
        FleetGateway gateway = attempt.gateway;
        SimulatedServer server = serversById.get(attempt.host);
        double nowMs = queue.now();
        statistics.attemptSent(gateway.number, server, server.zone != gateway.zone, nowMs);
        double latencyMs = topology.latencyMs(gateway.zone, server.zone);
        if (!topology.canReach(gateway.zone, server.zone) || server.state() == SimulatedServer.State.UNREACHABLE) {
            queue.scheduleAfter(CONNECT_TIMEOUT_MS, () -> gateway.attemptEnded(attempt, Outcome.CONNECT_FAILED, 0));
        } else {
            queue.scheduleAfter(latencyMs, () -> deliverAttempt(attempt, server, latencyMs));
        }
    }

    /** Called when an attempt has arrived completely at a server. */
    void deliverAttempt(ClientRequest.Attempt attempt, SimulatedServer server, double latencyMs) {
        if (server.state() == SimulatedServer.State.UNREACHABLE) {
            return; // there is no response
        }
        if (server.state() == SimulatedServer.State.TERMINATED) {
            queue.scheduleAfter(latencyMs, () -> attempt.gateway.attemptEnded(attempt, Outcome.CONNECT_FAILED, 0));
            return;
        }
        if (!attempt.request.quotaCharged) {
            attempt.request.quotaCharged = true;
            quotas.requestReachedServer(attempt.request, queue.now());
            meter.recordUse(attempt.request.customer, attempt.request.units, queue.now());
        }
        server.accept(attempt, outcome -> {
            if (topology.canReach(attempt.gateway.zone, server.zone)) {
                boolean metered = outcome == Outcome.OK || outcome == Outcome.FULL;
                int meterReading = metered ? meter.reading(attempt.request.customer, queue.now()) : 0;
                queue.scheduleAfter(latencyMs, () -> attempt.gateway.attemptEnded(attempt, outcome, meterReading));
            }
        });
    }

    void callCounter(
            FleetGateway gateway,
            String name,
            double amount,
            double lifetimeMs,
            double timeoutMs,
            ObjDoubleConsumer<Outcome> onResult) {
        counter.call(name, amount, lifetimeMs, timeoutMs, topology.canReach(gateway.zone, SERVICES_ZONE), onResult);
    }

    // ---- totals over all processes

    long decisionNanos() {
        long sum = 0;
        for (FleetGateway gateway : gateways) {
            sum += gateway != null && gateway.alive() ? gateway.decisionNanos() : 0;
        }
        return sum + endedProcessesNanos;
    }

    int gatewaysStarted() {
        return gatewaysStarted;
    }

    void processEnded(SimulatedGateway gateway) {
        endedProcessesNanos += gateway.decisionNanos();
    }

    /** Publishes the current state of these servers through discovery. */
    void serversChanged(List<SimulatedServer> changedServers) {
        List<Host> hosts = new ArrayList<>();
        changedServers.forEach(server -> hosts.add(server.toHost()));
        discovery.publish(hosts);
    }
}
