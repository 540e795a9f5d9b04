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
final class ColdFleet {
    private static final int GATEWAYS = 30;
    private static final int SLOTS = 4;
    private static final int LINE = 4 * SLOTS; // places before the slots
    private static final double SERVICE_MS = 200; // the mean
    private static final double WARM_LOAD = 0.6; // of what all can do
    private static final double BURST = 1.5;
    private static final double AWAY_MS = 5000; // when the cold ones leave
    private static final double BACK_MS = 6500;
    private static final double END_MS = 14_500;
    private static final double ALONE_MS = 1000; // that two processes of a gateway serve together

    /** What goes wrong beside the queues. */
    record Troubles(double failing, double restartsPerSecond, boolean allRestart, boolean twoProcesses) {}

    private record Event(double at, int order, Runnable run) {}

    private static final class Copy {
        final GatewayHarness gateway;
        final String id;
        final int number;
        final double sentAt;
        boolean ended;

        Copy(GatewayHarness gateway, String id, int number, double sentAt) {
            this.gateway = gateway;
            this.id = id;
            this.number = number;
            this.sentAt = sentAt;
        }
    }

    private final class SeatServer {
        final String id;
        final boolean returns;
        final ArrayDeque<Copy> line = new ArrayDeque<>();
        final List<Copy> inWork = new ArrayList<>();
        final List<Double> sentAt = new ArrayList<>(); // once it is back
        boolean up = true;
        double startedMs;

        SeatServer(int number, boolean returns) {
            id = "abc".charAt(number % 3) + "-" + Long.toHexString(random.nextLong());
            this.returns = returns;
        }

        Host listed() {
            return new Host(id, id.substring(0, 1), "std", 0, up ? HostState.RUNNING : HostState.GONE, 1, startedMs);
        }

        double ramp(double at) {
            double done = startedMs > 0 ? (at - startedMs) / rules.warmWithinMs() : 1;
            return Math.min(1, rules.coldFrom() + (1 - rules.coldFrom()) * done);
        }

        void leave() {
            up = false;
            List<Copy> held = new ArrayList<>(inWork);
            held.addAll(line);
            inWork.clear();
            line.clear();
            held.forEach(c -> ended(c, Outcome.RESET));
        }

        void take(Copy c) {
            if (!up) ended(c, Outcome.CONNECT_FAILED);
            else if (inWork.size() < SLOTS) begin(c);
            else if (line.size() < LINE) line.add(c);
            else ended(c, Outcome.FULL);
        }

        private void begin(Copy c) {
            inWork.add(c);
            after(-Math.log(1 - random.nextDouble()) * SERVICE_MS / ramp(now), () -> {
                if (!inWork.remove(c)) return;
                ended(c, Outcome.OK);
                while (!line.isEmpty() && inWork.size() < SLOTS) {
                    Copy next = line.poll();
                    if (!next.ended) begin(next);
                }
            });
        }

