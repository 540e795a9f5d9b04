package deckfall.scale;

import deckfall.DecisionModule;
import deckfall.Gateway.Actions;
import deckfall.Gateway.AttemptResult;
import deckfall.Gateway.Events;
import deckfall.Gateway.Host;
import deckfall.Gateway.HostListKind;
import deckfall.Gateway.Outcome;
import deckfall.Gateway.Refusal;
import deckfall.Gateway.Request;
import deckfall.Gateway.Settings;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One process of a gateway without its sockets: the real decision module, whose actions go to the stand-ins once it
 * has returned, so that its processor time is its own. It keeps what the program round the module promises: attempts
 * end at a request's deadline, and a late answer to a counter call is not told.
 */
final class HollowGateway extends FleetGateway implements Actions {
    private static final int MOST_CALLS_OUT = 256; // of the program's connection to the counter
    private static final double STUCK_MS = 5000; // after which that connection is given up
    private static final double[] NO_REPORT = new double[0];

    private enum Event {
        REQUEST,
        COUNTED,
        OTHER
    }

    private record Count(String name, double amount, double lifeMs) {}

    private final Fleet fleet;
    private final Settings settings;
    private final Events module = new DecisionModule(this);
    private final Map<String, ClientRequest> open = new LinkedHashMap<>();
    private final List<Runnable> actions = new ArrayList<>();
    private final List<Count> counts = new ArrayList<>();
    private boolean alive = true;
    private int undecided;
    private int callsOut;
    private long busyNanos;

    HollowGateway(Fleet fleet, Settings settings, int number, int zone) {
        super(number, zone);
        this.fleet = fleet;
        this.settings = settings;
    }

    void start() {
        tell(Event.OTHER, null, () -> module.start(now(), settings));
    }

    private double now() {
        return fleet.queue.now();
    }

    @Override
    boolean alive() {
        return alive;
    }

    @Override
    long busyNanos() {
        return busyNanos;
    }

    /** Tells the module of an event and then does what it wants. */
    private void tell(Event kind, ClientRequest about, Runnable event) {
        if (!alive) {
            return;
        }
        long from = System.nanoTime();
        event.run();
        busyNanos += System.nanoTime() - from;
        for (int i = 0; i < actions.size(); i++) {
            actions.get(i).run();
        }
        actions.clear();
        boolean waits = kind == Event.REQUEST && about.isUndecided() || kind == Event.COUNTED && undecided > 0;
        for (int i = 0; i < counts.size(); i++) {
            call(counts.get(i), waits);
        }
        counts.clear();
    }

    /** Serves beside a process of the same gateway from now on, whose memory it takes over. */
    void follow(HollowGateway other) {
        tell(Event.OTHER, null, () -> module.restoreCustomers(now(), other.module.snapshotCustomers(now())));
        besides(2);
        other.besides(2);
    }

    void besides(int processes) {
        tell(Event.OTHER, null, () -> module.processCountChanged(now(), processes));
    }

    // ---- events

    void hosts(HostListKind kind, List<Host> hosts) {
        tell(Event.OTHER, null, () -> module.hostsUpdated(now(), kind, hosts));
    }

    @Override
    void request(ClientRequest t) {
        open.put(t.id, t);
        undecided++;
        Customers customers = fleet.customers;
        Request r = new Request(
                t.id,
                t.deadlineMs,
                false,
                settings.classes().get(t.requestClass).name(),
                customers.gatewayId(t.customer),
                customers.plan(t.customer).name(),
                t.units,
                customers.first(t.customer),
                customers.spread());
        fleet.queue.scheduleAt(t.deadlineMs, () -> deadline(t));
        tell(Event.REQUEST, t, () -> module.requestReceived(now(), r));
    }

    private void deadline(ClientRequest t) {
        if (!alive) {
            return;
        }
        for (int i = 0; i < t.attempts.size(); i++) {
            ended(t.attempts.get(i), Outcome.TIMEOUT, 0);
        }
        if (!t.closed) {
            close(t, RunStatistics.RequestOutcome.UNANSWERED, 0);
        }
    }

    @Override
    void ended(ClientRequest.Attempt a, Outcome outcome, int usedPct) {
        if (a.ended || !alive) {
            return;
        }
        a.ended = true;
        ClientRequest t = a.request;
        boolean closes = outcome == Outcome.OK && !t.closed;
        if (closes) {
            close(t, RunStatistics.RequestOutcome.SERVED, 0);
        }
        AttemptResult r =
                new AttemptResult(t.id, a.number, a.host, outcome, now() - a.sentAtMs, closes, usedPct, 0, NO_REPORT);
        tell(Event.OTHER, null, () -> module.attemptEnded(now(), r));
        forgetIfOver(t);
    }

