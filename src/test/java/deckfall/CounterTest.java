package deckfall;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import deckfall.Gateway.AttemptResult;
import deckfall.Gateway.Coordination;
import deckfall.Gateway.Limits;
import deckfall.Gateway.Outcome;
import deckfall.Gateway.Plan;
import deckfall.Gateway.Refusal;
import deckfall.Gateway.Settings;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Checks what a gateway admits beyond its own share, by the shared counter or by the quota that the meter leaves. */
class CounterTest {
    private static final int GATEWAYS = 4;
    private static final Plan SLOW = new Plan("slow", 0.5, 4, 0, 1, 0, 1, 0, 0, 0);

    private GatewayHarness gateway;
    private int requests;

    private static GatewayHarness newGateway(boolean hasCounter) {
        Settings defaults = GatewayHarness.settings(0, GATEWAYS);
        return new GatewayHarness(
                        0,
                        new Settings(
                                defaults.seed(),
                                0,
                                GATEWAYS,
                                "a",
                                false,
                                defaults.classes(),
                                List.of(SLOW),
                                List.of(),
                                new Limits(3, false, true, false, false, true, 500, 100),
                                defaults.rules(),
                                new Coordination(hasCounter, 0, 80, 1000, false, 1, 0, 0, 0, 0)))
                .withHosts("a1", "a2", "a3", "a4");
    }

    @BeforeEach
    void start() {
        gateway = newGateway(true);
    }

    private String request() {
        String id = "q" + requests++;
        gateway.request(id, "read", "slow", 42, 1, GATEWAYS);
        return id;
    }

    private GatewayHarness.CounterCall requestUntilCounterCall() {
        while (gateway.counterCalls.isEmpty()) {
            request();
        }
        return gateway.counterCalls.get(gateway.counterCalls.size() - 1);
    }

    /** A customer that sends little to most gateways would otherwise have a share of less than one request at each. */
    @Test
    void firstRequestOfASmallBurstIsAdmitted() {
        assertEquals(1, gateway.attemptCount(request()));
    }

    @Test
    void ownShareIsSpentBeforeTheCounterIsCalled() {
        requestUntilCounterCall();
        assertTrue(
                gateway.sent.size() >= 1 && gateway.sent.size() <= 3,
                gateway.sent.size() + " of a burst of 4 admitted without a call");
        assertEquals(List.of(), gateway.refused);
    }

    @Test
    void pendingRequestIsAdmittedWhenTheCounterShowsRoom() {
        GatewayHarness.CounterCall call = requestUntilCounterCall();
        gateway.module.counterCallEnded(
                gateway.now, call.counter(), Outcome.OK, call.amount()); // no other gateway has used any units
        assertEquals(1, gateway.attemptCount("q" + (requests - 1)));
    }

    @Test
    void requestIsRefusedAndItsUnitsReturnedWhenOthersUsedTheQuota() {
        GatewayHarness.CounterCall call = requestUntilCounterCall();
        gateway.module.counterCallEnded(gateway.now, call.counter(), Outcome.OK, call.amount() + SLOW.burst());
        assertEquals(List.of("q" + (requests - 1)), gateway.refused);
        assertEquals(List.of(Refusal.QUOTA), gateway.refusals);
        request();
        assertEquals(2, gateway.refused.size()); // the quota is known to be used up, so no second call is made
        assertEquals(1, gateway.counterCalls.size());
        gateway.advance(1000);
        assertEquals(-1, gateway.counterCalls.get(1).amount());
    }

    @Test
    void withoutRepliesTheOwnShareDecidesAndTheCounterGetsFewerCalls() {
        GatewayHarness.CounterCall call = requestUntilCounterCall();
        gateway.module.counterCallEnded(gateway.now, call.counter(), Outcome.TIMEOUT, 0);
        assertEquals(List.of("q" + (requests - 1)), gateway.refused);
        assertEquals(List.of(Refusal.PART), gateway.refusals);
        gateway.counterCalls.clear();
        request();
        gateway.counterCalls.forEach(
                c -> gateway.module.counterCallEnded(gateway.now, c.counter(), Outcome.TIMEOUT, 0));
        assertEquals(2, gateway.refused.size());
        gateway.counterCalls.clear();
        int[] calls = new int[2];
        for (int i = 0; i < 400; i++) {
            request();
            gateway.advance(50);
            calls[i / 200] += gateway.counterCalls.size();
            List.copyOf(gateway.counterCalls)
                    .forEach(c -> gateway.module.counterCallEnded(gateway.now, c.counter(), Outcome.TIMEOUT, 0));
            gateway.counterCalls.clear();
            assertEquals(requests, gateway.sent.size() + gateway.refused.size()); // no request waits for the counter
        }
        assertTrue(calls[0] > calls[1] && calls[1] <= 10, calls[0] + " calls in 10 s, then " + calls[1]);
    }

