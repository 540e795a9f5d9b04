package deckfall.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Injects the scheduled faults into the fleet and ends each one after its duration. */
final class FaultInjector {
    private static final double SERVER_DRAIN_MS = 2000; // from the start of a server's drain until its process ends
    private static final double DISCOVERY_DETECTION_MS = 3000; // until discovery reports lost machines as gone
    private static final double COUNTER_FAILOVER_MS = 5000; // until the counter of a lost zone serves from another zone
    private static final double PROCESS_OVERLAP_MS = 500; // of two gateway processes, on top of the request deadline

    private final Fleet fleet;
    private final EventQueue queue;

    FaultInjector(Fleet fleet) {
        this.fleet = fleet;
        this.queue = fleet.queue;
    }

    void schedule(List<Fault> faults, double startMs) {
        for (Fault fault : faults) {
            queue.scheduleAt(startMs + fault.atMs(), () -> inject(fault));
        }
    }

    private void inject(Fault fault) {
        switch (fault.kind()) {
            case SERVER_REPLACED -> replaceServers(fault);
            case SERVER_HANGING -> hangServers(fault);
            case GATEWAY_REPLACED, RELEASE -> replaceGateways(fault);
            case GATEWAY_KILLED -> killGateways(fault);
            case RACK -> takeDown(fault, server -> server.cell < fault.count());
            case ZONE -> takeDownZone(fault);
            case REGION_CUT -> partitionRegions(fault);
            case COUNTER_SILENT -> disruptCounter(fault, SimulatedCounter.Mode.SILENT, false);
            case COUNTER_REFUSING -> disruptCounter(fault, SimulatedCounter.Mode.REFUSING, false);
            case COUNTER_EMPTY -> disruptCounter(fault, SimulatedCounter.Mode.SILENT, true);
            case COUNTER_SLOW -> slowCounter(fault);
            case DISCOVERY_DOWN -> blockDiscovery(fault, gateway -> true);
        }
    }

    /** The index of item {@code i} of {@code count} items that are spaced evenly over {@code total}. */
    private static int evenlySpaced(int i, int count, int total) {
        return (int) ((long) i * total / count);
    }

    // ---- servers

    private void replaceServers(Fault fault) {
        fleet.statistics.serversChanged();
        int count = Math.min(fault.count(), fleet.options.servers);
        for (int i = 0; i < count; i++) {
            SimulatedServer old = fleet.servers.get(evenlySpaced(i, count, fleet.options.servers));
            queue.scheduleAfter(fault.durationMs() * i / count, () -> replaceServer(old));
        }
    }

    private void replaceServer(SimulatedServer old) {
        if (old.state() != SimulatedServer.State.SERVING) {
            return;
        }
        old.drain();
        fleet.serversChanged(List.of(old, fleet.addServer(old.zone, old.cell, queue.now())));
        queue.scheduleAfter(SERVER_DRAIN_MS, () -> {
            old.terminate();
            fleet.serversChanged(List.of(old));
        });
    }

    private void hangServers(Fault fault) {
        int count = Math.min(fault.count(), fleet.options.servers);
        for (int i = 0; i < count; i++) {
            SimulatedServer server = fleet.servers.get(evenlySpaced(i, count, fleet.options.servers));
            server.setHanging(true);
            queue.scheduleAfter(fault.durationMs(), () -> server.setHanging(false));
        }
    }

    /** Takes the machines of the selected servers off the network; they come back with a cold start. */
    private void takeDown(Fault fault, Predicate<SimulatedServer> selected) {
        fleet.statistics.serversChanged();
        List<SimulatedServer> lost = new ArrayList<>(fleet.servers);
        lost.removeIf(server -> !selected.test(server) || server.state() != SimulatedServer.State.SERVING);
        lost.forEach(SimulatedServer::becomeUnreachable);
        queue.scheduleAfter(DISCOVERY_DETECTION_MS, () -> fleet.serversChanged(lost));
        queue.scheduleAfter(Math.max(DISCOVERY_DETECTION_MS, fault.durationMs()), () -> {
            lost.forEach(SimulatedServer::restart);
            fleet.serversChanged(lost);
        });
    }

    // ---- gateways

    private void killGateways(Fault fault) {
        int count = Math.min(fault.count(), fleet.options.gateways);
        for (int i = 0; i < count; i++) {
            takeDown(evenlySpaced(i, count, fleet.options.gateways), fault.durationMs());
        }
    }

