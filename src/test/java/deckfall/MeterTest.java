package deckfall;

import static org.junit.jupiter.api.Assertions.assertTrue;

import deckfall.Gateway.AttemptResult;
import deckfall.Gateway.Coordination;
import deckfall.Gateway.Limits;
import deckfall.Gateway.Outcome;
import deckfall.Gateway.Plan;
import deckfall.Gateway.Settings;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Checks the shares of gateways that have only the meter in common, which reports the use of all of them with a delay.
 */
class MeterTest {
    private static final int GATEWAYS = 4;
    private static final double STEP_MS = 10;
    private static final double PERIOD_MS = 1000;
    private static final double METER_DELAY_MS = 800; // from the end of a period to its reading
    private static final Plan WIDE = new Plan("wide", 20, 20, 0, 1, 0, 1, 0, 0, 0);

    private final List<GatewayHarness> gateways = new ArrayList<>();
    private final TreeMap<Integer, Integer> unitsByPeriod = new TreeMap<>(); // by the period's number
    private final Set<String> ended = new HashSet<>();
    private int requests;

    @BeforeEach
    void startGateways() {
        for (int i = 0; i < GATEWAYS; i++) {
            Settings defaults = GatewayHarness.settings(i, GATEWAYS);
            gateways.add(new GatewayHarness(
                            0,
                            new Settings(
                                    defaults.seed(),
                                    i,
                                    GATEWAYS,
                                    "a",
                                    false,
                                    defaults.classes(),
                                    List.of(WIDE),
                                    List.of(),
                                    new Limits(3, false, true, false, false, true, 500, 100),
                                    defaults.rules(),
                                    new Coordination(false, 0, 80, PERIOD_MS, false, 1, 0, 0, 0, 0)))
                    .withHosts("a1", "a2", "a3", "a4"));
        }
    }

    private double now() {
        return gateways.get(0).now;
    }

    private void request(int gateway, Plan plan) {
        gateways.get(gateway).request("q" + requests++, "read", plan.name(), 42, 1, GATEWAYS);
    }

    /** Advances by one step, meters the attempts sent in it and ends them with the last known meter reading. */
    private void advanceOneStep() {
        int lastKnownPeriod = (int) Math.floor((now() - METER_DELAY_MS) / PERIOD_MS) - 1;
        int meterReading = lastKnownPeriod < 0
                ? 0
                : 1 + (int) (100 * unitsByPeriod.getOrDefault(lastKnownPeriod, 0) / WIDE.rate());
        for (GatewayHarness gateway : gateways) {
            gateway.advance(STEP_MS);
            for (GatewayHarness.SentAttempt attempt : List.copyOf(gateway.sent)) {
                if (ended.add(gateway.hashCode() + attempt.id())) {
                    unitsByPeriod.merge((int) (attempt.atMs() / PERIOD_MS), 1, Integer::sum);
                    gateway.module.attemptEnded(
                            gateway.now,
                            new AttemptResult(
                                    attempt.id(),
                                    0,
                                    attempt.host(),
                                    Outcome.OK,
                                    STEP_MS,
                                    true,
                                    meterReading,
                                    0,
                                    new double[0]));
                }
            }
        }
    }

    /** Units sent in some seconds while each of these gateways receives requests at the rate of the whole quota. */
    private int sentUnderLoad(int seconds, int... loadedGateways) {
        int endedBefore = ended.size();
        double perStep = WIDE.rate() * STEP_MS / 1000;
        double due = 0;
        for (double end = now() + seconds * 1000; now() < end; advanceOneStep()) {
            for (due += perStep; due >= 1; due--) {
                for (int gateway : loadedGateways) {
                    request(gateway, WIDE);
                }
            }
        }
        return ended.size() - endedBefore;
    }

    /**
     * All gateways of a set raise their shares on the same meter reading, which each response repeats. Each reading may
     * count once only.
     */
    @Test
    void sharesRaisedByTheMeterSumToAboutTheQuota() {
        sentUnderLoad(5, 0, 1, 2, 3); // uses up the burst and lets the shares settle
        double sentShare = sentUnderLoad(30, 0, 1, 2, 3) / (30 * WIDE.rate());
        assertTrue(sentShare >= 0.9 && sentShare <= 1.1, "sent " + sentShare + " of the quota");
    }

    @Test
    void shareFollowsTheTrafficToAnotherGateway() {
        sentUnderLoad(6, 0);
        sentUnderLoad(4, 2);
        double sentShare = sentUnderLoad(10, 2) / (10 * WIDE.rate());
        assertTrue(sentShare >= 0.85 && sentShare <= 1.1, "sent " + sentShare + " of the quota");
    }

    /** A client that retries after the advised time must find that the units have been refilled. */
    @Test
    void retryAfterOfARefusalCoversTheRefillOfTheOwnBucket() {
        GatewayHarness gateway = gateways.get(0);
        while (gateway.refused.isEmpty()) {
            request(0, WIDE);
        }
        String[] logFields = gateway.log.get(gateway.log.size() - 1).split(" ");
        assertTrue(logFields[1].equals("refuse") && Double.parseDouble(logFields[3]) > 0, String.join(" ", logFields));
        gateway.sent.forEach(attempt -> gateway.endAttempt(attempt.id(), 0, Outcome.OK, STEP_MS));
        int sentBefore = gateway.sent.size();
        gateway.advance(Double.parseDouble(logFields[3]));
        request(0, WIDE);
        assertTrue(gateway.sent.size() > sentBefore, "refused again after " + logFields[3] + " ms");
    }
}