    /** Customers that send a single request must be evicted, and must cause no calls long afterwards. */
    @Test
    void evictedCustomersCauseNoCalls() {
        for (int i = 0; i < 200; i++) {
            String id = "q" + requests++;
            gateway.request(id, "read", "slow", 1000 + i, 1, GATEWAYS);
            gateway.endAttempt(id, 0, Outcome.OK, 10);
        }
        assertTrue(rejectedCalls(20) > 0);
        rejectedCalls(60); // evicted after a minute, at the next sweep
        assertEquals(0, rejectedCalls(400));
    }

    /** Rejects all calls to the counter for some seconds and returns their number. */
    private int rejectedCalls(int seconds) {
        int calls = 0;
        for (int i = 0; i < seconds * 10; i++) {
            gateway.advance(100);
            calls += gateway.counterCalls.size();
            List.copyOf(gateway.counterCalls)
                    .forEach(call -> gateway.module.counterCallEnded(gateway.now, call.counter(), Outcome.FULL, 0));
            gateway.counterCalls.clear();
        }
        return calls;
    }

    /**
     * Until the first meter reading the other gateways are assumed to use the usual share of the quota; a reading of no
     * use shows that the quota is free.
     */
    @Test
    void quotaLeftByTheMeterIsAdmittedWithoutACounter() {
        gateway = newGateway(false);
        while (gateway.refused.isEmpty()) {
            String id = request();
            if (gateway.refused.isEmpty()) {
                gateway.module.attemptEnded(
                        gateway.now,
                        new AttemptResult(id, 0, gateway.hostOf(id), Outcome.OK, 10, true, 1, 0, new double[0]));
            }
        }
        int sentBefore = gateway.sent.size();
        gateway.advance(2500); // refills one unit of the quota, and a quarter of a unit of an even share
        request();
        assertEquals(sentBefore + 1, gateway.sent.size());
    }

    /** Two processes that serve as one gateway admit together what one process would. */
    @Test
    void secondProcessContinuesFromTheStateOfTheFirst() {
        gateway = newGateway(false);
        while (gateway.refused.isEmpty()) {
            request();
        }
        GatewayHarness second = newGateway(false);
        second.module.restoreCustomers(second.now, gateway.module.snapshotCustomers(gateway.now));
        second.request("r", "read", "slow", 42, 1, GATEWAYS);
        assertEquals(List.of("r"), second.refused);
        second.request("s", "read", "slow", 43, 1, GATEWAYS);
        assertEquals(1, second.attemptCount("s")); // a customer that the first process has not seen
    }

    @Test
    void processesSplitTheShareOfTheirGatewayWhileTheyRun() {
        int alone = admittedByOneOf(1);
        int shared = admittedByOneOf(2);
        assertTrue(
                shared < alone && 2 * shared <= alone + 2,
                "two processes admitted " + shared + " each, a single one " + alone);
    }

    /** The requests that one process admits while so many serve as its gateway. */
    private int admittedByOneOf(int processes) {
        gateway = newGateway(false);
        while (gateway.refused.isEmpty()) {
            request();
        }
        int sentBefore = gateway.sent.size();
        gateway.sent.forEach(attempt -> gateway.endAttempt(attempt.id(), 0, Outcome.OK, 1));
        gateway.module.processCountChanged(gateway.now, 3);
        gateway.module.processCountChanged(gateway.now, processes);
        for (int i = 0; i < 400; i++) {
            gateway.advance(200);
            String id = request();
            if (gateway.attemptCount(id) > 0) {
                gateway.endAttempt(id, 0, Outcome.OK, 1);
            }
        }
        return gateway.sent.size() - sentBefore;
    }

    /**
     * Without a meter nothing shows what the other gateways of the set have left, so all of them would assume that the
     * same units are free.
     */
    @Test
    void withoutAMeterOnlyPlansWithLowExcessCostAreAdmittedOnAnEstimate() {
        Settings defaults = GatewayHarness.settings(0, GATEWAYS);
        Plan cheap = new Plan("cheap", SLOW.rate(), SLOW.burst(), 0, 1, 0, 0.1, 0, 0, 0);
        gateway = new GatewayHarness(
                        0,
                        new Settings(
                                defaults.seed(),
                                0,
                                GATEWAYS,
                                "a",
                                false,
                                defaults.classes(),
                                List.of(SLOW, cheap),
                                List.of(),
                                new Limits(3, false, true, false, false, true, 500, 100),
                                defaults.rules(),
                                new Coordination(true, 0, 80, 0, false, 1, 0, 0, 0, 0)))
                .withHosts("a1", "a2", "a3", "a4");
        requestUntilCounterCall();
        assertEquals(1, gateway.sent.size()); // its share of the burst, and no more without a call
        gateway.counterCalls.clear();
        while (gateway.counterCalls.isEmpty()) {
            gateway.request("c" + requests++, "read", "cheap", 43, 1, GATEWAYS);
        }
        assertTrue(gateway.sent.size() > 2, gateway.sent.size() + " admitted, two of them by the even shares");
    }
}
