package deckfall.scale;

import deckfall.Gateway.Plan;
import java.util.ArrayList;
import java.util.List;

/**
 * The customers with their plans, their sets of gateways and their load: most customers use a part of their quota, some
 * nearly all of it, some exceed it by far for seconds at a time and a few do so permanently. How many customers have an
 * expensive plan follows from the requested total load; where no mix of plans yields that load, the rates of the plans
 * are scaled.
 */
final class Customers {
    /** Mean of the load shares of all customers, from which the mix of plans is derived. */
    private static final double MEAN_LOAD_SHARE = 0.8;

    private static final double NEAR_QUOTA_CUSTOMER_SHARE = 0.2; // share of the customers, as the next two
    private static final double OVER_QUOTA_CUSTOMER_SHARE = 0.08;
    private static final double SPIKY_CUSTOMER_SHARE = 0.17;
    private static final double SPIKY_BASE_LOAD_SHARE = 0.3; // share of the plan's rate, between spikes
    private static final double MAX_RATE_EXPONENT = 16;
    private static final int BISECTION_STEPS = 60;

    // Indexes of a customer's random numbers; negative ones, since its requests use those from 0 on.
    private static final long PLAN_DRAW = -1;
    private static final long PROFILE_DRAW = -2;
    private static final long FIRST_GATEWAY_DRAW = -3;
    private static final long LOAD_DRAW = -4;

    /** The load of a customer, as a share of the rate of its plan. */
    enum LoadProfile {
        LIGHT(0.15, 0.5),
        NEAR_QUOTA(0.9, 1),
        OVER_QUOTA(2.3, 4),
        SPIKY(SPIKY_BASE_LOAD_SHARE, SPIKY_BASE_LOAD_SHARE);

        private final double minShare;
        private final double maxShare;

        LoadProfile(double minShare, double maxShare) {
            this.minShare = minShare;
            this.maxShare = maxShare;
        }
    }

    private static final List<Plan> BASE_PLANS = List.of(
            plan("free", 0.8, 4.5, 0.5, 1.2), plan("team", 1.5, 4.8, 0.8, 0.8),
            plan("firm", 5, 2, 1.2, 0.8), plan("group", 12, 2, 1.6, 1.2));

    private final List<Plan> plans = new ArrayList<>();
    private final byte[] planIndexes;
    private final LoadProfile[] profiles;
    private final double[] baseUnitsPerSecond; // without spikes
    private final int[] first;
    private final int spread;

    private static Plan plan(String name, double rate, double burstSeconds, double valueFactor, double excessCost) {
        return new Plan(name, rate, rate * burstSeconds, 0, valueFactor, 0, excessCost, 0, 0, 0);
    }

    Customers(SimulationOptions options) {
        int count = options.customers;
        spread = Math.min(options.spread, options.gateways);
        double targetRate = options.requestsPerSecond * (1 + options.maxUnits) / 2.0 / count / MEAN_LOAD_SHARE;
        double rateExponent = findRateExponent(targetRate);
        double rateFactor = Math.abs(rateExponent) < MAX_RATE_EXPONENT ? 1 : targetRate / meanRate(rateExponent);
        for (Plan plan : BASE_PLANS) {
            plans.add(new Plan(
                    plan.name(),
                    plan.rate() * rateFactor,
                    plan.burst() * rateFactor,
                    options.openLimit,
                    plan.valueFactor(),
                    plan.excessWorth(),
                    plan.excessCost(),
                    0,
                    0,
                    0));
        }
        planIndexes = new byte[count];
        profiles = new LoadProfile[count];
        baseUnitsPerSecond = new double[count];
        first = new int[count];
        for (int customer = 0; customer < count; customer++) {
            long seed = HashRandom.mix(options.seed, customer);
            planIndexes[customer] = (byte) drawPlan(rateExponent, HashRandom.uniform(seed, PLAN_DRAW));
            profiles[customer] = drawProfile(HashRandom.uniform(seed, PROFILE_DRAW));
            first[customer] = (int) (HashRandom.uniform(seed, FIRST_GATEWAY_DRAW) * options.gateways);
            baseUnitsPerSecond[customer] = plan(customer).rate()
                    * HashRandom.uniformBetween(
                            profiles[customer].minShare, profiles[customer].maxShare, seed, LOAD_DRAW);
        }
    }

    /** A plan's weight in the mix: its rate to the power of the exponent. */
    private static double weight(Plan plan, double rateExponent) {
        return Math.pow(plan.rate(), rateExponent);
    }

    private static double meanRate(double rateExponent) {
        double weightSum = BASE_PLANS.stream()
                .mapToDouble(plan -> weight(plan, rateExponent))
                .sum();
        return BASE_PLANS.stream()
                        .mapToDouble(plan -> weight(plan, rateExponent) * plan.rate())
                        .sum()
                / weightSum;
    }

    /** Finds the exponent for which the mix of plans has the wanted mean rate, by bisection. */
    private static double findRateExponent(double targetRate) {
        double low = -MAX_RATE_EXPONENT;
        double high = MAX_RATE_EXPONENT;
        if (meanRate(low) >= targetRate || meanRate(high) <= targetRate) {
            return meanRate(low) >= targetRate ? low : high;
        }
        for (int i = 0; i < BISECTION_STEPS; i++) {
            double middle = (low + high) / 2;
            boolean above = meanRate(middle) > targetRate;
            low = above ? low : middle;
            high = above ? middle : high;
        }
        return low;
    }

    private static int drawPlan(double rateExponent, double drawn) {
        double remaining = drawn
                * BASE_PLANS.stream()
                        .mapToDouble(plan -> weight(plan, rateExponent))
                        .sum();
        int index = 0;
        while (index < BASE_PLANS.size() - 1 && remaining >= weight(BASE_PLANS.get(index), rateExponent)) {
            remaining -= weight(BASE_PLANS.get(index++), rateExponent);
        }
        return index;
    }

    private static LoadProfile drawProfile(double drawn) {
        if (drawn < NEAR_QUOTA_CUSTOMER_SHARE) {
            return LoadProfile.NEAR_QUOTA;
        }
        if (drawn < NEAR_QUOTA_CUSTOMER_SHARE + OVER_QUOTA_CUSTOMER_SHARE) {
            return LoadProfile.OVER_QUOTA;
        }
        return drawn < NEAR_QUOTA_CUSTOMER_SHARE + OVER_QUOTA_CUSTOMER_SHARE + SPIKY_CUSTOMER_SHARE
                ? LoadProfile.SPIKY
                : LoadProfile.LIGHT;
    }

    int count() {
        return planIndexes.length;
    }

    List<Plan> plans() {
        return plans;
    }

    /** The plans for gateways that leave the quotas to an admission policy. */
    List<Plan> plansWithoutQuotas() {
        return plans.stream()
                .map(plan -> new Plan(
                        plan.name(), 0, 0, 0, plan.valueFactor(), plan.excessWorth(), plan.excessCost(), 0, 0, 0))
                .toList();
    }

    Plan plan(int customer) {
        return plans.get(planIndexes[customer]);
    }

    /** The id by which requests to the gateways identify a customer. */
    long customerId(int customer) {
        return HashRandom.mix(customer, 2) & 0x1FFFFFFFFL;
    }

    boolean isSpiky(int customer) {
        return profiles[customer] == LoadProfile.SPIKY;
    }

    double baseUnitsPerSecond(int customer) {
        return baseUnitsPerSecond[customer];
    }

    int first(int customer) {
        return first[customer];
    }

    int spread() {
        return spread;
    }
}
