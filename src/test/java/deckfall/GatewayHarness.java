package deckfall;

import deckfall.Gateway.Actions;
import deckfall.Gateway.AttemptResult;
import deckfall.Gateway.Coordination;
import deckfall.Gateway.Effect;
import deckfall.Gateway.Host;
import deckfall.Gateway.HostListKind;
import deckfall.Gateway.HostState;
import deckfall.Gateway.KeyScope;
import deckfall.Gateway.Limits;
import deckfall.Gateway.Outcome;
import deckfall.Gateway.Plan;
import deckfall.Gateway.Refusal;
import deckfall.Gateway.Request;
import deckfall.Gateway.RequestClass;
import deckfall.Gateway.Rules;
import deckfall.Gateway.Settings;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Runs one {@link DecisionModule} on a simulated clock: feeds it events, fires its timers and records its actions.
 */
final class GatewayHarness implements Actions {
    static final RequestClass READ =
            new RequestClass("read", Effect.REPEATABLE, KeyScope.ALL, 0, 1000, 3000, 1, 0, false);
    static final RequestClass PAY = new RequestClass("pay", Effect.ONCE, KeyScope.ALL, 0, 1000, 3000, 3, 0, false);
    static final RequestClass ORDER =
            new RequestClass("order", Effect.KEYED, KeyScope.ZONE, 1000, 1000, 3000, 3, 0, false);
    static final Plan SMALL = new Plan("small", 4, 12, 0, 1, 0, 1, 0, 0, 0);
    static final Plan CAPPED = new Plan("capped", 100, 100, 0, 1, 0, 1, 20, 40, 4);
    static final Plan OPEN_LIMITED = new Plan("open", 0, 0, 2, 1, 0, 1, 0, 0, 0);
    static final Plan UNLIMITED = new Plan("free", 1e6, 1e6, 0, 1, 0, 1, 0, 0, 0);

    record SentAttempt(double atMs, String id, String host) {}

    record SentMessage(int peer, byte[] data) {}

    record CounterCall(String counter, double amount) {}

    private record Timer(double atMs, int sequence, String token) {}

    final List<SentAttempt> sent = new ArrayList<>();
    final List<String> refused = new ArrayList<>();
    final List<Refusal> refusals = new ArrayList<>(); // the reasons, in the order of the refused requests
    final List<String> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<String> probed = new ArrayList<>();
    final List<SentMessage> messages = new ArrayList<>();
    final List<CounterCall> counterCalls = new ArrayList<>();
    final List<String> log = new ArrayList<>(); // all actions but timers, as lines "time action arguments"
    final DecisionModule module = new DecisionModule(this);
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingDouble(Timer::atMs).thenComparingInt(Timer::sequence));
    private int timerSequence;
    double now;

    GatewayHarness(double now, Settings settings) {
        this.now = now;
        module.start(now, settings);
    }

    static Settings settings(int gatewayNumber, int gatewayCount) {
        return settings(gatewayNumber, gatewayCount, 7);
    }

    static Settings settings(int gatewayNumber, int gatewayCount, long seed) {
        return new Settings(
                seed,
                gatewayNumber,
                gatewayCount,
                "a",
                false,
                List.of(READ, PAY, ORDER),
                List.of(SMALL, CAPPED, OPEN_LIMITED, UNLIMITED),
                List.of(),
                new Limits(4, false, true, true, true, true, 500, 100),
                new Rules(8, 500, 2, 1000, 0.2, 10_000, 0),
                new Coordination(false, 0, 80, 0, false, 4, 60, 0.01, 0.01, 0.01));
    }

    /** The only gateway of its deployment. */
    static GatewayHarness singleGateway() {
        return new GatewayHarness(1000, settings(0, 1));
    }

    static Host host(String id, String zone) {
        return new Host(id, zone, "std", 0, HostState.RUNNING, 1, 0);
    }

    GatewayHarness withHosts(String... ids) {
        List<Host> hosts = new ArrayList<>();
        for (String id : ids) {
            hosts.add(host(id, id.substring(0, 1)));
        }
        module.hostsUpdated(now, HostListKind.FULL, hosts);
        return this;
    }

    void request(String id, String requestClass, String plan, long customer, double units, int spread) {
        module.requestReceived(now, new Request(id, now + 3000, false, requestClass, customer, plan, units, 0, spread));
    }

    /** A request of one unit in the unlimited plan. */
    void request(String id, String requestClass) {
        request(id, requestClass, "free", 1, 1, 1);
    }

    void endAttempt(String id, int attempt, Outcome outcome, double latencyMs) {
        module.attemptEnded(
                now,
                new AttemptResult(
                        id, attempt, hostOf(id), outcome, latencyMs, outcome == Outcome.OK, 0, 0, new double[0]));
    }

    /** The host of the request's latest attempt. */
    String hostOf(String id) {
        return sent.stream()
                .filter(s -> s.id().equals(id))
                .reduce((a, b) -> b)
                .orElseThrow()
                .host();
    }

    long attemptCount(String id) {
        return sent.stream().filter(s -> s.id().equals(id)).count();
    }

    /** How often the request was refused or failed. */
    long rejectionCount(String id) {
        return refused.stream().filter(id::equals).count()
                + failed.stream().filter(id::equals).count();
    }

    /** Fires the timers that are due by this time, and sets the clock to it. */
    void runUntil(double endMs) {
        while (!timers.isEmpty() && timers.peek().atMs() <= endMs) {
            Timer timer = timers.poll();
            now = Math.max(now, timer.atMs());
            module.timerFired(now, timer.token());
        }
        now = endMs;
    }

    void advance(double ms) {
        runUntil(now + ms);
    }

    @Override
    public void send(String id, String host, double timeoutMs) {
        sent.add(new SentAttempt(now, id, host));
        log.add(now + " send " + id + " " + host);
    }

    @Override
    public void cancel(String id, int attempt) {
        cancelled.add(id);
        log.add(now + " cancel " + id + " " + attempt);
    }

    @Override
    public void refuse(String id, double retryAfterMs, Refusal reason) {
        refused.add(id);
        refusals.add(reason);
        log.add(now + " refuse " + id + " " + retryAfterMs);
    }

    @Override
    public void fail(String id) {
        failed.add(id);
        log.add(now + " fail " + id);
    }

    @Override
    public void startTimer(double delayMs, String token) {
        timers.add(new Timer(now + delayMs, timerSequence++, token));
    }

    @Override
    public void probeHost(String host) {
        probed.add(host);
        log.add(now + " probe " + host);
    }

    @Override
    public void sendPeerMessage(int peer, byte[] data) {
        messages.add(new SentMessage(peer, data));
        log.add(now + " send peer message " + peer + " " + data.length);
    }

    @Override
    public void addToCounter(String counter, double amount, double lifetimeMs) {
        counterCalls.add(new CounterCall(counter, amount));
        log.add(now + " add to counter " + counter);
    }

    @Override
    public void subscribeHosts() {
        log.add(now + " subscribe hosts");
    }
}
