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
 * Simulates thirty gateways and queueing servers on one clock. Some of the servers stop and restart cold while a burst
 * of requests begins. The attempts that all gateways together send to each restarted server are compared with the
 * budget that the rules allow.
 */
final class ColdServerSimulation {
    private static final int GATEWAYS = 30;
    private static final int SLOTS = 4; // requests that a server runs at a time
    private static final int QUEUE_SLOTS = 4 * SLOTS; // for requests that wait for a slot
    private static final double MEAN_SERVICE_MS = 200; // on a warm server
    private static final double WARM_UTILIZATION = 0.6; // of the capacity of all servers
    private static final double BURST_FACTOR = 1.5; // times the request rate, from COLD_STOP_MS on
    private static final double COLD_STOP_MS = 5000; // time at which the servers stop that restart cold
    private static final double COLD_RESTART_MS = 6500; // time at which they restart
    private static final double END_MS = 14_500;
    private static final double OVERLAP_MS = 1000; // time for which an old and a new process of a gateway both serve

    /** Faults injected in addition to full queues. */
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
        final boolean restartsCold;
        final ArrayDeque<Attempt> queue = new ArrayDeque<>();
        final List<Attempt> inService = new ArrayList<>();
        final List<Double> attemptTimes = new ArrayList<>(); // since its restart
        boolean up = true;
        double startedMs;

        SeatServer(int number, boolean restartsCold) {
            id = "abc".charAt(number % 3) + "-" + Long.toHexString(random.nextLong());
            this.restartsCold = restartsCold;
        }

        Host toHost() {
            return new Host(id, id.substring(0, 1), "std", 0, up ? HostState.RUNNING : HostState.GONE, 1, startedMs);
        }

        double capacityShare(double atMs) {
            double progress = startedMs > 0 ? (atMs - startedMs) / rules.hostWarmUpMs() : 1;
            return Math.min(1, rules.coldCapacity() + (1 - rules.coldCapacity()) * progress);
        }

        void stop() {
            up = false;
            List<Attempt> lost = new ArrayList<>(inService);
            lost.addAll(queue);
            inService.clear();
            queue.clear();
            lost.forEach(attempt -> attemptEnded(attempt, Outcome.RESET));
        }

