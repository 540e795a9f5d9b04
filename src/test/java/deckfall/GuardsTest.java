package deckfall;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import deckfall.Gateway.AttemptResult;
import deckfall.Gateway.Host;
import deckfall.Gateway.HostListKind;
import deckfall.Gateway.HostState;
import deckfall.Gateway.Limits;
import deckfall.Gateway.Outcome;
import deckfall.Gateway.Request;
import deckfall.Gateway.Settings;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The five rules, each on one gateway alone. */
class GuardsTest {
    @Test
    void withoutHostsARequestIsHeldAndRefusedInTime() {
        GatewayHarness g = GatewayHarness.singleGateway();
        g.request("r", "pay");
        assertEquals(0, g.rejectionCount("r"));
        g.advance(2999);
        assertEquals(1, g.rejectionCount("r"));
        assertEquals(List.of("r"), g.refused);
    }

    @Test
    void aTryThatComesWithNoTimeLeftIsAnsweredAtOnce() {
        // port-louis rules-3: a late retry was held until the next beat, after its deadline
        GatewayHarness g = GatewayHarness.singleGateway();
        g.module.requestReceived(g.now, new Request("r", g.now + 5, false, "read", 1, "free", 1, 0, 1));
        assertEquals(1, g.rejectionCount("r"));
    }

    @Test
    void theTimeOutAtTheDeadlineIsAnswered() {
        GatewayHarness g = GatewayHarness.singleGateway().withHosts("a1");
        g.request("r", "read");
        g.request("p", "pay");
        g.advance(3000);
        g.endAttempt("r", 0, Outcome.TIMEOUT, 3000);
        g.endAttempt("p", 0, Outcome.TIMEOUT, 3000);
        assertEquals(1, g.rejectionCount("r"));
        assertEquals(List.of("p"), g.failed);
        assertEquals(1, g.attemptCount("p"));
    }

    @Test
    void nothingIsSentAfterTheClientLeft() {
        GatewayHarness g = GatewayHarness.singleGateway();
        g.request("r", "read");
        g.module.clientDisconnected(g.now, "r");
        g.withHosts("a1");
        g.advance(3000);
        assertEquals(0, g.attemptCount("r"));
        assertEquals(0, g.rejectionCount("r"));
    }

    @Test
    void unsafeWorkIsNeverRepeatedOnceItMayHaveRun() {
        for (Outcome outcome : List.of(Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT, Outcome.CANCELLED)) {
            GatewayHarness g = GatewayHarness.singleGateway().withHosts("a1", "b1");
            g.request("p", "pay");
            g.endAttempt("p", 0, outcome, 10);
            g.advance(500);
            assertEquals(1, g.attemptCount("p"), outcome.name());
            assertEquals(List.of("p"), g.failed, outcome.name());
        }
    }

    @Test
    void whatNeverRanIsSentElsewhere() {
        for (Outcome outcome : List.of(Outcome.FULL, Outcome.CONNECT_FAILED)) {
            GatewayHarness g = GatewayHarness.singleGateway().withHosts("a1", "b1");
            g.request("p", "pay");
            String first = g.hostOf("p");
            g.endAttempt("p", 0, outcome, 10);
            assertEquals(2, g.attemptCount("p"));
            assertNotEquals(first, g.hostOf("p"));
        }
    }

    @Test
    void keyedWorkStaysInItsZoneAndWindow() {
        GatewayHarness g = GatewayHarness.singleGateway().withHosts("a1", "a2", "b1", "b2");
        g.request("o", "order");
        String zone = g.hostOf("o").substring(0, 1);
        g.endAttempt("o", 0, Outcome.RESET, 10);
        assertEquals(2, g.attemptCount("o"));
        assertEquals(zone, g.hostOf("o").substring(0, 1));
        g.advance(1001);
        g.endAttempt("o", 1, Outcome.RESET, 1001);
        assertEquals(2, g.attemptCount("o"));
        assertEquals(List.of("o"), g.failed);
    }

