package deckfall;

import deckfall.Gateway.AttemptResult;
import deckfall.Gateway.Host;
import deckfall.Gateway.HostListKind;
import deckfall.Gateway.HostState;
import deckfall.Gateway.Outcome;
import deckfall.Gateway.Request;
import deckfall.Gateway.Rules;
import deckfall.Gateway.Settings;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Thirty gateways and queueing servers on one clock, most of which come back cold while a burst begins: what all
 * gateways together send to each of these is held against what the rules allow.
 */
final class ColdServerSimulation {
    private static final int GATEWAYS = 30;
    private static final int SLOTS = 4;
    private static final int QUEUE_PLACES = 4 * SLOTS; // places before the slots
    private static final double MEAN_SERVICE_MS = 200; // the mean
    private static final double WARM_UTILIZATION = 0.6; // of what all can do
    private static final double BURST_FACTOR = 1.5;
    private static final double COLD_STOP_MS = 5000; // when the cold ones leave
    private static final double COLD_RESTART_MS = 6500;
    private static final double END_MS = 14_500;
    private static final double OVERLAP_MS = 1000; // that two processes of a gateway serve together

    /** What goes wrong beside the queues. */
    record Faults(double failureRate, double restartsPerSecond, boolean allGatewaysRestart, boolean twoProcesses) {}

    private record Event(double atMs, int sequence, Runnable action) {}

    private static final class Attempt {
        final GatewayHarness gateway;
        final String id;
        final int number;
        final double sentAt;
        boolean ended;

        Attempt(GatewayHarness gateway, String id, int number, double sentAt) {
            this.gateway = gateway;
            this.id = id;
            this.number = number;
            this.sentAt = sentAt;
        }
    }

    private final class SeatServer {
        final String id;
        final boolean isCold;
        final ArrayDeque<Attempt> queue = new ArrayDeque<>();
        final List<Attempt> inService = new ArrayList<>();
        final List<Double> attemptTimes = new ArrayList<>(); // once it is back
        boolean up = true;
        double startedMs;

        SeatServer(int number, boolean returns) {
            id = "abc".charAt(number % 3) + "-" + Long.toHexString(random.nextLong());
            this.isCold = returns;
        }

        Host toHost() {
            return new Host(id, id.substring(0, 1), "std", 0, up ? HostState.RUNNING : HostState.GONE, 1, startedMs);
        }

        double capacityShare(double at) {
            double done = startedMs > 0 ? (at - startedMs) / rules.warmWithinMs() : 1;
            return Math.min(1, rules.coldFrom() + (1 - rules.coldFrom()) * done);
        }

        void stop() {
            up = false;
            List<Attempt> held = new ArrayList<>(inService);
            held.addAll(queue);
            inService.clear();
            queue.clear();
            held.forEach(attempt -> attemptEnded(attempt, Outcome.RESET));
        }

        void accept(Attempt attempt) {
            if (!up) attemptEnded(attempt, Outcome.CONNECT_FAILED);
            else if (inService.size() < SLOTS) serve(attempt);
            else if (queue.size() < QUEUE_PLACES) queue.add(attempt);
            else attemptEnded(attempt, Outcome.FULL);
        }

        private void serve(Attempt attempt) {
            inService.add(attempt);
            scheduleAfter(-Math.log(1 - random.nextDouble()) * MEAN_SERVICE_MS / capacityShare(now), () -> {
                if (!inService.remove(attempt)) return;
                attemptEnded(attempt, Outcome.OK);
                while (!queue.isEmpty() && inService.size() < SLOTS) {
                    Attempt next = queue.poll();
                    if (!next.ended) serve(next);
                }
            });
        }

