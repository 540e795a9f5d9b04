package deckfall.scale;

import deckfall.Gateway.Plan;
import java.util.ArrayList;
import java.util.List;

/**
 * Who asks, under which plan, of which gateways and how much: most customers use a part of their quota, some nearly
 * all, some ask far more for seconds at a time and a few all day. How many have a dear plan follows from the load
 * that is wanted in all; where no mix of plans gives it, the plans' rates are scaled.
 */
final class Customers {
    /** The mean of the shares below, by which the mix of plans is found. */
    private static final double MEAN_SHARE = 0.8;

    private static final double FULL = 0.2; // shares of the customers
    private static final double HEAVY = 0.08;
    private static final double SPIKY = 0.17;
    private static final double SPIKY_SHARE = 0.3; // of the rate, between spikes
    private static final double TILT_MOST = 16;
    private static final int BISECTIONS = 60;

    /** What a customer asks for, as share of its rate. */
    enum Kind {
        CALM(0.15, 0.5),
        FULL(0.9, 1),
        HEAVY(2.3, 4),
        SPIKY(SPIKY_SHARE, SPIKY_SHARE);

        private final double least;
        private final double most;

        Kind(double least, double most) {
            this.least = least;
            this.most = most;
        }
    }

    private static final List<Plan> PLANS = List.of(
            plan("free", 0.8, 4.5, 0.5, 1.2), plan("team", 1.5, 4.8, 0.8, 0.8),
            plan("firm", 5, 2, 1.2, 0.8), plan("group", 12, 2, 1.6, 1.2));

    private final List<Plan> plans = new ArrayList<>();
    private final byte[] planOf;
    private final Kind[] kindOf;
    private final double[] asked; // units a second, spikes apart
    private final int[] first;
    private final int spread;

    private static Plan plan(String name, double rate, double burstSeconds, double price, double overCost) {
        return new Plan(name, rate, rate * burstSeconds, 0, price, 0, overCost, 0, 0, 0);
    }

    Customers(HollowOptions o) {
        int count = o.tenants;
        spread = Math.min(o.spread, o.gateways);
        double wantedRate = o.requestsPerSecond * (1 + o.maxUnits) / 2.0 / count / MEAN_SHARE;
        double tilt = tilt(wantedRate);
        double scale = Math.abs(tilt) < TILT_MOST ? 1 : wantedRate / meanRate(tilt);
        for (Plan p : PLANS) {
            plans.add(new Plan(
                    p.name(),
                    p.rate() * scale,
                    p.burst() * scale,
                    o.openLimit,
                    p.valueFactor(),
                    p.excessWorth(),
                    p.excessCost(),
                    0,
                    0,
                    0));
        }
        planOf = new byte[count];
        kindOf = new Kind[count];
        asked = new double[count];
        first = new int[count];
        for (int c = 0; c < count; c++) {
            long seed = HashRandom.mix(o.seed, c);
            planOf[c] = (byte) drawPlan(tilt, HashRandom.uniform(seed, -1));
            kindOf[c] = drawKind(HashRandom.uniform(seed, -2));
            first[c] = (int) (HashRandom.uniform(seed, -3) * o.gateways);
            asked[c] = plan(c).rate() * HashRandom.uniformBetween(kindOf[c].least, kindOf[c].most, seed, -4);
        }
    }

    private static double weight(Plan p, double tilt) {
        return Math.pow(p.rate(), tilt);
    }

    private static double meanRate(double tilt) {
        double sum = PLANS.stream().mapToDouble(p -> weight(p, tilt)).sum();
        return PLANS.stream().mapToDouble(p -> weight(p, tilt) * p.rate()).sum() / sum;
    }

    private static double tilt(double wantedRate) {
        double low = -TILT_MOST;
        double high = TILT_MOST;
        if (meanRate(low) >= wantedRate || meanRate(high) <= wantedRate) {
            return meanRate(low) >= wantedRate ? low : high;
        }
        for (int i = 0; i < BISECTIONS; i++) {
            double middle = (low + high) / 2;
            boolean above = meanRate(middle) > wantedRate;
            low = above ? low : middle;
            high = above ? middle : high;
        }
        return low;
    }

    private static int drawPlan(double tilt, double drawn) {
        double left = drawn * PLANS.stream().mapToDouble(p -> weight(p, tilt)).sum();
        int plan = 0;
        while (plan < PLANS.size() - 1 && left >= weight(PLANS.get(plan), tilt)) {
            left -= weight(PLANS.get(plan++), tilt);
        }
        return plan;
    }

    private static Kind drawKind(double drawn) {
        if (drawn < FULL) {
            return Kind.FULL;
        }
        if (drawn < FULL + HEAVY) {
            return Kind.HEAVY;
        }
        return drawn < FULL + HEAVY + SPIKY ? Kind.SPIKY : Kind.CALM;
    }

    int count() {
        return planOf.length;
    }

    List<Plan> plans() {
        return plans;
    }

    /** The plans as gateways are told of them where another decides on quotas. */
    List<Plan> plansWithoutQuotas() {
        return plans.stream()
                .map(p -> new Plan(p.name(), 0, 0, 0, p.valueFactor(), p.excessWorth(), p.excessCost(), 0, 0, 0))
                .toList();
    }

    Plan plan(int customer) {
        return plans.get(planOf[customer]);
    }

    /** The number that gateways know it by. */
    long idOf(int customer) {
        return HashRandom.mix(customer, 2) & 0x1FFFFFFFFL;
    }

    boolean spiky(int customer) {
        return kindOf[customer] == Kind.SPIKY;
    }

    double asked(int customer) {
        return asked[customer];
    }

    int first(int customer) {
        return first[customer];
    }

    int spread() {
        return spread;
    }
}