        void accept(Attempt attempt) {
            if (!up) attemptEnded(attempt, Outcome.CONNECT_FAILED);
            else if (inService.size() < SLOTS) serve(attempt);
            else if (queue.size() < QUEUE_SLOTS) queue.add(attempt);
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

        /** Compares attempts with budgets; a window has the budget of its start, when the capacity is least. */
        void measureBudgetUse() {
            for (int first = 0, next = 0; first < attemptTimes.size(); first++) {
                double windowStart = attemptTimes.get(first);
                while (next < attemptTimes.size() && attemptTimes.get(next) < windowStart + rules.coldLoadWindowMs())
                    next++;
                double budget = rules.coldLoadMultiple()
                        * capacityShare(windowStart)
                        * rules.coldLoadWindowMs()
                        * SLOTS
                        / MEAN_SERVICE_MS;
                peakBudgetUse = Math.max(peakBudgetUse, (next - first) / (budget + 2 * Math.sqrt(budget) + 2));
            }
            double meanShare = (capacityShare(startedMs) + capacityShare(END_MS)) / 2;
            allowedAttempts += rules.coldLoadMultiple() * meanShare * (END_MS - startedMs) * SLOTS / MEAN_SERVICE_MS;
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
    private final List<List<GatewayHarness>> processes = new ArrayList<>(); // by gateway, those that receive requests
    private final List<GatewayHarness> running = new ArrayList<>();
    private final Map<String, Attempt> lastAttempts = new HashMap<>();
    private double now;
    private int eventSequence;
    private int requests;
    private int startedProcesses;
    double peakBudgetUse; // largest share used of a window's budget N plus 2 sqrt(N) + 2 for random variation
    double allowedAttempts; // sum of the budgets over the whole time
    int attemptsToColdServers;
    int retries; // attempts after the first one of a request
    int refused; // requests refused since the servers restarted

    ColdServerSimulation(long seed, Rules rules, int count, int cold, Faults faults) {
        this.seed = seed;
        this.rules = rules;
        this.faults = faults;
        random = new Random(seed);
        for (int i = 0; i < count; i++) {
            SeatServer server = new SeatServer(i, i < cold);
            servers.put(server.id, server);
        }
        for (int gateway = 0; gateway < GATEWAYS; gateway++) {
            int number = gateway;
            processes.add(new ArrayList<>());
            scheduleAfter(1 + gateway * 0.7, () -> startProcess(number));
            if (faults.twoProcesses) scheduleAfter(100 + gateway * 0.7, () -> startProcess(number));
        }
    }

    ColdServerSimulation run() {
        List<SeatServer> cold =
                servers.values().stream().filter(server -> server.restartsCold).toList();
        scheduleAfter(200, this::requestArrives);
        scheduleAt(COLD_STOP_MS, () -> cold.forEach(SeatServer::stop));
        scheduleAt(COLD_STOP_MS, () -> announce(cold));
        scheduleAt(COLD_RESTART_MS, () -> {
            cold.forEach(server -> server.startedMs = now);
            cold.forEach(server -> server.up = true);
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
            Event event = events.poll();
            now = event.atMs;
            event.action.run();
        }
        cold.forEach(SeatServer::measureBudgetUse);
        return this;
    }

    private void scheduleAt(double atMs, Runnable action) {
        events.add(new Event(atMs, eventSequence++, action));
    }

    private void scheduleAfter(double delayMs, Runnable action) {
        scheduleAt(now + delayMs, action);
    }

    private void runTimers() {
        for (GatewayHarness gateway : List.copyOf(running)) advance(gateway);
        scheduleAfter(2, this::runTimers);
    }

    private void startProcess(int number) {
        Settings defaults = GatewayHarness.settings(number, GATEWAYS, seed * 1000 + startedProcesses++);
        String zone = "abc".substring(number % 3, number % 3 + 1);
        GatewayHarness gateway = new GatewayHarness(
                now,
                new Settings(
                        defaults.seed(),
                        number,
                        GATEWAYS,
                        zone,
                        false,
                        defaults.classes(),
                        defaults.plans(),
                        defaults.loadMetricNames(),
                        defaults.limits(),
                        rules,
                        defaults.coordination()));
        gateway.module.hostsUpdated(
                now,
                HostListKind.FULL,
                servers.values().stream()
                        .filter(server -> server.up)
                        .map(SeatServer::toHost)
                        .toList());
        running.add(gateway);
        List<GatewayHarness> gatewayProcesses = processes.get(number);
        if (!gatewayProcesses.isEmpty()) {
            gateway.module.restoreCustomers(now, gatewayProcesses.get(0).module.snapshotCustomers(now));
        }
        gatewayProcesses.add(gateway);
        gatewayProcesses.forEach(p -> p.module.processCountChanged(now, gatewayProcesses.size()));
    }

    /** Replaces the old process by a new one, at once or after both have served for some time. */
    private void restartProcess(int number) {
        List<GatewayHarness> gatewayProcesses = processes.get(number);
        GatewayHarness oldProcess = gatewayProcesses.get(0);
        if (number % 2 == 0) endProcess(number, oldProcess);
        startProcess(number);
        if (number % 2 == 1) scheduleAfter(OVERLAP_MS, () -> endProcess(number, oldProcess));
    }

    private void endProcess(int number, GatewayHarness oldProcess) {
        List<GatewayHarness> gatewayProcesses = processes.get(number);
        running.remove(oldProcess);
        gatewayProcesses.remove(oldProcess);
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
        double drawn = random.nextDouble(); // skewed below, so that some gateways receive several times the mean
        List<GatewayHarness> gatewayProcesses = processes.get((int) (drawn * Math.sqrt(drawn) * GATEWAYS));
        GatewayHarness gateway = gatewayProcesses.get(random.nextInt(gatewayProcesses.size()));
        advance(gateway);
        String requestClass = List.of("read", "read", "pay", "order").get(random.nextInt(4));
        gateway.module.requestReceived(
                now, new Request("r" + requests++, now + 3000, false, requestClass, 1, "unlimited", 1, 0, 1));
        advance(gateway);
    }

    /** Fires the gateway's timers and performs its actions. */
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

    private void send(GatewayHarness gateway, GatewayHarness.SentAttempt sent) {
        SeatServer server = servers.get(sent.host());
        Attempt previous = lastAttempts.get(sent.id());
        Attempt attempt = new Attempt(gateway, sent.id(), previous == null ? 0 : previous.number + 1, sent.atMs());
        lastAttempts.put(sent.id(), attempt);
        if (server.startedMs > 0) server.attemptTimes.add(now);
        if (attempt.number > 0) retries++;
        Outcome fault =
                List.of(Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED).get(random.nextInt(3));
        boolean fails = random.nextDouble() < faults.failureRate;
        scheduleAfter(2, fails ? () -> attemptEnded(attempt, fault) : () -> server.accept(attempt));
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