        /** A window's budget is that of its first moment, when the server can do least. */
        void judge() {
            for (int first = 0, next = 0; first < sentAt.size(); first++) {
                double from = sentAt.get(first);
                while (next < sentAt.size() && sentAt.get(next) < from + rules.fallMs()) next++;
                double n = rules.fallMultiple() * ramp(from) * rules.fallMs() * SLOTS / SERVICE_MS;
                mostUsed = Math.max(mostUsed, (next - first) / (n + 2 * Math.sqrt(n) + 2));
            }
            double mean = (ramp(startedMs) + ramp(END_MS)) / 2;
            allowed += rules.fallMultiple() * mean * (END_MS - startedMs) * SLOTS / SERVICE_MS;
            sentCold += sentAt.size();
        }
    }

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparingInt(Event::order));
    private final Random random;
    private final Rules rules;
    private final long seed;
    private final Troubles troubles;
    private final Map<String, SeatServer> servers = new LinkedHashMap<>();
    private final List<List<GatewayHarness>> processes = new ArrayList<>(); // of each gateway, those that get requests
    private final List<GatewayHarness> running = new ArrayList<>();
    private final Map<String, Copy> lastCopy = new HashMap<>();
    private double now;
    private int order;
    private int asked;
    private int started;
    double mostUsed; // of the budget of N, and 2 roots of N and 2 for chance, in any window
    double allowed; // by N over all the time
    int sentCold;
    int further; // attempts, after a first one
    int refused; // since the servers are back

    ColdFleet(long seed, Rules rules, int count, int cold, Troubles troubles) {
        this.seed = seed;
        this.rules = rules;
        this.troubles = troubles;
        random = new Random(seed);
        for (int i = 0; i < count; i++) {
            SeatServer s = new SeatServer(i, i < cold);
            servers.put(s.id, s);
        }
        for (int g = 0; g < GATEWAYS; g++) {
            int number = g;
            processes.add(new ArrayList<>());
            after(1 + g * 0.7, () -> start(number));
            if (troubles.twoProcesses) after(100 + g * 0.7, () -> start(number));
        }
    }

    ColdFleet play() {
        List<SeatServer> cold = servers.values().stream().filter(s -> s.returns).toList();
        after(200, this::arrive);
        at(AWAY_MS, () -> cold.forEach(SeatServer::leave));
        at(AWAY_MS, () -> tell(cold));
        at(BACK_MS, () -> {
            cold.forEach(s -> s.startedMs = now);
            cold.forEach(s -> s.up = true);
            tell(cold);
        });
        if (troubles.allRestart) {
            for (int g = 0; g < GATEWAYS; g++) {
                int number = g;
                at(BACK_MS + 300 + 20 * g, () -> restart(number));
            }
        }
        if (troubles.restartsPerSecond > 0) at(BACK_MS, () -> restartNext(0));
        at(1, this::beat);
        while (!events.isEmpty() && events.peek().at <= END_MS) {
            Event e = events.poll();
            now = e.at;
            e.run.run();
        }
        cold.forEach(SeatServer::judge);
        return this;
    }

    private void at(double time, Runnable run) {
        events.add(new Event(time, order++, run));
    }

    private void after(double ms, Runnable run) {
        at(now + ms, run);
    }

    private void beat() {
        for (GatewayHarness g : List.copyOf(running)) act(g);
        after(2, this::beat);
    }

    private void start(int number) {
        Settings s = GatewayHarness.settings(number, GATEWAYS, seed * 1000 + started++);
        String zone = "abc".substring(number % 3, number % 3 + 1);
        GatewayHarness g = new GatewayHarness(
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
        g.module.hostsUpdated(
                now,
                HostListKind.FULL,
                servers.values().stream()
                        .filter(h -> h.up)
                        .map(SeatServer::listed)
                        .toList());
        running.add(g);
        List<GatewayHarness> all = processes.get(number);
        if (!all.isEmpty()) g.module.restoreCustomers(now, all.get(0).module.snapshotCustomers(now));
        all.add(g);
        all.forEach(p -> p.module.processCountChanged(now, all.size()));
    }

    /** A new process in place of an old one, at once or after some time beside it. */
    private void restart(int number) {
        List<GatewayHarness> all = processes.get(number);
        GatewayHarness old = all.get(0);
        if (number % 2 == 0) end(number, old);
        start(number);
        if (number % 2 == 1) after(ALONE_MS, () -> end(number, old));
    }

    private void end(int number, GatewayHarness old) {
        List<GatewayHarness> all = processes.get(number);
        running.remove(old);
        all.remove(old);
        all.forEach(p -> p.module.processCountChanged(now, all.size()));
    }

    private void restartNext(int number) {
        restart(number);
        after(1000 / troubles.restartsPerSecond, () -> restartNext((number + 1) % GATEWAYS));
    }

    private void tell(List<SeatServer> changed) {
        for (GatewayHarness g : List.copyOf(running)) {
            act(g);
            g.module.hostsUpdated(
                    now,
                    HostListKind.CHANGES,
                    changed.stream().map(SeatServer::listed).toList());
            act(g);
        }
    }

    private void arrive() {
        double perMs = WARM_LOAD * servers.size() * SLOTS / SERVICE_MS * (now >= AWAY_MS ? BURST : 1);
        after(-Math.log(1 - random.nextDouble()) / perMs, this::arrive);
        double drawn = random.nextDouble(); // some gateways get several times the mean
        List<GatewayHarness> all = processes.get((int) (drawn * Math.sqrt(drawn) * GATEWAYS));
        GatewayHarness g = all.get(random.nextInt(all.size()));
        act(g);
        String cls = List.of("read", "read", "pay", "order").get(random.nextInt(4));
        g.module.requestReceived(now, new Request("r" + asked++, now + 3000, false, cls, 1, "unlimited", 1, 0, 1));
        act(g);
    }

    /** Its timers, and then what it wants. */
    private void act(GatewayHarness g) {
        g.runUntil(now);
        while (!g.sent.isEmpty() || !g.cancelled.isEmpty()) {
            List<GatewayHarness.SentAttempt> sent = List.copyOf(g.sent);
            List<String> cancelled = List.copyOf(g.cancelled);
            g.sent.clear();
            g.cancelled.clear();
            sent.forEach(s -> send(g, s));
            cancelled.forEach(id -> after(0, () -> ended(lastCopy.get(id), Outcome.CANCELLED)));
        }
        if (now >= BACK_MS) refused += g.refused.size();
        g.refused.clear();
        g.log.clear();
    }

    private void send(GatewayHarness g, GatewayHarness.SentAttempt s) {
        SeatServer to = servers.get(s.host());
        Copy before = lastCopy.get(s.id());
        Copy copy = new Copy(g, s.id(), before == null ? 0 : before.number + 1, s.atMs());
        lastCopy.put(s.id(), copy);
        if (to.startedMs > 0) to.sentAt.add(now);
        if (copy.number > 0) further++;
        Outcome fault =
                List.of(Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED).get(random.nextInt(3));
        boolean fails = random.nextDouble() < troubles.failing;
        after(2, fails ? () -> ended(copy, fault) : () -> to.take(copy));
        after(3000, () -> ended(copy, Outcome.TIMEOUT));
    }

    private void ended(Copy c, Outcome outcome) {
        if (c.ended || !running.contains(c.gateway)) return;
        c.ended = true;
        act(c.gateway);
        c.gateway.module.attemptEnded(
                now,
                new AttemptResult(
                        c.id, c.number, "", outcome, now - c.sentAt, outcome == Outcome.OK, 0, 0, new double[0]));
        act(c.gateway);
    }
}
