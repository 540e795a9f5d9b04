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

/** Checks the five rules of {@link DecisionModule} on requests, each on a single gateway. */
class RequestRulesTest {
    @Test
    void requestWithoutHostsIsQueuedAndRefusedBeforeItsDeadline() {
        GatewayHarness gateway = GatewayHarness.singleGateway();
        gateway.request("r", "pay");
        assertEquals(0, gateway.rejectionCount("r"));
        gateway.advance(2999);
        assertEquals(1, gateway.rejectionCount("r"));
        assertEquals(List.of("r"), gateway.refused);
    }

    @Test
    void requestWithNoTimeLeftIsRefusedAtOnce() {
        // Run port-louis rules-3: a late retry was held until the next timer tick, which was after its deadline.
        GatewayHarness gateway = GatewayHarness.singleGateway();
        gateway.module.requestReceived(
                gateway.now, new Request("r", gateway.now + 5, false, "read", 1, "free", 1, 0, 1));
        assertEquals(1, gateway.rejectionCount("r"));
    }

    @Test
    void requestEndsWhenItsAttemptTimesOutAtTheDeadline() {
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
        int sentBefore = gateway.sent.size();
        for (int i = 100; i < 150; i++) {
            sendSteadyLoad(gateway, i);
        }
        long coldAttempts = gateway.sent.stream()
                .skip(sentBefore)
                .filter(s -> s.host().equals("c1"))
                .count();
        // 50 requests are sent in a second, half of them to each warm host. The cold host may get 0.2 x 2 of these 25,
        // which is 10, from all gateways together.
        assertTrue(coldAttempts >= 1 && coldAttempts < 10, "cold host got " + coldAttempts);
    }

    /** Sends one request each 20 ms, whose response arrives after 160 ms, so that eight are in flight at a time. */
    private static void sendSteadyLoad(GatewayHarness gateway, int i) {
        gateway.request("w" + i, "read");
        gateway.advance(20);
        if (i >= 8) {
            gateway.endAttempt("w" + (i - 8), 0, Outcome.OK, 160);
        }
    }

    @Test
    void capIsSharedEvenlyAndARestartGrantsNoBurst() {
        // The primary owner holds half of the cap, and half of the rest.
        int primaryOwner = DecisionState.rankGateways(9, 0, 2, 2, 2)[0];
        double admitted = 0;
        for (int start = 0; start < 4; start++) {
            GatewayHarness gateway = new GatewayHarness(1000 + start * 500, GatewayHarness.settings(primaryOwner, 2))
                    .withHosts("a1", "a2");
            for (int i = 0; i < 25; i++) {
                gateway.request("r" + start + "-" + i, "read", "capped", 9, 1, 2);
                gateway.advance(20);
            }
            admitted += gateway.sent.size();
        }
        // Three quarters of 20 units per second over 2 s, regardless of the number of restarts.
        assertTrue(admitted > 10 && admitted <= 30, "admitted " + admitted);
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

    /** A retry may have to wait for a new connection, and must still reach its host within the key window. */
    @Test
    void retryOfAKeyedRequestLeavesTimeToConnectWithinItsWindow() {
        for (double elapsedMs : new double[] {550, 650}) {
            Settings defaults = GatewayHarness.settings(0, 1);
            Limits limits = new Limits(4, false, true, true, true, true, 500, 400);
            GatewayHarness gateway = new GatewayHarness(
                            1000,
                            new Settings(
                                    defaults.seed(),
                                    0,
                                    1,
                                    defaults.zone(),
                                    false,
                                    defaults.classes(),
                                    defaults.plans(),
                                    defaults.loadMetricNames(),
                                    limits,
                                    defaults.rules(),
                                    defaults.coordination()))
                    .withHosts("a1", "a2");
            gateway.request("o", "order");
            gateway.advance(elapsedMs);
            gateway.endAttempt("o", 0, Outcome.RESET, elapsedMs);
            assertEquals(elapsedMs < 1000 - 400 ? 2 : 1, gateway.attemptCount("o"));
        }
    }
}
