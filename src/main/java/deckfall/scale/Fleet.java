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

/** All gateways, servers and services of a run, and what passes between them. */
final class Fleet {
    private static final int MOST_ATTEMPTS = 3;
    private static final double CONNECT_MS = 250;
    private static final int ONCE_EVERY = 3; // of the classes, one that may not be repeated
    private static final double MOST_RETRY_AFTER_MS = 500;
    static final int SERVICES_ZONE = 0; // where discovery and the counter stand
    private static final int RACK = 20; // servers of one zone

    final EventQueue queue = new EventQueue();
    final HollowOptions options;
    final Customers customers;
    final QuotaAccounting quotas;
    final RunStatistics figures;
    final NetworkTopology zones;
    final SimulatedDiscovery discovery;
    final SimulatedCounter counter; // null: none
    final List<SimulatedServer> servers = new ArrayList<>();
    final FleetGateway[] gateways;
    final SimulatedLoadBalancer front;
    private final SimulatedClients clients;
    private final SimulatedMeter meter;
    private final Map<String, SimulatedServer> serversById = new HashMap<>(); // for look-ups alone
    private final List<RequestClass> classes = new ArrayList<>();
    private AdmissionPolicy admission = AdmissionPolicy.DECIDED_BY_GATEWAYS;
    private int gatewaysStarted;
    private long endedNanos;

    /** With some gateways that are not hollow, which whoever makes it puts into the first places, and some hollow. */
    Fleet(HollowOptions options, int real, int hollow) {
        this.options = options;
        customers = new Customers(options);
        figures = new RunStatistics(options);
        quotas = new QuotaAccounting(customers, figures.perSecond);
        zones = new NetworkTopology(options.zones, options.regions, options.nearMs, options.regionMs);
        discovery = new SimulatedDiscovery(queue, options);
        counter = options.counterRate <= 0
                ? null
                : new SimulatedCounter(
                        queue,
                        options.counterRate,
                        options.counterParts,
                        options.counterMs,
                        options.counterLine * options.counterTimeoutMs);
        meter = new SimulatedMeter(customers, options.meterPeriodMs, options.meterLateMs);
        clients = new SimulatedClients(queue, options, customers, this::arrive);
        gateways = new FleetGateway[options.gateways];
        front = new SimulatedLoadBalancer(this);
        for (int i = 0; i < options.classes; i++) {
            classes.add(new RequestClass(
                    "c" + i,
                    i % ONCE_EVERY == 1 ? Effect.ONCE : Effect.REPEATABLE,
                    KeyScope.ALL,
                    0,
                    options.goalMs,
                    options.deadlineMs,
                    1,
                    0,
                    false));
        }
        for (int i = 0; i < options.servers; i++) {
            discovery.addInitialHost(addServer(zones.zoneOf(i), rack(i), 0).toHost());
        }
        for (int g = real; g < real + hollow; g++) {
            int number = g; // none in step with another: their beats would meet at the counter
            double at = HashRandom.uniformBetween(0, HollowOptions.START_MS, HashRandom.mix(options.seed, number), -1);
            queue.scheduleAt(at, () -> startGateway(number));
        }
    }

    private int rack(int server) {
        return server / (options.zones * RACK) * options.zones + zones.zoneOf(server);
    }

    SimulatedServer addServer(int zone, int cell, double startedMs) {
        SimulatedServer s = new SimulatedServer(queue, options, servers.size(), zone, cell, startedMs);
        servers.add(s);
        serversById.put(s.id, s);
        return s;
    }

    /** A new process of a gateway, to which new tries go. */
    SimulatedGateway startGateway(int number) {
        int zone = zones.zoneOf(number);
        SimulatedGateway gateway =
                new SimulatedGateway(this, settings(number, NetworkTopology.zoneName(zone)), number, zone);
        gateways[number] = gateway;
        gatewaysStarted++;
        gateway.start();
        discovery.watch(number, gateway::hostsUpdated);
        return gateway;
    }

    Settings settings(int number, String zone) {
        List<Plan> plans = admission.replacesGatewayQuotas() ? customers.plansWithoutQuotas() : customers.plans();
        boolean metered = options.meterLateMs > 0;
        return new Settings(
                HashRandom.mix(options.seed, number),
                number,
                options.gateways,
                zone,
                false,
                List.copyOf(classes),
                plans,
                List.of(),
                new Limits(MOST_ATTEMPTS, false, true, false, false, true, MOST_RETRY_AFTER_MS, CONNECT_MS),
                new Rules(8, 500, 2, 1000, options.coldFrom, options.warmMs, 0),
                new Coordination(
                        counter != null,
                        0.01,
                        options.counterTimeoutMs,
                        metered ? options.meterPeriodMs : 0,
                        false,
                        options.maxUnits,
                        0,
                        0,
                        0,
                        0));
    }

