package deckfall;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import deckfall.Gateway.Coordination;
import deckfall.Gateway.Limits;
import deckfall.Gateway.Outcome;
import deckfall.Gateway.Plan;
import deckfall.Gateway.Settings;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What a gateway of a wide set asks a counter that bears fewer calls than there are requests. */
class ScarceCounterTest {
    private static final int GATEWAYS = 60;
    private static final long CUSTOMER = 42;
    private static final double BURST = 4;
    private static final long WINDOW_MS = 60_000; // of a count
    private static final double BEYOND = 2 * (BURST + WINDOW_MS / 1000.0); // no store holds anything then
    private static final double RATE = 1;
    private static final double RECALL_MS = 2 * 1000 * BURST; // for which an answer tells of the store

    private GatewayHarness gateway;
    private int requests;

    /** Excess costs a share of its worth, so that it pays to let in more or fewer on a guess. */
    private void start(double excessCost) {
        Plan plan = new Plan("small", RATE, BURST, 0, 1, 0, excessCost, 0, 0, 0);
        Settings s = GatewayHarness.settings(0, GATEWAYS);
        gateway = new GatewayHarness(
                        0,
                        new Settings(
                                s.seed(),
                                0,
                                GATEWAYS,
                                "a",
                                false,
                                s.classes(),
                                List.of(plan),
                                List.of(),
                                new Limits(3, false, true, false, false, true, 500, 100),
                                s.rules(),
                                new Coordination(true, 0, 80, 1000, false, 1, 0, 0, 0, 0)))
                .withHosts("a1", "a2", "a3", "a4");
    }

    private void request(long customer) {
        gateway.request("q" + requests++, "read", "small", customer, 1, GATEWAYS);
    }

    /** Requests of one customer until one of them is called for. */
    private GatewayHarness.CounterCall callFor(long customer) {
        for (int i = 0; i < 1000; i++) {
            request(customer);
            List<GatewayHarness.CounterCall> calls = List.copyOf(gateway.counterCalls);
            gateway.counterCalls.clear();
            for (GatewayHarness.CounterCall call : calls) {
                if (isFor(customer, call)) {
                    return call;
                }
            }
            gateway.advance(100);
        }
        throw new AssertionError("no call for the customer");
    }

    private static boolean isFor(long customer, GatewayHarness.CounterCall call) {
        return call.counter().startsWith("u" + Long.toHexString(customer) + ".");
    }

    private int callsFor(long customer) {
        return (int)
                gateway.counterCalls.stream().filter(c -> isFor(customer, c)).count();
    }

    private void answer(GatewayHarness.CounterCall call, double total) {
        gateway.module.counterCallEnded(gateway.now, call.counter(), Outcome.OK, total);
    }

    /** What the customer may have used since the count's window began. */
    private double allowed(long customer, GatewayHarness.CounterCall call) {
        long window = Long.parseLong(call.counter().substring(call.counter().indexOf('.') + 1));
        double elapsedMs = gateway.now + customer % WINDOW_MS - window * WINDOW_MS;
        return BURST + RATE * elapsedMs / 1000;
    }

    @Test
    void aCustomerThatTheCounterHasJustRefusedIsNotAskedForAgain() {
        start(1);
        GatewayHarness.CounterCall call = callFor(CUSTOMER);
        answer(call, call.amount() + BEYOND);
        settle();
        int refused = gateway.refused.size();
        for (double waited = 0; waited < RECALL_MS - 1000; waited += 500) {
            request(CUSTOMER);
            gateway.advance(500);
        }
        assertEquals(0, callsFor(CUSTOMER), gateway.counterCalls.toString());
        assertTrue(gateway.refused.size() - refused >= RECALL_MS / 500 - 3);
    }

    /** What the call took for a request that was then refused, and for those that it stands for, is given back. */
    @Test
    void unitsOfARefusedCallAreGivenBack() {
        start(0.5);
        GatewayHarness.CounterCall call = callThatStandsForOthers();
        answer(call, call.amount() + BEYOND);
        gateway.advance(3000);
        double given = gateway.counterCalls.stream()
                .filter(c -> c.counter().equals(call.counter()))
                .mapToDouble(GatewayHarness.CounterCall::amount)
                .sum();
        assertEquals(-call.amount(), given, 1e-9, gateway.counterCalls.toString());
    }

    /** Many customers ask at once, so that not every request can be called for. */
    private GatewayHarness.CounterCall callThatStandsForOthers() {
        for (int i = 0; i < 2000; i++) {
            request(1000 + i);
            List<GatewayHarness.CounterCall> calls = List.copyOf(gateway.counterCalls);
            gateway.counterCalls.clear();
            for (GatewayHarness.CounterCall call : calls) {
                if (call.amount() > 1.5) {
                    return call;
                }
                answer(call, allowed(1000 + i, call) - BURST + call.amount());
            }
            gateway.advance(2);
        }
        throw new AssertionError("each request was called for");
    }

    /** Units that wait to be given back are told. */
    private void settle() {
        gateway.advance(1000);
        for (GatewayHarness.CounterCall call : List.copyOf(gateway.counterCalls)) {
            answer(call, call.amount() + BEYOND);
        }
        gateway.counterCalls.clear();
    }
}
