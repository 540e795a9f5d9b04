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
 * One process of a gateway without its sockets: the real decision module, whose actions are executed on the simulated
 * services once it has returned, so that its measured time contains nothing else. It keeps the guarantees that the
 * node of the real process gives to the module: attempts end at the deadline of their request, and a late reply to a
 * counter call is dropped.
 */
final class SimulatedGateway extends FleetGateway implements Actions {
    private static final int MAX_OPEN_CALLS = 256; // as on a node's connection to the counter
    private static final double MAX_CALL_AGE_MS = 5000; // until a node gives up its counter connection
    private static final double[] NO_LOAD_METRICS = new double[0];

    /** The kinds of events. The kind decides whether requests wait for the counter calls that an event causes. */
    private enum EventKind {
        REQUEST,
        COUNTER_RESULT,
        OTHER
    }

    /** A call that the decision module requested and that is yet to be sent. */
    private record CounterCall(String name, double amount, double lifetimeMs) {}

    private final Fleet fleet;
    private final Settings settings;
    private final Events module = new DecisionModule(this);
    private final Map<String, ClientRequest> openRequests = new LinkedHashMap<>();
    private final List<Runnable> pendingActions = new ArrayList<>();
    private final List<CounterCall> pendingCalls = new ArrayList<>();
    private boolean alive = true;
    private int undecidedRequests;
    private int openCalls;
    private long decisionNanos;

    SimulatedGateway(Fleet fleet, Settings settings, int number, int zone) {
        super(number, zone);
        this.fleet = fleet;
        this.settings = settings;
    }

    void start() {
        deliver(EventKind.OTHER, null, () -> module.start(now(), settings));
    }

    private double now() {
        return fleet.queue.now();
    }

    @Override
    boolean alive() {
        return alive;
    }

    @Override
    long decisionNanos() {
        return decisionNanos;
    }

    /** Passes an event to the decision module, then executes the actions that it requested. */
    private void deliver(EventKind kind, ClientRequest request, Runnable event) {
        if (!alive) {
            return;
        }
        long startNanos = System.nanoTime();
        event.run();
        decisionNanos += System.nanoTime() - startNanos;
        for (int i = 0; i < pendingActions.size(); i++) {
            pendingActions.get(i).run();
        }
        pendingActions.clear();
        boolean requestWaits = kind == EventKind.REQUEST && request.isUndecided()
                || kind == EventKind.COUNTER_RESULT && undecidedRequests > 0;
        for (int i = 0; i < pendingCalls.size(); i++) {
            callCounter(pendingCalls.get(i), requestWaits);
        }
        pendingCalls.clear();
    }

    /** Takes over the state of another process of the same gateway; both serve from now on. */
    void takeOver(SimulatedGateway predecessor) {
        deliver(
                EventKind.OTHER,
                null,
                () -> module.restoreCustomers(now(), predecessor.module.snapshotCustomers(now())));
        setProcessCount(2);
        predecessor.setProcessCount(2);
    }

    void setProcessCount(int processes) {
        deliver(EventKind.OTHER, null, () -> module.processCountChanged(now(), processes));
    }

    // ---- events

    void hostsUpdated(HostListKind kind, List<Host> hosts) {
        deliver(EventKind.OTHER, null, () -> module.hostsUpdated(now(), kind, hosts));
    }

    @Override
    void handleRequest(ClientRequest request) {
        openRequests.put(request.id, request);
        undecidedRequests++;
        Customers customers = fleet.customers;
        Request moduleRequest = new Request(
                request.id,
                request.deadlineMs,
                false,
                settings.classes().get(request.requestClass).name(),
                customers.customerId(request.customer),
                customers.plan(request.customer).name(),
                request.units,
                customers.first(request.customer),
                customers.spread());
        fleet.queue.scheduleAt(request.deadlineMs, () -> deadlineReached(request));
        deliver(EventKind.REQUEST, request, () -> module.requestReceived(now(), moduleRequest));
    }

    private void deadlineReached(ClientRequest request) {
        if (!alive) {
            return;
        }
        for (int i = 0; i < request.attempts.size(); i++) {
            attemptEnded(request.attempts.get(i), Outcome.TIMEOUT, 0);
        }
        if (!request.closed) {
            closeRequest(request, RunStatistics.RequestOutcome.UNANSWERED, 0);
        }
    }

    @Override
    void attemptEnded(ClientRequest.Attempt attempt, Outcome outcome, int meterReading) {
        if (attempt.ended || !alive) {
            return;
        }
        attempt.ended = true;
        ClientRequest request = attempt.request;
        boolean closesRequest = outcome == Outcome.OK && !request.closed;
        if (closesRequest) {
            closeRequest(request, RunStatistics.RequestOutcome.SERVED, 0);
        }
        AttemptResult result = new AttemptResult(
                request.id,
                attempt.number,
                attempt.host,
                outcome,
                now() - attempt.sentAtMs,
                closesRequest,
                meterReading,
                0,
                NO_LOAD_METRICS);
        deliver(EventKind.OTHER, null, () -> module.attemptEnded(now(), result));
        removeIfComplete(request);
    }