        /** A window's budget is that of its first moment, when the server can do least. */
        void measureBudgetUse() {
            for (int first = 0, next = 0; first < attemptTimes.size(); first++) {
                double from = attemptTimes.get(first);
                while (next < attemptTimes.size() && attemptTimes.get(next) < from + rules.fallMs()) next++;
                double n = rules.fallMultiple() * capacityShare(from) * rules.fallMs() * SLOTS / MEAN_SERVICE_MS;
                peakBudgetUse = Math.max(peakBudgetUse, (next - first) / (n + 2 * Math.sqrt(n) + 2));
            }
            double mean = (capacityShare(startedMs) + capacityShare(END_MS)) / 2;
            allowedAttempts += rules.fallMultiple() * mean * (END_MS - startedMs) * SLOTS / MEAN_SERVICE_MS;
            attemptsToColdServers += attemptTimes.size();
        }
    }

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::atMs).thenComparingInt(Event::sequence));
    private final Random random;
    private final Rules rules;
    private final long seed;
    private final Faults faults;
    private final Map<String, SeatServer> servers = new LinkedHashMap<>();
    private final List<List<GatewayHarness>> processes = new ArrayList<>(); // of each gateway, those that get requests
    private final List<GatewayHarness> running = new ArrayList<>();
    private final Map<String, Attempt> lastAttempts = new HashMap<>();
    private double now;
    private int eventSequence;
    private int requests;
    private int startedProcesses;
    double peakBudgetUse; // of the budget of N, and 2 roots of N and 2 for chance, in any window
    double allowedAttempts; // by N over all the time
    int attemptsToColdServers;
    int retries; // attempts, after a first one
    int refused; // since the servers are back

    ColdServerSimulation(long seed, Rules rules, int count, int cold, Faults faults) {
        this.seed = seed;
        this.rules = rules;
        this.faults = faults;
        random = new Random(seed);
        for (int i = 0; i < count; i++) {
            SeatServer s = new SeatServer(i, i < cold);
            servers.put(s.id, s);
        }
        for (int gateway = 0; gateway < GATEWAYS; gateway++) {
            int number = gateway;
            processes.add(new ArrayList<>());
            scheduleAfter(1 + gateway * 0.7, () -> startProcess(number));
            if (faults.twoProcesses) scheduleAfter(100 + gateway * 0.7, () -> startProcess(number));
        }
    }

    ColdServerSimulation run() {
        List<SeatServer> cold = servers.values().stream().filter(s -> s.isCold).toList();
        scheduleAfter(200, this::requestArrives);
        scheduleAt(COLD_STOP_MS, () -> cold.forEach(SeatServer::stop));
        scheduleAt(COLD_STOP_MS, () -> announce(cold));
        scheduleAt(COLD_RESTART_MS, () -> {
            cold.forEach(s -> s.startedMs = now);
            cold.forEach(s -> s.up = true);
            announce(cold);
        });
        if (faults.allGatewaysRestart) {
            for (int gateway = 0; gateway < GATEWAYS; gateway++) {
                int number = gateway;
                scheduleAt(COLD_RESTART_MS + 300 + 20 * gateway, () -> restartProcess(number));
            }
        }
        if (faults.restartsPerSecond > 0) scheduleAt(COLD_RESTART_MS, () -> restartInTurn(0));
        scheduleAt(1, this::runTimers);
        while (!events.isEmpty() && events.peek().atMs <= END_MS) {
            Event e = events.poll();
            now = e.atMs;
            e.action.run();
        }
        cold.forEach(SeatServer::measureBudgetUse);
        return this;
    }

    private void scheduleAt(double time, Runnable run) {
        events.add(new Event(time, eventSequence++, run));
    }

    private void scheduleAfter(double ms, Runnable run) {
        scheduleAt(now + ms, run);
    }

    private void runTimers() {
        for (GatewayHarness gateway : List.copyOf(running)) advance(gateway);
        scheduleAfter(2, this::runTimers);
    }

    private void startProcess(int number) {
        Settings s = GatewayHarness.settings(number, GATEWAYS, seed * 1000 + startedProcesses++);
        String zone = "abc".substring(number % 3, number % 3 + 1);
        GatewayHarness gateway = new GatewayHarness(
                now,
                new Settings(
                        s.seed(),
                        number,
                        GATEWAYS,
                        zone,
                        false,
                        s.classes(),
                        s.plans(),
                        s.loadMetricNames(),
                        s.limits(),
                        rules,
                        s.coordination()));
        gateway.module.hostsUpdated(
                now,
                HostListKind.FULL,
                servers.values().stream()
                        .filter(h -> h.up)
                        .map(SeatServer::toHost)
                        .toList());
        running.add(gateway);
        List<GatewayHarness> gatewayProcesses = processes.get(number);
        if (!gatewayProcesses.isEmpty())
            gateway.module.restoreCustomers(now, gatewayProcesses.get(0).module.snapshotCustomers(now));
        gatewayProcesses.add(gateway);
        gatewayProcesses.forEach(p -> p.module.processCountChanged(now, gatewayProcesses.size()));
    }

    /** A new process in place of an old one, at once or after some time beside it. */
    private void restartProcess(int number) {
        List<GatewayHarness> gatewayProcesses = processes.get(number);
        GatewayHarness old = gatewayProcesses.get(0);
        if (number % 2 == 0) endProcess(number, old);
        startProcess(number);
        if (number % 2 == 1) scheduleAfter(OVERLAP_MS, () -> endProcess(number, old));
    }

    private void endProcess(int number, GatewayHarness old) {
        List<GatewayHarness> gatewayProcesses = processes.get(number);
        running.remove(old);
        gatewayProcesses.remove(old);
        gatewayProcesses.forEach(p -> p.module.processCountChanged(now, gatewayProcesses.size()));
    }

    private void restartInTurn(int number) {
        restartProcess(number);
        scheduleAfter(1000 / faults.restartsPerSecond, () -> restartInTurn((number + 1) % GATEWAYS));
    }

    private void announce(List<SeatServer> changed) {
        for (GatewayHarness gateway : List.copyOf(running)) {
            advance(gateway);
            gateway.module.hostsUpdated(
                    now,
                    HostListKind.CHANGES,
                    changed.stream().map(SeatServer::toHost).toList());
            advance(gateway);
        }
    }

    private void requestArrives() {
        double perMs =
                WARM_UTILIZATION * servers.size() * SLOTS / MEAN_SERVICE_MS * (now >= COLD_STOP_MS ? BURST_FACTOR : 1);
        scheduleAfter(-Math.log(1 - random.nextDouble()) / perMs, this::requestArrives);
        double drawn = random.nextDouble(); // some gateways get several times the mean
        List<GatewayHarness> gatewayProcesses = processes.get((int) (drawn * Math.sqrt(drawn) * GATEWAYS));
        GatewayHarness gateway = gatewayProcesses.get(random.nextInt(gatewayProcesses.size()));
        advance(gateway);
        String cls = List.of("read", "read", "pay", "order").get(random.nextInt(4));
        gateway.module.requestReceived(
                now, new Request("r" + requests++, now + 3000, false, cls, 1, "unlimited", 1, 0, 1));
        advance(gateway);
    }

    /** Its timers, and then what it wants. */
    private void advance(GatewayHarness gateway) {
        gateway.runUntil(now);
        while (!gateway.sent.isEmpty() || !gateway.cancelled.isEmpty()) {
            List<GatewayHarness.SentAttempt> sent = List.copyOf(gateway.sent);
            List<String> cancelled = List.copyOf(gateway.cancelled);
            gateway.sent.clear();
            gateway.cancelled.clear();
            sent.forEach(s -> send(gateway, s));
            cancelled.forEach(id -> scheduleAfter(0, () -> attemptEnded(lastAttempts.get(id), Outcome.CANCELLED)));
        }
        if (now >= COLD_RESTART_MS) refused += gateway.refused.size();
        gateway.refused.clear();
        gateway.log.clear();
    }

    private void send(GatewayHarness gateway, GatewayHarness.SentAttempt s) {
        SeatServer to = servers.get(s.host());
        Attempt before = lastAttempts.get(s.id());
        Attempt attempt = new Attempt(gateway, s.id(), before == null ? 0 : before.number + 1, s.atMs());
        lastAttempts.put(s.id(), attempt);
        if (to.startedMs > 0) to.attemptTimes.add(now);
        if (attempt.number > 0) retries++;
        Outcome fault =
                List.of(Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED).get(random.nextInt(3));
        boolean fails = random.nextDouble() < faults.failureRate;
        scheduleAfter(2, fails ? () -> attemptEnded(attempt, fault) : () -> to.accept(attempt));
        scheduleAfter(3000, () -> attemptEnded(attempt, Outcome.TIMEOUT));
    }

    private void attemptEnded(Attempt attempt, Outcome outcome) {
        if (attempt.ended || !running.contains(attempt.gateway)) return;
        attempt.ended = true;
        advance(attempt.gateway);
        attempt.gateway.module.attemptEnded(
                now,
                new AttemptResult(
                        attempt.id,
                        attempt.number,
                        "",
                        outcome,
                        now - attempt.sentAt,
                        outcome == Outcome.OK,
                        0,
                        0,
                        new double[0]));
        advance(attempt.gateway);
    }
}
