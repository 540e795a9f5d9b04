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

    private FakeGateway gateway;
    private int requests;

    /** Excess costs a share of its worth, so that it pays to let in more or fewer on a guess. */
    private void start(double excessCost) {
        Plan plan = new Plan("small", RATE, BURST, 0, 1, 0, excessCost, 0, 0, 0);
        Settings s = FakeGateway.settings(0, GATEWAYS);
        gateway = new FakeGateway(
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
        gateway.ask("q" + requests++, "read", "small", customer, 1, GATEWAYS);
    }

    /** Requests of one customer until one of them is called for. */
    private FakeGateway.Counted callFor(long customer) {
        for (int i = 0; i < 1000; i++) {
            request(customer);
            List<FakeGateway.Counted> calls = List.copyOf(gateway.counted);
            gateway.counted.clear();
            for (FakeGateway.Counted call : calls) {
                if (isFor(customer, call)) {
                    return call;
                }
            }
            gateway.pass(100);
        }
        throw new AssertionError("no call for the customer");
    }

    private static boolean isFor(long customer, FakeGateway.Counted call) {
        return call.counter().startsWith("u" + Long.toHexString(customer) + ".");
    }

    private int callsFor(long customer) {
        return (int) gateway.counted.stream().filter(c -> isFor(customer, c)).count();
    }

    private void answer(FakeGateway.Counted call, double total) {
        gateway.brain.counterCallEnded(gateway.now, call.counter(), Outcome.OK, total);
    }

    /** What the customer may have used since the count's window began. */
    private double allowed(long customer, FakeGateway.Counted call) {
        long window = Long.parseLong(call.counter().substring(call.counter().indexOf('.') + 1));
        double elapsedMs = gateway.now + customer % WINDOW_MS - window * WINDOW_MS;
        return BURST + RATE * elapsedMs / 1000;
    }

    @Test
    void aCustomerThatTheCounterHasJustRefusedIsNotAskedForAgain() {
        start(1);
        FakeGateway.Counted call = callFor(CUSTOMER);
        answer(call, call.amount() + BEYOND);
        settle();
        int refused = gateway.refused.size();
        for (double waited = 0; waited < RECALL_MS - 1000; waited += 500) {
            request(CUSTOMER);
            gateway.pass(500);
        }
        assertEquals(0, callsFor(CUSTOMER), gateway.counted.toString());
        assertTrue(gateway.refused.size() - refused >= RECALL_MS / 500 - 3);
    }

    /** What the call took for a request that was then refused, and for those that it stands for, is given back. */
    @Test
    void unitsOfARefusedCallAreGivenBack() {
        start(0.5);
        FakeGateway.Counted call = callThatStandsForOthers();
        answer(call, call.amount() + BEYOND);
        gateway.pass(3000);
        double given = gateway.counted.stream()
                .filter(c -> c.counter().equals(call.counter()))
                .mapToDouble(FakeGateway.Counted::amount)
                .sum();
        assertEquals(-call.amount(), given, 1e-9, gateway.counted.toString());
    }

    /** Many customers ask at once, so that not every request can be called for. */
    private FakeGateway.Counted callThatStandsForOthers() {
        for (int i = 0; i < 2000; i++) {
            request(1000 + i);
            List<FakeGateway.Counted> calls = List.copyOf(gateway.counted);
            gateway.counted.clear();
            for (FakeGateway.Counted call : calls) {
                if (call.amount() > 1.5) {
                    return call;
                }
                answer(call, allowed(1000 + i, call) - BURST + call.amount());
            }
            gateway.pass(2);
        }
        throw new AssertionError("each request was called for");
    }

    /** Units that wait to be given back are told. */
    private void settle() {
        gateway.pass(1000);
        for (FakeGateway.Counted call : List.copyOf(gateway.counted)) {
            answer(call, call.amount() + BEYOND);
        }
        gateway.counted.clear();
    }
}