    void startClients(double until) {
        clients.start(until);
    }

    // ---- clients and gateways

    private void arrive(ClientRequest t) {
        if (gateways[t.gateway] == null) {
            return; // no part of this run, nor are its clients
        }
        figures.requestArrived(t);
        if (t.retryNumber == 0) {
            quotas.requestOffered(t);
        }
        t.gateway = front.gatewayFor(t);
        if (!gateways[t.gateway].alive()) {
            ended(t, RunStatistics.RequestOutcome.NO_GATEWAY, 0);
            return;
        }
        admission
                .refusalRetryAfterMs(t)
                .ifPresentOrElse(
                        retryAfterMs -> ended(t, RunStatistics.RequestOutcome.REFUSED, retryAfterMs),
                        () -> gateways[t.gateway].handleRequest(t));
    }

    /** Who decides on quotas in place of the gateways; before any of them starts. */
    void admitBy(AdmissionPolicy by) {
        admission = by;
    }

    /** A try has its final answer. */
    void ended(ClientRequest t, RunStatistics.RequestOutcome end, double retryAfterMs) {
        figures.requestEnded(t, end, queue.now());
        if (end == RunStatistics.RequestOutcome.REFUSED) {
            figures.refusedWithRetryAfter += t.measured && retryAfterMs > 0 ? 1 : 0;
            if (!t.dispatched) {
                quotas.requestRefused(t, queue.now());
            }
        }
        if (end == RunStatistics.RequestOutcome.REFUSED || end == RunStatistics.RequestOutcome.NO_GATEWAY) {
            clients.retryOrGiveUp(t, retryAfterMs);
        }
    }

    // ---- gateways and servers

    void attempt(ClientRequest.Attempt a) {
        FleetGateway from = a.gateway;
        SimulatedServer to = serversById.get(a.host);
        double now = queue.now();
        figures.attemptSent(from.number, to, to.zone != from.zone, now);
        double way = zones.latencyMs(from.zone, to.zone);
        if (!zones.canReach(from.zone, to.zone) || to.state() == SimulatedServer.State.UNREACHABLE) {
            queue.scheduleAfter(CONNECT_MS, () -> from.attemptEnded(a, Outcome.CONNECT_FAILED, 0));
        } else {
            queue.scheduleAfter(way, () -> reach(a, to, way));
        }
    }

    /** An attempt comes whole to a server. */
    void reach(ClientRequest.Attempt a, SimulatedServer to, double way) {
        if (to.state() == SimulatedServer.State.UNREACHABLE) {
            return; // nothing comes back
        }
        if (to.state() == SimulatedServer.State.TERMINATED) {
            queue.scheduleAfter(way, () -> a.gateway.attemptEnded(a, Outcome.CONNECT_FAILED, 0));
            return;
        }
        if (!a.request.quotaCharged) {
            a.request.quotaCharged = true;
            quotas.requestReachedServer(a.request, queue.now());
            meter.recordUse(a.request.customer, a.request.units, queue.now());
        }
        to.accept(a, outcome -> {
            if (zones.canReach(a.gateway.zone, to.zone)) {
                boolean tells = outcome == Outcome.OK || outcome == Outcome.FULL;
                int used = tells ? meter.reading(a.request.customer, queue.now()) : 0;
                queue.scheduleAfter(way, () -> a.gateway.attemptEnded(a, outcome, used));
            }
        });
    }

    void call(
            FleetGateway from,
            String name,
            double amount,
            double lifeMs,
            double timeoutMs,
            ObjDoubleConsumer<Outcome> end) {
        counter.call(name, amount, lifeMs, timeoutMs, zones.canReach(from.zone, SERVICES_ZONE), end);
    }

    // ---- figures over all processes

    long busyNanos() {
        long sum = 0;
        for (FleetGateway g : gateways) {
            sum += g != null && g.alive() ? g.decisionNanos() : 0;
        }
        return sum + endedNanos;
    }

    int gatewaysStarted() {
        return gatewaysStarted;
    }

    void processEnded(SimulatedGateway gateway) {
        endedNanos += gateway.decisionNanos();
    }

    /** What discovery now tells of the servers. */
    void changed(List<SimulatedServer> changed) {
        List<Host> hosts = new ArrayList<>();
        changed.forEach(s -> hosts.add(s.toHost()));
        discovery.publish(hosts);
    }
}