    private void close(ClientRequest t, RunStatistics.RequestOutcome end, double retryAfterMs) {
        undecided -= t.isUndecided() ? 1 : 0;
        t.closed = true;
        forgetIfOver(t);
        fleet.ended(t, end, retryAfterMs);
    }

    private void forgetIfOver(ClientRequest t) {
        if (t.closed && !t.hasOpenAttempts()) {
            open.remove(t.id);
        }
    }

    /** Its process ends: clients see their connections reset. */
    @Override
    void die() {
        if (!alive) {
            return;
        }
        alive = false;
        fleet.processEnded(this);
        List<ClientRequest> held = new ArrayList<>(open.values());
        open.clear();
        for (ClientRequest t : held) {
            t.attempts.forEach(a -> a.ended = true);
            if (!t.closed) {
                close(t, RunStatistics.RequestOutcome.NO_GATEWAY, 0);
            }
        }
    }

    // ---- actions

    @Override
    public void send(String id, String host, double timeoutMs) {
        actions.add(() -> sendNow(id, host, timeoutMs));
    }

    private void sendNow(String id, String host, double timeoutMs) {
        ClientRequest t = open.get(id);
        if (t == null) {
            return;
        }
        ClientRequest.Attempt a = new ClientRequest.Attempt(this, t, host, now());
        t.attempts.add(a);
        if (t.closed || t.attempts.size() > settings.limits().maxAttempts()) {
            fleet.queue.scheduleAfter(0, () -> ended(a, Outcome.MOOT, 0));
            return;
        }
        if (!t.dispatched) {
            undecided--;
            t.dispatched = true;
            fleet.figures.requestDispatched(t, now());
        }
        if (timeoutMs > 0) {
            fleet.queue.scheduleAfter(timeoutMs, () -> ended(a, Outcome.TIMEOUT, 0));
        }
        fleet.attempt(a);
    }

    @Override
    public void cancel(String id, int attempt) {
        actions.add(() -> {
            ClientRequest t = open.get(id);
            if (t != null && attempt >= 0 && attempt < t.attempts.size()) {
                fleet.queue.scheduleAfter(0, () -> ended(t.attempts.get(attempt), Outcome.CANCELLED, 0));
            }
        });
    }

    @Override
    public void refuse(String id, double retryAfterMs, Refusal why) {
        actions.add(() -> answer(id, RunStatistics.RequestOutcome.REFUSED, retryAfterMs));
    }

    @Override
    public void fail(String id) {
        actions.add(() -> answer(id, RunStatistics.RequestOutcome.FAILED, 0));
    }

    private void answer(String id, RunStatistics.RequestOutcome end, double retryAfterMs) {
        ClientRequest t = open.get(id);
        if (t != null && !t.closed) {
            close(t, end, retryAfterMs);
        }
    }

    @Override
    public void startTimer(double delayMs, String token) {
        fleet.queue.scheduleAfter(delayMs, () -> tell(Event.OTHER, null, () -> module.timerFired(now(), token)));
    }

    @Override
    public void probeHost(String host) {
        throw new IllegalStateException("probes are not allowed here");
    }

    @Override
    public void sendPeerMessage(int peer, byte[] data) {
        throw new IllegalStateException("peers are not allowed here");
    }

    @Override
    public void addToCounter(String counter, double amount, double lifetimeMs) {
        counts.add(new Count(counter, amount, lifetimeMs));
    }

    private void call(Count c, boolean waits) {
        RunStatistics.CallPurpose kind =
                waits ? RunStatistics.CallPurpose.REQUESTS_WAIT : RunStatistics.CallPurpose.BACKGROUND;
        fleet.figures.counterCalled(number, c.amount == 0 ? RunStatistics.CallPurpose.READ : kind, now());
        if (fleet.counter == null || callsOut >= MOST_CALLS_OUT) {
            fleet.queue.scheduleAfter(0, () -> counted(c.name, Outcome.CONNECT_FAILED, 0));
            return;
        }
        callsOut++;
        fleet.call(this, c.name, c.amount, c.lifeMs, fleet.options.counterTimeoutMs, (outcome, total) -> {
            fleet.queue.scheduleAfter(outcome == Outcome.TIMEOUT ? STUCK_MS : 0, () -> callsOut--);
            counted(c.name, outcome, total);
        });
    }

    private void counted(String name, Outcome outcome, double total) {
        fleet.figures.counterCallEnded(outcome, now());
        tell(Event.COUNTED, null, () -> module.counterCallEnded(now(), name, outcome, total));
    }

    @Override
    public void subscribeHosts() {}
}
