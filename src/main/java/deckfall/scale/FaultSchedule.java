package deckfall.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Brings the faults of a schedule about, and mends each when its time is up. */
final class FaultSchedule {
    private static final double DRAIN_MS = 2000; // of a server, before its process ends
    private static final double NOTICED_MS = 3000; // until discovery tells of machines that are gone
    private static final double MOVED_MS = 5000; // until the counter of a lost zone is back elsewhere
    private static final double OVERLAP_MS = 500; // of two processes of a gateway, beside its requests' time

    private final Fleet fleet;
    private final EventQueue queue;

    FaultSchedule(Fleet fleet) {
        this.fleet = fleet;
        this.queue = fleet.queue;
    }

    void place(List<Fault> faults, double fromMs) {
        for (Fault f : faults) {
            queue.scheduleAt(fromMs + f.atMs(), () -> begin(f));
        }
    }

    private void begin(Fault f) {
        switch (f.kind()) {
            case SERVER_REPLACED -> replaceServers(f);
            case SERVER_HANGING -> hang(f);
            case GATEWAY_REPLACED, RELEASE -> replaceGateways(f);
            case GATEWAY_KILLED -> kill(f);
            case RACK -> lose(f, s -> s.cell < f.count());
            case ZONE -> loseZone(f);
            case REGION_CUT -> cut(f);
            case COUNTER_SILENT -> counter(f, SimulatedCounter.Mode.SILENT, false);
            case COUNTER_REFUSING -> counter(f, SimulatedCounter.Mode.REFUSING, false);
            case COUNTER_EMPTY -> counter(f, SimulatedCounter.Mode.SILENT, true);
            case COUNTER_SLOW -> slowCounter(f);
            case DISCOVERY_DOWN -> silence(f, g -> true);
        }
    }

    /** {@code i} of {@code count} things that are chosen evenly among {@code all}. */
    private static int chosen(int i, int count, int all) {
        return (int) ((long) i * all / count);
    }

    // ---- servers

    private void replaceServers(Fault f) {
        fleet.statistics.serversChanged();
        int count = Math.min(f.count(), fleet.options.servers);
        for (int i = 0; i < count; i++) {
            SimulatedServer old = fleet.servers.get(chosen(i, count, fleet.options.servers));
            queue.scheduleAfter(f.lengthMs() * i / count, () -> replace(old));
        }
    }

    private void replace(SimulatedServer old) {
        if (old.state() != SimulatedServer.State.SERVING) {
            return;
        }
        old.drain();
        fleet.serversChanged(List.of(old, fleet.addServer(old.zone, old.cell, queue.now())));
        queue.scheduleAfter(DRAIN_MS, () -> {
            old.terminate();
            fleet.serversChanged(List.of(old));
        });
    }

    private void hang(Fault f) {
        int count = Math.min(f.count(), fleet.options.servers);
        for (int i = 0; i < count; i++) {
            SimulatedServer s = fleet.servers.get(chosen(i, count, fleet.options.servers));
            s.setHanging(true);
            queue.scheduleAfter(f.lengthMs(), () -> s.setHanging(false));
        }
    }

    /** Their machines say nothing any more, and are back with a cold start. */
    private void lose(Fault f, Predicate<SimulatedServer> which) {
        fleet.statistics.serversChanged();
        List<SimulatedServer> lost = new ArrayList<>(fleet.servers);
        lost.removeIf(s -> !which.test(s) || s.state() != SimulatedServer.State.SERVING);
        lost.forEach(SimulatedServer::becomeUnreachable);
        queue.scheduleAfter(NOTICED_MS, () -> fleet.serversChanged(lost));
        queue.scheduleAfter(Math.max(NOTICED_MS, f.lengthMs()), () -> {
            lost.forEach(SimulatedServer::restart);
            fleet.serversChanged(lost);
        });
    }

    // ---- gateways

