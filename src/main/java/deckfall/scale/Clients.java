package deckfall.scale;

import java.util.function.Consumer;

/**
 * Stands in for the clients and the front: each customer's requests come by chance at its rate, are dealt out
 * unevenly over its set by weights that shift every few seconds, and some of what is refused comes again.
 */
final class Clients {
    private static final double SKEW = 0.9; // of the weights over a set
    private static final double SHIFT_FROM_MS = 5000; // for which the weights stay
    private static final double SHIFT_TO_MS = 25_000;
    private static final double SPIKE_LEAST = 2; // times the rate
    private static final double SPIKE_MOST = 8;
    private static final double SPIKE_FROM_MS = 500;
    private static final double SPIKE_TO_MS = 5000;
    private static final double CALM_FROM_MS = 10_000; // between spikes
    private static final double CALM_TO_MS = 25_000;
    private static final double BACK_OFF_MS = 200; // before a first further try; doubles
    private static final double ELSEWHERE = 0.5; // of the further tries
    static final int MOST_EARLIER = 3;

    private final EventQueue queue;
    private final HollowOptions options;
    private final Customers customers;
    private final Consumer<ClientRequest> front;
    private final double meanUnits;
    private final long[] draws;
    private final int[] tries;
    private final double[] rate; // tries a millisecond
    private final double[] phaseEnd;
    private final boolean[] spike;
    private final double[] shiftAt;
    private final float[] weights; // of each customer's set, summed up
    private double endMs = Double.POSITIVE_INFINITY;

    Clients(EventQueue queue, HollowOptions options, Customers customers, Consumer<ClientRequest> front) {
        this.queue = queue;
        this.options = options;
        this.customers = customers;
        this.front = front;
        int count = customers.count();
        meanUnits = (1 + options.maxUnits) / 2.0;
        draws = new long[count];
        tries = new int[count];
        rate = new double[count];
        phaseEnd = new double[count];
        spike = new boolean[count];
        shiftAt = new double[count];
        weights = new float[count * customers.spread()];
    }

    /** Requests come from now on, up to a time. */
    void start(double until) {
        endMs = until;
        for (int c = 0; c < customers.count(); c++) {
            rate[c] = customers.baseUnitsPerSecond(c) / meanUnits / 1000;
            phaseEnd[c] = customers.isSpiky(c) ? queue.now() + draw(c) * CALM_TO_MS : Double.POSITIVE_INFINITY;
            next(c);
        }
    }

    private double draw(int c) {
        return HashRandom.uniform(HashRandom.mix(options.seed, c), draws[c]++);
    }

    private double draw(int c, double from, double to) {
        return from + (to - from) * draw(c);
    }

    /** The time by which the rates of the phases on the way add up to a drawn number. */
    private void next(int c) {
        double due = -Math.log(1 - draw(c));
        double at = queue.now();
        while (due > rate[c] * (phaseEnd[c] - at)) {
            due -= rate[c] * Math.max(0, phaseEnd[c] - at);
            at = Math.max(at, phaseEnd[c]);
            turn(c);
        }
        at += due / rate[c];
        if (at < endMs) {
            queue.scheduleAt(at, () -> arrive(c));
        }
    }

    private void turn(int c) {
        spike[c] = !spike[c];
        double planned = customers.plan(c).rate() / meanUnits / 1000;
        rate[c] = spike[c]
                ? planned * draw(c, SPIKE_LEAST, SPIKE_MOST)
                : customers.baseUnitsPerSecond(c) / meanUnits / 1000;
        phaseEnd[c] += spike[c] ? draw(c, SPIKE_FROM_MS, SPIKE_TO_MS) : draw(c, CALM_FROM_MS, CALM_TO_MS);
    }

    private void arrive(int c) {
        int units = options.maxUnits == 1 ? 1 : 1 + (int) (draw(c) * options.maxUnits);
        double popular = draw(c);
        int requestClass = (int) (popular * popular * options.classes);
        int gateway = gatewayOf(c);
        long number = ((long) c << 32) + (tries[c]++ << 2);
        send(number, c, units, requestClass, 0, gateway);
        next(c);
    }

    private void send(long number, int customer, int units, int requestClass, int earlier, int gateway) {
        double now = queue.now();
        ClientRequest t = new ClientRequest(
                number,
                customer,
                units,
                requestClass,
                earlier,
                now,
                now + options.deadlineMs,
                now >= options.warmUpMs());
        t.gateway = gateway;
        front.accept(t);
    }

    private int gatewayOf(int c) {
        int spread = customers.spread();
        if (queue.now() >= shiftAt[c]) {
            shiftAt[c] = queue.now() + draw(c, SHIFT_FROM_MS, SHIFT_TO_MS);
            double sum = 0;
            for (int i = 0; i < spread; i++) {
                double normal = 2 * (draw(c) + draw(c) + draw(c)) - 3; // nearly, with a deviation of 1
                sum += Math.exp(SKEW * normal);
                weights[c * spread + i] = (float) sum;
            }
        }
        double drawn = draw(c) * weights[c * spread + spread - 1];
        int place = 0;
        while (place < spread - 1 && weights[c * spread + place] <= drawn) {
            place++;
        }
        return (customers.first(c) + place) % options.gateways;
    }

    /** A try was refused, or its gateway was not there: some clients come again, some of these elsewhere. */
    void again(ClientRequest t, double retryAfterMs) {
        long seed = HashRandom.mix(options.seed, t.number);
        boolean comes = t.retryNumber < Math.min(MOST_EARLIER, options.retries)
                && HashRandom.uniform(seed, t.retryNumber) < options.retryShare;
        if (!comes) {
            return;
        }
        double backOff =
                BACK_OFF_MS * (1 << t.retryNumber) * HashRandom.uniformBetween(0.5, 1.5, seed, 8 + t.retryNumber);
        double at = queue.now() + Math.max(backOff, retryAfterMs);
        if (at >= endMs) {
            return;
        }
        boolean elsewhere = HashRandom.uniform(seed, 16 + t.retryNumber) < ELSEWHERE;
        int place = Math.floorMod(t.gateway - customers.first(t.customer), options.gateways);
        int moved = elsewhere ? (place + 1) % customers.spread() : place;
        int gateway = (customers.first(t.customer) + moved) % options.gateways;
        queue.scheduleAt(at, () -> send(t.number + 1, t.customer, t.units, t.requestClass, t.retryNumber + 1, gateway));
    }
}
