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

/** Parts where gateways learn of each other by the meter alone, which tells late what all of them used. */
class MeterTest {
    private static final int GATEWAYS = 4;
    private static final double STEP_MS = 10;
    private static final double PERIOD_MS = 1000;
    private static final double METER_DELAY_MS = 800;
    private static final Plan WIDE = new Plan("wide", 20, 20, 0, 1, 0, 1, 0, 0, 0);

    private final List<GatewayHarness> all = new ArrayList<>();
    private final TreeMap<Integer, Integer> unitsByPeriod = new TreeMap<>(); // by number of the metered period
    private final Set<String> ended = new HashSet<>();
    private int requests;

    @BeforeEach
    void startGateways() {
        for (int i = 0; i < GATEWAYS; i++) {
            Settings s = GatewayHarness.settings(i, GATEWAYS);
            all.add(new GatewayHarness(
                            0,
                            new Settings(
                                    s.seed(),
                                    i,
                                    GATEWAYS,
                                    "a",
                                    false,
                                    s.classes(),
                                    List.of(WIDE),
                                    List.of(),
                                    new Limits(3, false, true, false, false, true, 500, 100),
                                    s.rules(),
                                    new Coordination(false, 0, 80, PERIOD_MS, false, 1, 0, 0, 0, 0)))
                    .withHosts("a1", "a2", "a3", "a4"));
        }
    }

    private double now() {
        return all.get(0).now;
    }

    private void request(int gateway, Plan plan) {
        all.get(gateway).request("q" + requests++, "read", plan.name(), 42, 1, GATEWAYS);
    }

    /** Lets a step pass: what was sent in it is metered, and answered with the last total that is known. */
    private void advanceOneStep() {
        int known = (int) Math.floor((now() - METER_DELAY_MS) / PERIOD_MS) - 1;
        int usedPct = known < 0 ? 0 : 1 + (int) (100 * unitsByPeriod.getOrDefault(known, 0) / WIDE.rate());
        for (GatewayHarness gateway : all) {
            gateway.advance(STEP_MS);
            for (GatewayHarness.SentAttempt s : List.copyOf(gateway.sent)) {
                if (ended.add(gateway.hashCode() + s.id())) {
                    unitsByPeriod.merge((int) (s.atMs() / PERIOD_MS), 1, Integer::sum);
                    gateway.module.attemptEnded(
                            gateway.now,
                            new AttemptResult(
                                    s.id(), 0, s.host(), Outcome.OK, STEP_MS, true, usedPct, 0, new double[0]));
                }
            }
        }
    }

    /** Units sent on in so many seconds while each named gateway is asked for as much as the whole quota. */
    private int sentUnderLoad(int seconds, int... loadedGateways) {
        int before = ended.size();
        double perStep = WIDE.rate() * STEP_MS / 1000;
        double due = 0;
        for (double end = now() + seconds * 1000; now() < end; advanceOneStep()) {
            for (due += perStep; due >= 1; due--) {
                for (int gateway : loadedGateways) {
                    request(gateway, WIDE);
                }
            }
        }
        return ended.size() - before;
    }

    /** All gateways of a set raise their parts on the same word, and each answer repeats that word. */
    @Test
    void sharesRaisedByTheMeterSumToAboutTheQuota() {
        sentUnderLoad(5, 0, 1, 2, 3); // the burst is gone, and the parts have settled
        double over = sentUnderLoad(30, 0, 1, 2, 3) / (30 * WIDE.rate());
        assertTrue(over >= 0.9 && over <= 1.1, "sent on " + over + " of the quota");
    }

    @Test
    void shareFollowsTheTrafficToAnotherGateway() {
        sentUnderLoad(6, 0);
        sentUnderLoad(4, 2);
        double moved = sentUnderLoad(10, 2) / (10 * WIDE.rate());
        assertTrue(moved >= 0.85 && moved <= 1.1, "sent on " + moved + " of the quota");
    }

    /** A client that comes back when it was told to must find what it was told of. */
    @Test
    void retryAfterOfARefusalCoversTheRefillOfTheOwnBucket() {
        GatewayHarness gateway = all.get(0);
        while (gateway.refused.isEmpty()) {
            request(0, WIDE);
        }
        String[] words = gateway.log.get(gateway.log.size() - 1).split(" ");
        assertTrue(words[1].equals("refuse") && Double.parseDouble(words[3]) > 0, String.join(" ", words));
        gateway.sent.forEach(s -> gateway.endAttempt(s.id(), 0, Outcome.OK, STEP_MS));
        int before = gateway.sent.size();
        gateway.advance(Double.parseDouble(words[3]));
        request(0, WIDE);
        assertTrue(gateway.sent.size() > before, "refused again after " + words[3] + " ms");
    }
}