    private void closeRequest(ClientRequest request, RunStatistics.RequestOutcome requestOutcome, double retryAfterMs) {
        undecidedRequests -= request.isUndecided() ? 1 : 0;
        request.closed = true;
        removeIfComplete(request);
        fleet.requestEnded(request, requestOutcome, retryAfterMs);
    }

    private void removeIfComplete(ClientRequest request) {
        if (request.closed && !request.hasOpenAttempts()) {
            openRequests.remove(request.id);
        }
    }

    /** Ends the process: clients see their connections reset. */
    @Override
    void terminate() {
        if (!alive) {
            return;
        }
        alive = false;
        fleet.processEnded(this);
        List<ClientRequest> abandoned = new ArrayList<>(openRequests.values());
        openRequests.clear();
        for (ClientRequest request : abandoned) {
            request.attempts.forEach(attempt -> attempt.ended = true);
            if (!request.closed) {
                closeRequest(request, RunStatistics.RequestOutcome.NO_GATEWAY, 0);
            }
        }
    }

    // ---- actions

    @Override
    public void send(String id, String host, double timeoutMs) {
        pendingActions.add(() -> sendNow(id, host, timeoutMs));
    }

    private void sendNow(String id, String host, double timeoutMs) {
        ClientRequest request = openRequests.get(id);
        if (request == null) {
            return;
        }
        ClientRequest.Attempt attempt = new ClientRequest.Attempt(this, request, host, now());
        request.attempts.add(attempt);
        if (request.closed || request.attempts.size() > settings.limits().maxAttempts()) {
            fleet.queue.scheduleAfter(0, () -> attemptEnded(attempt, Outcome.MOOT, 0));
            return;
        }
        if (!request.dispatched) {
            undecidedRequests--;
            request.dispatched = true;
            fleet.statistics.requestDispatched(request, now());
        }
        if (timeoutMs > 0) {
            fleet.queue.scheduleAfter(timeoutMs, () -> attemptEnded(attempt, Outcome.TIMEOUT, 0));
        }
        fleet.sendAttempt(attempt);
    }

    @Override
    public void cancel(String id, int attempt) {
        pendingActions.add(() -> {
            ClientRequest request = openRequests.get(id);
            if (request != null && attempt >= 0 && attempt < request.attempts.size()) {
                fleet.queue.scheduleAfter(0, () -> attemptEnded(request.attempts.get(attempt), Outcome.CANCELLED, 0));
            }
        });
    }

    @Override
    public void refuse(String id, double retryAfterMs, Refusal reason) {
        pendingActions.add(() -> endRequest(id, RunStatistics.RequestOutcome.REFUSED, retryAfterMs));
    }

    @Override
    public void fail(String id) {
        pendingActions.add(() -> endRequest(id, RunStatistics.RequestOutcome.FAILED, 0));
    }

    private void endRequest(String id, RunStatistics.RequestOutcome requestOutcome, double retryAfterMs) {
        ClientRequest request = openRequests.get(id);
        if (request != null && !request.closed) {
            closeRequest(request, requestOutcome, retryAfterMs);
        }
    }

    @Override
    public void startTimer(double delayMs, String token) {
        fleet.queue.scheduleAfter(delayMs, () -> deliver(EventKind.OTHER, null, () -> module.timerFired(now(), token)));
    }

    @Override
    public void probeHost(String host) {
        throw new IllegalStateException("probes are disabled in the simulation");
    }

    @Override
    public void sendPeerMessage(int peer, byte[] data) {
        throw new IllegalStateException("peer messages are disabled in the simulation");
    }

    @Override
    public void addToCounter(String counter, double amount, double lifetimeMs) {
        pendingCalls.add(new CounterCall(counter, amount, lifetimeMs));
    }

    private void callCounter(CounterCall call, boolean requestWaits) {
        RunStatistics.CallPurpose waitPurpose =
                requestWaits ? RunStatistics.CallPurpose.REQUESTS_WAIT : RunStatistics.CallPurpose.BACKGROUND;
        fleet.statistics.counterCalled(number, call.amount == 0 ? RunStatistics.CallPurpose.READ : waitPurpose, now());
        if (fleet.counter == null || openCalls >= MAX_OPEN_CALLS) {
            fleet.queue.scheduleAfter(0, () -> counterCallEnded(call.name, Outcome.CONNECT_FAILED, 0));
            return;
        }
        openCalls++;
        fleet.callCounter(
                this, call.name, call.amount, call.lifetimeMs, fleet.options.counterTimeoutMs, (outcome, total) -> {
                    fleet.queue.scheduleAfter(outcome == Outcome.TIMEOUT ? MAX_CALL_AGE_MS : 0, () -> openCalls--);
                    counterCallEnded(call.name, outcome, total);
                });
    }

    private void counterCallEnded(String name, Outcome outcome, double total) {
        fleet.statistics.counterCallEnded(outcome, now());
        deliver(EventKind.COUNTER_RESULT, null, () -> module.counterCallEnded(now(), name, outcome, total));
    }

    @Override
    public void subscribeHosts() {}
}
