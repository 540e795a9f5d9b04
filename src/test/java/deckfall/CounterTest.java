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

/** What a gateway lets in beyond its own part, by the counter and by what the meter leaves. */
class CounterTest {
    private static final int GATEWAYS = 4;
    private static final Plan SLOW = new Plan("slow", 0.5, 4, 0, 1, 0, 1, 0, 0, 0);

    private GatewayHarness g;
    private int serial;

    private static GatewayHarness gateway(boolean counter) {
        Settings s = GatewayHarness.settings(0, GATEWAYS);
        return new GatewayHarness(
                        0,
                        new Settings(
                                s.seed(),
                                0,
                                GATEWAYS,
                                "a",
                                false,
                                s.classes(),
                                List.of(SLOW),
                                List.of(),
                                new Limits(3, false, true, false, false, true, 500, 100),
                                s.rules(),
                                new Coordination(counter, 0, 80, 1000, false, 1, 0, 0, 0, 0)))
                .withHosts("a1", "a2", "a3", "a4");
    }

    @BeforeEach
    void start() {
        g = gateway(true);
    }

    private String ask() {
        String id = "q" + serial++;
        g.request(id, "read", "slow", 42, 1, GATEWAYS);
        return id;
    }

    private GatewayHarness.CounterCall askUntilCounted() {
        while (g.counterCalls.isEmpty()) {
            ask();
        }
        return g.counterCalls.get(g.counterCalls.size() - 1);
    }

    /** A customer that most gateways see little of would otherwise have less than one request a part. */
    @Test
    void theFirstRequestOfASmallBurstIsLetIn() {
        assertEquals(1, g.attemptCount(ask()));
    }

    @Test
    void theOwnPartIsSpentBeforeTheCounterIsAsked() {
        askUntilCounted();
        assertTrue(g.sent.size() >= 1 && g.sent.size() <= 3, g.sent.size() + " of a burst of 4 let in unasked");
        assertEquals(List.of(), g.refused);
    }

    @Test
    void aStoreWithRoomLetsInWhatWaitsForTheCounter() {
        GatewayHarness.CounterCall call = askUntilCounted();
        g.module.counterCallEnded(g.now, call.counter(), Outcome.OK, call.amount()); // nobody else used any
        assertEquals(1, g.attemptCount("q" + (serial - 1)));
    }

    @Test
    void aStoreThatOthersEmptiedRefusesAndGivesTheWantedUnitsBack() {
        GatewayHarness.CounterCall call = askUntilCounted();
        g.module.counterCallEnded(g.now, call.counter(), Outcome.OK, call.amount() + SLOW.burst());
        assertEquals(List.of("q" + (serial - 1)), g.refused);
        assertEquals(List.of(Refusal.QUOTA), g.refusals);
        ask();
        assertEquals(2, g.refused.size()); // known to be empty: not asked again
        assertEquals(1, g.counterCalls.size());
        g.advance(1000);
        assertEquals(-1, g.counterCalls.get(1).amount());
    }

    @Test
    void withoutAnAnswerTheOwnPartDecidesAndTheCounterGetsEverFewerCalls() {
        GatewayHarness.CounterCall call = askUntilCounted();
        g.module.counterCallEnded(g.now, call.counter(), Outcome.TIMEOUT, 0);
        assertEquals(List.of("q" + (serial - 1)), g.refused);
        assertEquals(List.of(Refusal.PART), g.refusals);
        g.counterCalls.clear();
        ask();
        g.counterCalls.forEach(c -> g.module.counterCallEnded(g.now, c.counter(), Outcome.TIMEOUT, 0));
        assertEquals(2, g.refused.size());
        g.counterCalls.clear();
        int[] calls = new int[2];
        for (int i = 0; i < 400; i++) {
            ask();
            g.advance(50);
            calls[i / 200] += g.counterCalls.size();
            List.copyOf(g.counterCalls).forEach(c -> g.module.counterCallEnded(g.now, c.counter(), Outcome.TIMEOUT, 0));
            g.counterCalls.clear();
            assertEquals(serial, g.sent.size() + g.refused.size()); // nothing is held for it
        }
        assertTrue(calls[0] > calls[1] && calls[1] <= 10, calls[0] + " calls in 10 s, then " + calls[1]);
    }

