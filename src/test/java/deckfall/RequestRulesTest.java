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
class RequestRulesTest {
    @Test
    void requestWithoutHostsIsHeldAndRefusedBeforeItsDeadline() {
        GatewayHarness gateway = GatewayHarness.singleGateway();
        gateway.request("r", "pay");
        assertEquals(0, gateway.rejectionCount("r"));
        gateway.advance(2999);
        assertEquals(1, gateway.rejectionCount("r"));
        assertEquals(List.of("r"), gateway.refused);
    }

    @Test
    void requestWithNoTimeLeftIsAnsweredAtOnce() {
        // port-louis rules-3: a late retry was held until the next beat, after its deadline
        GatewayHarness gateway = GatewayHarness.singleGateway();
        gateway.module.requestReceived(
                gateway.now, new Request("r", gateway.now + 5, false, "read", 1, "free", 1, 0, 1));
        assertEquals(1, gateway.rejectionCount("r"));
    }

    @Test
    void attemptTimeoutAtTheDeadlineIsAnswered() {
        GatewayHarness gateway = GatewayHarness.singleGateway().withHosts("a1");
        gateway.request("r", "read");
        gateway.request("p", "pay");
        gateway.advance(3000);
        gateway.endAttempt("r", 0, Outcome.TIMEOUT, 3000);
        gateway.endAttempt("p", 0, Outcome.TIMEOUT, 3000);
        assertEquals(1, gateway.rejectionCount("r"));
        assertEquals(List.of("p"), gateway.failed);
        assertEquals(1, gateway.attemptCount("p"));
    }

    @Test
    void nothingIsSentAfterTheClientDisconnects() {
        GatewayHarness gateway = GatewayHarness.singleGateway();
        gateway.request("r", "read");
        gateway.module.clientDisconnected(gateway.now, "r");
        gateway.withHosts("a1");
        gateway.advance(3000);
        assertEquals(0, gateway.attemptCount("r"));
        assertEquals(0, gateway.rejectionCount("r"));
    }

    @Test
    void nonRepeatableRequestIsNotRetriedOnceItMayHaveRun() {
        for (Outcome outcome : List.of(Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT, Outcome.CANCELLED)) {
            GatewayHarness gateway = GatewayHarness.singleGateway().withHosts("a1", "b1");
            gateway.request("p", "pay");
            gateway.endAttempt("p", 0, outcome, 10);
            gateway.advance(500);
            assertEquals(1, gateway.attemptCount("p"), outcome.name());
            assertEquals(List.of("p"), gateway.failed, outcome.name());
        }
    }

    @Test
    void requestThatNeverRanIsRetriedOnAnotherHost() {
        for (Outcome outcome : List.of(Outcome.FULL, Outcome.CONNECT_FAILED)) {
            GatewayHarness gateway = GatewayHarness.singleGateway().withHosts("a1", "b1");
            gateway.request("p", "pay");
            String first = gateway.hostOf("p");
            gateway.endAttempt("p", 0, outcome, 10);
            assertEquals(2, gateway.attemptCount("p"));
            assertNotEquals(first, gateway.hostOf("p"));
        }
    }

    @Test
    void keyedRequestIsRetriedOnlyInItsZoneAndWindow() {
        GatewayHarness gateway = GatewayHarness.singleGateway().withHosts("a1", "a2", "b1", "b2");
        gateway.request("o", "order");
        String zone = gateway.hostOf("o").substring(0, 1);
        gateway.endAttempt("o", 0, Outcome.RESET, 10);
        assertEquals(2, gateway.attemptCount("o"));
        assertEquals(zone, gateway.hostOf("o").substring(0, 1));
        gateway.advance(1001);
        gateway.endAttempt("o", 1, Outcome.RESET, 1001);
        assertEquals(2, gateway.attemptCount("o"));
        assertEquals(List.of("o"), gateway.failed);
    }

    @Test
    void drainingAndRemovedHostsGetNoNewRequests() {
        for (HostState state : List.of(HostState.DRAINING, HostState.GONE)) {
            GatewayHarness gateway = GatewayHarness.singleGateway().withHosts("a1", "b1");
            gateway.module.hostsUpdated(
                    gateway.now, HostListKind.CHANGES, List.of(new Host("a1", "a", "std", 0, state, 1, 0)));
            for (int i = 0; i < 6; i++) {
                gateway.request("r" + i, "read");
            }
            assertTrue(gateway.sent.stream().allMatch(s -> s.host().equals("b1")) && !gateway.sent.isEmpty());
        }
        GatewayHarness gateway =
                GatewayHarness.singleGateway().withHosts("a1", "b1").withHosts("b1");
        gateway.request("r", "read");
        assertEquals("b1", gateway.hostOf("r"));
    }

