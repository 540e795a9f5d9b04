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
    private static final double LATE_MS = 800;
    private static final Plan WIDE = new Plan("wide", 20, 20, 0, 1, 0, 1, 0, 0, 0);

    private final List<GatewayHarness> all = new ArrayList<>();
    private final TreeMap<Integer, Integer> usedIn = new TreeMap<>(); // by number of the metered period
    private final Set<String> ended = new HashSet<>();
    private int serial;

    @BeforeEach
    void gateways() {
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

    private void ask(int gateway, Plan plan) {
        all.get(gateway).request("q" + serial++, "read", plan.name(), 42, 1, GATEWAYS);
    }

    /** Lets a step pass: what was sent in it is metered, and answered with the last total that is known. */
    private void step() {
        int known = (int) Math.floor((now() - LATE_MS) / PERIOD_MS) - 1;
        int usedPct = known < 0 ? 0 : 1 + (int) (100 * usedIn.getOrDefault(known, 0) / WIDE.rate());
        for (GatewayHarness g : all) {
            g.advance(STEP_MS);
            for (GatewayHarness.SentAttempt s : List.copyOf(g.sent)) {
                if (ended.add(g.hashCode() + s.id())) {
                    usedIn.merge((int) (s.atMs() / PERIOD_MS), 1, Integer::sum);
                    g.module.attemptEnded(
                            g.now,
                            new AttemptResult(
                                    s.id(), 0, s.host(), Outcome.OK, STEP_MS, true, usedPct, 0, new double[0]));
                }
            }
        }
    }

    /** Units sent on in so many seconds while each named gateway is asked for as much as the whole quota. */
    private int flood(int seconds, int... at) {
        int before = ended.size();
        double perStep = WIDE.rate() * STEP_MS / 1000;
        double due = 0;
        for (double end = now() + seconds * 1000; now() < end; step()) {
            for (due += perStep; due >= 1; due--) {
                for (int g : at) {
                    ask(g, WIDE);
                }
            }
        }
        return ended.size() - before;
    }

    /** All gateways of a set raise their parts on the same word, and each answer repeats that word. */
    @Test
    void partsRaisedByTheMeterStayNearOneInAll() {
        flood(5, 0, 1, 2, 3); // the burst is gone, and the parts have settled
        double over = flood(30, 0, 1, 2, 3) / (30 * WIDE.rate());
        assertTrue(over >= 0.9 && over <= 1.1, "sent on " + over + " of the quota");
    }

    @Test
    void aPartFollowsTheTrafficToAnotherGateway() {
        flood(6, 0);
        flood(4, 2);
        double moved = flood(10, 2) / (10 * WIDE.rate());
        assertTrue(moved >= 0.85 && moved <= 1.1, "sent on " + moved + " of the quota");
    }

    /** A client that comes back when it was told to must find what it was told of. */
    @Test
    void aRefusalTellsWhenTheOwnBucketWillHaveFilled() {
        GatewayHarness g = all.get(0);
        while (g.refused.isEmpty()) {
            ask(0, WIDE);
        }
        String[] words = g.log.get(g.log.size() - 1).split(" ");
        assertTrue(words[1].equals("refuse") && Double.parseDouble(words[3]) > 0, String.join(" ", words));
        g.sent.forEach(s -> g.endAttempt(s.id(), 0, Outcome.OK, STEP_MS));
        int before = g.sent.size();
        g.advance(Double.parseDouble(words[3]));
        ask(0, WIDE);
        assertTrue(g.sent.size() > before, "refused again after " + words[3] + " ms");
    }
}