    /** A flood of customers that come once must not be called for, nor kept, long after they have gone. */
    @Test
    void whoHasBeenForgottenIsNotCalledFor() {
        for (int i = 0; i < 200; i++) {
            String id = "q" + serial++;
            g.request(id, "read", "slow", 1000 + i, 1, GATEWAYS);
            g.endAttempt(id, 0, Outcome.OK, 10);
        }
        assertTrue(callsTurnedAway(20) > 0);
        callsTurnedAway(60); // forgotten after a minute, at the next sweep
        assertEquals(0, callsTurnedAway(400));
    }

    private int callsTurnedAway(int seconds) {
        int calls = 0;
        for (int i = 0; i < seconds * 10; i++) {
            g.advance(100);
            calls += g.counterCalls.size();
            List.copyOf(g.counterCalls).forEach(c -> g.module.counterCallEnded(g.now, c.counter(), Outcome.FULL, 0));
            g.counterCalls.clear();
        }
        return calls;
    }

    /** Before any figure others are taken to use as much as is usual; by a figure of none the store is free. */
    @Test
    void whatTheMeterLeavesIsLetInWithoutACounter() {
        g = gateway(false);
        while (g.refused.isEmpty()) {
            String id = ask();
            if (g.refused.isEmpty()) {
                g.module.attemptEnded(
                        g.now, new AttemptResult(id, 0, g.hostOf(id), Outcome.OK, 10, true, 1, 0, new double[0]));
            }
        }
        int first = g.sent.size();
        g.advance(2500); // one unit in the store, a quarter of one in an even part
        ask();
        assertEquals(first + 1, g.sent.size());
    }

    /** Two processes that serve as one gateway let in together what one would. */
    @Test
    void aSecondProcessGoesOnFromWhatTheFirstOneRemembers() {
        g = gateway(false);
        while (g.refused.isEmpty()) {
            ask();
        }
        GatewayHarness second = gateway(false);
        second.module.restoreCustomers(second.now, g.module.snapshotCustomers(g.now));
        second.request("r", "read", "slow", 42, 1, GATEWAYS);
        assertEquals(List.of("r"), second.refused);
        second.request("s", "read", "slow", 43, 1, GATEWAYS);
        assertEquals(1, second.attemptCount("s")); // of whom the first one knows nothing
    }

    @Test
    void processesShareAPartAndTheSharesEndWithThem() {
        int alone = letInOver(1);
        int shared = letInOver(2);
        assertTrue(shared < alone && 2 * shared <= alone + 2, "two let in " + shared + " each, one alone " + alone);
    }

    private int letInOver(int processes) {
        g = gateway(false);
        while (g.refused.isEmpty()) {
            ask();
        }
        int first = g.sent.size();
        g.sent.forEach(s -> g.endAttempt(s.id(), 0, Outcome.OK, 1));
        g.module.processCountChanged(g.now, 3);
        g.module.processCountChanged(g.now, processes);
        for (int i = 0; i < 400; i++) {
            g.advance(200);
            String id = ask();
            if (g.attemptCount(id) > 0) {
                g.endAttempt(id, 0, Outcome.OK, 1);
            }
        }
        return g.sent.size() - first;
    }

    /** Nothing tells there what the others of the set hold: all would take the same units to be free. */
    @Test
    void withoutAMeterAGuessIsLeftToThePlansWhoseExcessCostsLittle() {
        Settings s = GatewayHarness.settings(0, GATEWAYS);
        Plan cheap = new Plan("cheap", SLOW.rate(), SLOW.burst(), 0, 1, 0, 0.1, 0, 0, 0);
        g = new GatewayHarness(
                        0,
                        new Settings(
                                s.seed(),
                                0,
                                GATEWAYS,
                                "a",
                                false,
                                s.classes(),
                                List.of(SLOW, cheap),
                                List.of(),
                                new Limits(3, false, true, false, false, true, 500, 100),
                                s.rules(),
                                new Coordination(true, 0, 80, 0, false, 1, 0, 0, 0, 0)))
                .withHosts("a1", "a2", "a3", "a4");
        askUntilCounted();
        assertEquals(1, g.sent.size()); // its part of the burst, and no more unasked
        g.counterCalls.clear();
        while (g.counterCalls.isEmpty()) {
            g.request("c" + serial++, "read", "cheap", 43, 1, GATEWAYS);
        }
        assertTrue(g.sent.size() > 2, g.sent.size() + " let in, two of them by the even parts");
    }
}