    @Test
    void drainedAndGoneHostsGetNothingNew() {
        for (HostState state : List.of(HostState.DRAINING, HostState.GONE)) {
            GatewayHarness g = GatewayHarness.singleGateway().withHosts("a1", "b1");
            g.module.hostsUpdated(g.now, HostListKind.CHANGES, List.of(new Host("a1", "a", "std", 0, state, 1, 0)));
            for (int i = 0; i < 6; i++) {
                g.request("r" + i, "read");
            }
            assertTrue(g.sent.stream().allMatch(s -> s.host().equals("b1")) && !g.sent.isEmpty());
        }
        GatewayHarness g = GatewayHarness.singleGateway().withHosts("a1", "b1").withHosts("b1");
        g.request("r", "read");
        assertEquals("b1", g.hostOf("r"));
    }

    @Test
    void aColdHostGetsAShareOfWhatWarmOnesCarry() {
        GatewayHarness g = GatewayHarness.singleGateway().withHosts("a1", "b1");
        for (int i = 0; i < 100; i++) {
            steady(g, i);
        }
        g.module.hostsUpdated(
                g.now, HostListKind.CHANGES, List.of(new Host("c1", "c", "std", 0, HostState.RUNNING, 1, g.now)));
        int before = g.sent.size();
        for (int i = 100; i < 150; i++) {
            steady(g, i);
        }
        long cold =
                g.sent.stream().skip(before).filter(s -> s.host().equals("c1")).count();
        // 50 requests a second, half of them for each warm host: cold 0.2 x multiple 2 = 10 for all gateways
        assertTrue(cold >= 1 && cold < 10, "cold host got " + cold);
    }

    /** One request each 20 ms, answered after 160 ms, so that eight are out at a time. */
    private static void steady(GatewayHarness g, int i) {
        g.request("w" + i, "read");
        g.advance(20);
        if (i >= 8) {
            g.endAttempt("w" + (i - 8), 0, Outcome.OK, 160);
        }
    }

    @Test
    void theCeilingIsAnEvenPartAndARestartBringsNoBurst() {
        int me = DecisionState.rankGateways(9, 0, 2, 2, 2)[0]; // the keeper in charge: half, and half of the rest
        double spent = 0;
        for (int life = 0; life < 4; life++) {
            GatewayHarness g =
                    new GatewayHarness(1000 + life * 500, GatewayHarness.settings(me, 2)).withHosts("a1", "a2");
            for (int i = 0; i < 25; i++) {
                g.request("r" + life + "-" + i, "read", "capped", 9, 1, 2);
                g.advance(20);
            }
            spent += g.sent.size();
        }
        // three quarters of 20 a second over 2 s, however often it restarted
        assertTrue(spent > 10 && spent <= 30, "spent " + spent);
    }

    @Test
    void eventsForWhatIsNotHeldArePassedOver() {
        GatewayHarness g = GatewayHarness.singleGateway().withHosts("a1");
        g.module.attemptEnded(g.now, new AttemptResult("x", 0, "a1", Outcome.OK, 1, true, 0, 0, new double[0]));
        g.module.clientDisconnected(g.now, "x");
        g.module.timerFired(g.now, "x");
        g.module.probeEnded(g.now, "x", Outcome.OK, 1, new double[0]);
        g.module.streamStarted(g.now, "x", 0);
        g.module.peerMessageReceived(g.now, 5, new byte[] {1});
        g.request("r", "read");
        g.endAttempt("r", 7, Outcome.OK, 1);
        g.endAttempt("r", 0, Outcome.OK, 1);
        g.endAttempt("r", 0, Outcome.OK, 1);
        assertTrue(g.failed.isEmpty() && g.refused.isEmpty() && g.sent.size() == 1);
    }

    /** A further attempt may wait for its connection; it is to reach its host within the key's window all the same. */
    @Test
    void aKeysWindowLeavesTimeForAConnectionToComeUp() {
        for (double at : new double[] {550, 650}) {
            Settings s = GatewayHarness.settings(0, 1);
            Limits slow = new Limits(4, false, true, true, true, true, 500, 400);
            GatewayHarness g = new GatewayHarness(
                            1000,
                            new Settings(
                                    s.seed(),
                                    0,
                                    1,
                                    s.zone(),
                                    false,
                                    s.classes(),
                                    s.plans(),
                                    s.loadMetricNames(),
                                    slow,
                                    s.rules(),
                                    s.coordination()))
                    .withHosts("a1", "a2");
            g.request("o", "order");
            g.advance(at);
            g.endAttempt("o", 0, Outcome.RESET, at);
            assertEquals(at < 1000 - 400 ? 2 : 1, g.attemptCount("o"));
        }
    }
}