    @Test
    void coldHostGetsAReducedShareOfRequests() {
        GatewayHarness gateway = GatewayHarness.singleGateway().withHosts("a1", "b1");
        for (int i = 0; i < 100; i++) {
            sendSteadyLoad(gateway, i);
        }
        gateway.module.hostsUpdated(
                gateway.now,
                HostListKind.CHANGES,
                List.of(new Host("c1", "c", "std", 0, HostState.RUNNING, 1, gateway.now)));
        int before = gateway.sent.size();
        for (int i = 100; i < 150; i++) {
            sendSteadyLoad(gateway, i);
        }
        long cold = gateway.sent.stream()
                .skip(before)
                .filter(s -> s.host().equals("c1"))
                .count();
        // 50 requests a second, half of them for each warm host: cold 0.2 x multiple 2 = 10 for all gateways
        assertTrue(cold >= 1 && cold < 10, "cold host got " + cold);
    }

    /** One request each 20 ms, answered after 160 ms, so that eight are out at a time. */
    private static void sendSteadyLoad(GatewayHarness gateway, int i) {
        gateway.request("w" + i, "read");
        gateway.advance(20);
        if (i >= 8) {
            gateway.endAttempt("w" + (i - 8), 0, Outcome.OK, 160);
        }
    }

    @Test
    void capIsSharedEvenlyAndARestartGrantsNoBurst() {
        int gatewayNumber =
                DecisionState.rankGateways(9, 0, 2, 2, 2)[0]; // the keeper in charge: half, and half of the rest
        double admitted = 0;
        for (int life = 0; life < 4; life++) {
            GatewayHarness gateway = new GatewayHarness(1000 + life * 500, GatewayHarness.settings(gatewayNumber, 2))
                    .withHosts("a1", "a2");
            for (int i = 0; i < 25; i++) {
                gateway.request("r" + life + "-" + i, "read", "capped", 9, 1, 2);
                gateway.advance(20);
            }
            admitted += gateway.sent.size();
        }
        // three quarters of 20 a second over 2 s, however often it restarted
        assertTrue(admitted > 10 && admitted <= 30, "spent " + admitted);
    }

    @Test
    void eventsForUnknownIdsAreIgnored() {
        GatewayHarness gateway = GatewayHarness.singleGateway().withHosts("a1");
        gateway.module.attemptEnded(
                gateway.now, new AttemptResult("x", 0, "a1", Outcome.OK, 1, true, 0, 0, new double[0]));
        gateway.module.clientDisconnected(gateway.now, "x");
        gateway.module.timerFired(gateway.now, "x");
        gateway.module.probeEnded(gateway.now, "x", Outcome.OK, 1, new double[0]);
        gateway.module.streamStarted(gateway.now, "x", 0);
        gateway.module.peerMessageReceived(gateway.now, 5, new byte[] {1});
        gateway.request("r", "read");
        gateway.endAttempt("r", 7, Outcome.OK, 1);
        gateway.endAttempt("r", 0, Outcome.OK, 1);
        gateway.endAttempt("r", 0, Outcome.OK, 1);
        assertTrue(gateway.failed.isEmpty() && gateway.refused.isEmpty() && gateway.sent.size() == 1);
    }

    /** A further attempt may wait for its connection; it is to reach its host within the key's window all the same. */
    @Test
    void retryOfAKeyedRequestLeavesTimeToConnectWithinItsWindow() {
        for (double at : new double[] {550, 650}) {
            Settings s = GatewayHarness.settings(0, 1);
            Limits slow = new Limits(4, false, true, true, true, true, 500, 400);
            GatewayHarness gateway = new GatewayHarness(
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
            gateway.request("o", "order");
            gateway.advance(at);
            gateway.endAttempt("o", 0, Outcome.RESET, at);
            assertEquals(at < 1000 - 400 ? 2 : 1, gateway.attemptCount("o"));
        }
    }
}