    /** Ends the process of a gateway and starts a new one after the duration. */
    private void takeDown(int gateway, double durationMs) {
        fleet.gateways[gateway].terminate();
        queue.scheduleAfter(SimulatedLoadBalancer.FAILURE_DETECTION_MS, () -> fleet.loadBalancer.checkHealth(gateway));
        queue.scheduleAfter(durationMs, () -> {
            fleet.startGateway(gateway);
            fleet.loadBalancer.checkHealth(gateway);
        });
    }

    /**
     * Replaces gateways: on a new machine without any state or, in a release, next to the old process, whose state the
     * new process takes over.
     */
    private void replaceGateways(Fault fault) {
        boolean release = fault.kind() == Fault.Kind.RELEASE;
        int gatewayCount = fleet.options.gateways;
        int count = release ? gatewayCount : Math.min(fault.count(), gatewayCount);
        int steps = release ? Math.max(1, fault.count()) : count;
        for (int i = 0; i < count; i++) {
            int gateway = evenlySpaced(i, count, gatewayCount);
            double delayMs = fault.durationMs() * (int) ((long) i * steps / count) / steps;
            queue.scheduleAfter(delayMs, () -> replaceGateway(gateway, release));
        }
    }

    private void replaceGateway(int number, boolean release) {
        FleetGateway old = fleet.gateways[number];
        if (!old.alive()) {
            return;
        }
        SimulatedGateway replacement = fleet.startGateway(number);
        if (release && old instanceof SimulatedGateway predecessor) {
            replacement.takeOver(predecessor);
        }
        queue.scheduleAfter(fleet.options.deadlineMs + PROCESS_OVERLAP_MS, () -> {
            old.terminate();
            if (release && replacement.alive()) {
                replacement.setProcessCount(1);
            }
        });
    }

    // ---- zones and regions

    private void takeDownZone(Fault fault) {
        int zone = fault.size() < 0 ? fleet.options.zones - 1 : fault.count() % fleet.options.zones;
        takeDown(fault, server -> server.zone == zone);
        for (FleetGateway gateway : fleet.gateways.clone()) {
            if (gateway.zone == zone && gateway.alive()) {
                takeDown(gateway.number, fault.durationMs());
            }
        }
        if (zone == Fleet.SERVICES_ZONE) {
            setCounterMode(SimulatedCounter.Mode.SILENT);
            queue.scheduleAfter(COUNTER_FAILOVER_MS, () -> {
                clearCounter();
                setCounterMode(SimulatedCounter.Mode.SERVING);
            });
        }
    }

    /**
     * Partitions the network between the regions; discovery and the counter can be reached from their own region only.
     */
    private void partitionRegions(Fault fault) {
        int servicesRegion = fleet.topology.regionOf(Fleet.SERVICES_ZONE);
        fleet.topology.setPartitioned(true);
        blockDiscovery(fault, gateway -> fleet.topology.regionOf(gateway.zone) != servicesRegion);
        queue.scheduleAfter(fault.durationMs(), () -> fleet.topology.setPartitioned(false));
    }

    private void blockDiscovery(Fault fault, Predicate<FleetGateway> selected) {
        for (FleetGateway gateway : fleet.gateways) {
            if (selected.test(gateway)) {
                fleet.discovery.setUnreachable(gateway.number, true);
                queue.scheduleAfter(fault.durationMs(), () -> fleet.discovery.setUnreachable(gateway.number, false));
            }
        }
    }

    // ---- the counter

    private void setCounterMode(SimulatedCounter.Mode mode) {
        if (fleet.counter != null) {
            fleet.counter.setMode(mode);
        }
    }

    private void clearCounter() {
        if (fleet.counter != null) {
            fleet.counter.clear();
        }
    }

    private void disruptCounter(Fault fault, SimulatedCounter.Mode mode, boolean clears) {
        setCounterMode(mode);
        queue.scheduleAfter(fault.durationMs(), () -> {
            if (clears) {
                clearCounter();
            }
            setCounterMode(SimulatedCounter.Mode.SERVING);
        });
    }

    private void slowCounter(Fault fault) {
        if (fleet.counter != null) {
            fleet.counter.setSlowdownFactor(Math.max(1, fault.size()));
            queue.scheduleAfter(fault.durationMs(), () -> fleet.counter.setSlowdownFactor(1));
        }
    }
}