    private void kill(Fault f) {
        int count = Math.min(f.count(), fleet.options.gateways);
        for (int i = 0; i < count; i++) {
            lose(chosen(i, count, fleet.options.gateways), f.lengthMs());
        }
    }

    private void lose(int gateway, double lengthMs) {
        fleet.gateways[gateway].terminate();
        queue.scheduleAfter(SimulatedLoadBalancer.FAILURE_DETECTION_MS, () -> fleet.loadBalancer.checkHealth(gateway));
        queue.scheduleAfter(lengthMs, () -> {
            fleet.startGateway(gateway);
            fleet.loadBalancer.checkHealth(gateway);
        });
    }

    /** On a new machine, which remembers nothing, or in a release beside the old process, of which it learns. */
    private void replaceGateways(Fault f) {
        boolean release = f.kind() == Fault.Kind.RELEASE;
        int all = fleet.options.gateways;
        int count = release ? all : Math.min(f.count(), all);
        int steps = release ? Math.max(1, f.count()) : count;
        for (int i = 0; i < count; i++) {
            int gateway = chosen(i, count, all);
            double at = f.lengthMs() * (int) ((long) i * steps / count) / steps;
            queue.scheduleAfter(at, () -> replaceGateway(gateway, release));
        }
    }

    private void replaceGateway(int number, boolean release) {
        FleetGateway old = fleet.gateways[number];
        if (!old.alive()) {
            return;
        }
        SimulatedGateway next = fleet.startGateway(number);
        if (release && old instanceof SimulatedGateway former) {
            next.takeOver(former);
        }
        queue.scheduleAfter(fleet.options.deadlineMs + OVERLAP_MS, () -> {
            old.terminate();
            if (release && next.alive()) {
                next.setProcessCount(1);
            }
        });
    }

    // ---- zones and regions

    private void loseZone(Fault f) {
        int zone = f.size() < 0 ? fleet.options.zones - 1 : f.count() % fleet.options.zones;
        lose(f, s -> s.zone == zone);
        for (FleetGateway g : fleet.gateways.clone()) {
            if (g.zone == zone && g.alive()) {
                lose(g.number, f.lengthMs());
            }
        }
        if (zone == Fleet.SERVICES_ZONE) {
            setCounter(SimulatedCounter.Mode.SILENT);
            queue.scheduleAfter(MOVED_MS, () -> {
                empty();
                setCounter(SimulatedCounter.Mode.SERVING);
            });
        }
    }

    /** Discovery and the counter are on one side alone. */
    private void cut(Fault f) {
        int side = fleet.topology.regionOf(Fleet.SERVICES_ZONE);
        fleet.topology.partitioned(true);
        silence(f, g -> fleet.topology.regionOf(g.zone) != side);
        queue.scheduleAfter(f.lengthMs(), () -> fleet.topology.partitioned(false));
    }

    private void silence(Fault f, Predicate<FleetGateway> which) {
        for (FleetGateway g : fleet.gateways) {
            if (which.test(g)) {
                fleet.discovery.setUnreachable(g.number, true);
                queue.scheduleAfter(f.lengthMs(), () -> fleet.discovery.setUnreachable(g.number, false));
            }
        }
    }

    // ---- the counter

    private void setCounter(SimulatedCounter.Mode mode) {
        if (fleet.counter != null) {
            fleet.counter.setMode(mode);
        }
    }

    private void empty() {
        if (fleet.counter != null) {
            fleet.counter.clear();
        }
    }

    private void counter(Fault f, SimulatedCounter.Mode mode, boolean empties) {
        setCounter(mode);
        queue.scheduleAfter(f.lengthMs(), () -> {
            if (empties) {
                empty();
            }
            setCounter(SimulatedCounter.Mode.SERVING);
        });
    }

    private void slowCounter(Fault f) {
        if (fleet.counter != null) {
            fleet.counter.setSlowdownFactor(Math.max(1, f.size()));
            queue.scheduleAfter(f.lengthMs(), () -> fleet.counter.setSlowdownFactor(1));
        }
    }
}
