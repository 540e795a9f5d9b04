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

/** Checks the calls of a gateway of a wide set to a counter that cannot take a call for each request. */
class ScarceCounterTest {
    private static final int GATEWAYS = 60;
    private static final long CUSTOMER = 42;
    private static final double BURST_UNITS = 4;
    private static final long WINDOW_MS = 60_000; // time that one counter name covers

    /** Use that leaves nothing of the quota. */
    private static final double UNITS_BEYOND_ANY_QUOTA = 2 * (BURST_UNITS + WINDOW_MS / 1000.0);

    private static final double UNITS_PER_S = 1;

    /** Time for which a reply is evidence of the quota level: that in which two bursts refill, at one unit a second. */
    private static final double EVIDENCE_LIFETIME_MS = 2 * 1000 * BURST_UNITS;

    private GatewayHarness gateway;
    private int requests;

    /** Starts a gateway; the less excess costs, relative to its worth, the more requests it admits on an estimate. */
    private void start(double excessCost) {
        Plan plan = new Plan("small", UNITS_PER_S, BURST_UNITS, 0, 1, 0, excessCost, 0, 0, 0);
        Settings defaults = GatewayHarness.settings(0, GATEWAYS);
        gateway = new GatewayHarness(
                        0,
                        new Settings(
                                defaults.seed(),
                                0,
                                GATEWAYS,
                                "a",
                                false,
                                defaults.classes(),
                                List.of(plan),
                                List.of(),
                                new Limits(3, false, true, false, false, true, 500, 100),
                                defaults.rules(),
                                new Coordination(true, 0, 80, 1000, false, 1, 0, 0, 0, 0)))
                .withHosts("a1", "a2", "a3", "a4");
    }

    private void request(long customer) {
        gateway.request("q" + requests++, "read", "small", customer, 1, GATEWAYS);
    }

    /** Sends requests of one customer until one of them causes a call to the counter. */
    private GatewayHarness.CounterCall requestUntilCallFor(long customer) {
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
        return (int) gateway.counterCalls.stream()
                .filter(call -> isFor(customer, call))
                .count();
    }

    private void reply(GatewayHarness.CounterCall call, double total) {
        gateway.module.counterCallEnded(gateway.now, call.counter(), Outcome.OK, total);
    }

    /** The units that the customer may use from the start of the counter name's window up to now. */
    private double allowedUnits(long customer, GatewayHarness.CounterCall call) {
        long window = Long.parseLong(call.counter().substring(call.counter().indexOf('.') + 1));
        double elapsedMs = gateway.now + customer % WINDOW_MS - window * WINDOW_MS;
        return BURST_UNITS + UNITS_PER_S * elapsedMs / 1000;
    }

    @Test
    void recentlyRefusedCustomerCausesNoFurtherCall() {
        start(1);
        GatewayHarness.CounterCall call = requestUntilCallFor(CUSTOMER);
        reply(call, call.amount() + UNITS_BEYOND_ANY_QUOTA);
        replyToCallsThatReturnUnits();
        int refusedBefore = gateway.refused.size();
        for (double elapsedMs = 0; elapsedMs < EVIDENCE_LIFETIME_MS - 1000; elapsedMs += 500) {
            request(CUSTOMER);
            gateway.advance(500);
        }
        assertEquals(0, callsFor(CUSTOMER), gateway.counterCalls.toString());
        assertTrue(gateway.refused.size() - refusedBefore >= EVIDENCE_LIFETIME_MS / 500 - 3);
    }

    /**
     * The units that a call added for a request that is then refused, and for the admitted requests that the call was
     * sampled from, are subtracted again.
     */
    @Test
    void unitsOfARefusedCallAreReturned() {
        start(0.5);
        GatewayHarness.CounterCall call = requestUntilSampledCall();
        reply(call, call.amount() + UNITS_BEYOND_ANY_QUOTA);
        gateway.advance(3000);
        double returnedUnits = gateway.counterCalls.stream()
                .filter(c -> c.counter().equals(call.counter()))
                .mapToDouble(GatewayHarness.CounterCall::amount)
                .sum();
        assertEquals(-call.amount(), returnedUnits, 1e-9, gateway.counterCalls.toString());
    }

    /** Sends requests of many customers at once, so that only a sample of them can cause calls; returns such a call. */
    private GatewayHarness.CounterCall requestUntilSampledCall() {
        for (int i = 0; i < 2000; i++) {
            request(1000 + i);
            List<GatewayHarness.CounterCall> calls = List.copyOf(gateway.counterCalls);
            gateway.counterCalls.clear();
            for (GatewayHarness.CounterCall call : calls) {
                if (call.amount() > 1.5) {
                    return call;
                }
                reply(call, allowedUnits(1000 + i, call) - BURST_UNITS + call.amount());
            }
            gateway.advance(2);
        }
        throw new AssertionError("each request caused a call");
    }

    /** Waits for the calls that return units, and replies to them. */
    private void replyToCallsThatReturnUnits() {
        gateway.advance(1000);
        for (GatewayHarness.CounterCall call : List.copyOf(gateway.counterCalls)) {
            reply(call, call.amount() + UNITS_BEYOND_ANY_QUOTA);
        }
        gateway.counterCalls.clear();
    }
}
