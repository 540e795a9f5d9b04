package deckfall.scale;

import java.util.function.Consumer;

/**
 * Simulates the clients and how the load balancer spreads their requests: the requests of each customer arrive at
 * random at its rate and go to the gateways of its set unevenly, by weights that change every few seconds. Some of the
 * refused requests are retried.
 */
final class SimulatedClients {
    private static final double WEIGHT_LOG_DEVIATION = 0.9; // standard deviation of the logarithm of a gateway's weight
    private static final double MIN_WEIGHTS_DURATION_MS = 5000; // how long the weights of a set hold
    private static final double MAX_WEIGHTS_DURATION_MS = 25_000;
    private static final double MIN_SPIKE_RATE_FACTOR = 2; // times the rate of the plan
    private static final double MAX_SPIKE_RATE_FACTOR = 8;
    private static final double MIN_SPIKE_DURATION_MS = 500;
    private static final double MAX_SPIKE_DURATION_MS = 5000;
    private static final double MIN_CALM_DURATION_MS = 10_000; // between spikes
    private static final double MAX_CALM_DURATION_MS = 25_000;
    private static final double INITIAL_BACKOFF_MS = 200; // before the first retry; doubles with each retry
    private static final double OTHER_GATEWAY_SHARE = 0.5; // of the retries
    private static final double MIN_BACKOFF_JITTER = 0.5; // times the backoff
    private static final double MAX_BACKOFF_JITTER = 1.5;
    static final int MAX_RETRIES = 3;

    // Indexes of a request's random numbers; the retry number is added, so that each retry has its own.
    private static final int BACKOFF_DRAW = 8;
    private static final int GATEWAY_DRAW = 16;

    private final EventQueue queue;
    private final SimulationOptions options;
    private final Customers customers;
    private final Consumer<ClientRequest> requestConsumer;
    private final double meanUnitsPerRequest;
    private final long[] drawCounts;
    private final int[] requestCounts;
    private final double[] requestsPerMs;
    private final double[] phaseEndMs;
    private final boolean[] inSpike;
    private final double[] weightsEndMs;
    private final float[] cumulativeWeights; // for each gateway of each customer's set
    private double endMs = Double.POSITIVE_INFINITY;

    SimulatedClients(
            EventQueue queue, SimulationOptions options, Customers customers, Consumer<ClientRequest> requestConsumer) {
        this.queue = queue;
        this.options = options;
        this.customers = customers;
        this.requestConsumer = requestConsumer;
        int count = customers.count();
        meanUnitsPerRequest = (1 + options.maxUnits) / 2.0;
        drawCounts = new long[count];
        requestCounts = new int[count];
        requestsPerMs = new double[count];
        phaseEndMs = new double[count];
        inSpike = new boolean[count];
        weightsEndMs = new double[count];
        cumulativeWeights = new float[count * customers.spread()];
    }

    /** Starts to generate requests, until the given time. */
    void start(double untilMs) {
        endMs = untilMs;
        for (int customer = 0; customer < customers.count(); customer++) {
            requestsPerMs[customer] = customers.baseUnitsPerSecond(customer) / meanUnitsPerRequest / 1000;
            phaseEndMs[customer] = customers.isSpiky(customer)
                    ? queue.now() + draw(customer) * MAX_CALM_DURATION_MS
                    : Double.POSITIVE_INFINITY;
            scheduleNext(customer);
        }
    }

    private double draw(int customer) {
        return HashRandom.uniform(HashRandom.mix(options.seed, customer), drawCounts[customer]++);
    }

    private double draw(int customer, double from, double to) {
        return from + (to - from) * draw(customer);
    }

    /**
     * Schedules the customer's next request: at the time when its rate, integrated over the phases until then, reaches
     * an exponentially distributed number.
     */
    private void scheduleNext(int customer) {
        double remaining = -Math.log(1 - draw(customer));
        double atMs = queue.now();
        while (remaining > requestsPerMs[customer] * (phaseEndMs[customer] - atMs)) {
            remaining -= requestsPerMs[customer] * Math.max(0, phaseEndMs[customer] - atMs);
            atMs = Math.max(atMs, phaseEndMs[customer]);
            startNextPhase(customer);
        }
        atMs += remaining / requestsPerMs[customer];
        if (atMs < endMs) {
            queue.scheduleAt(atMs, () -> arrive(customer));
        }
    }

    /** Switches a customer between its base load and a spike. */
    private void startNextPhase(int customer) {
        inSpike[customer] = !inSpike[customer];
        double planRate = customers.plan(customer).rate() / meanUnitsPerRequest / 1000;
        requestsPerMs[customer] = inSpike[customer]
                ? planRate * draw(customer, MIN_SPIKE_RATE_FACTOR, MAX_SPIKE_RATE_FACTOR)
                : customers.baseUnitsPerSecond(customer) / meanUnitsPerRequest / 1000;
        phaseEndMs[customer] += inSpike[customer]
                ? draw(customer, MIN_SPIKE_DURATION_MS, MAX_SPIKE_DURATION_MS)
                : draw(customer, MIN_CALM_DURATION_MS, MAX_CALM_DURATION_MS);
    }

    private void arrive(int customer) {
        int units = options.maxUnits == 1 ? 1 : 1 + (int) (draw(customer) * options.maxUnits);
        double popularityDraw = draw(customer);
        int requestClass = (int) (popularityDraw * popularityDraw * options.classes);
        int gateway = chooseGateway(customer);
        long number = ((long) customer << 32) + (requestCounts[customer]++ << 2);
        send(number, customer, units, requestClass, 0, gateway);
        scheduleNext(customer);
    }

    private void send(long number, int customer, int units, int requestClass, int retryNumber, int gateway) {
        double nowMs = queue.now();
        ClientRequest request = new ClientRequest(
                number,
                customer,
                units,
                requestClass,
                retryNumber,
                nowMs,
                nowMs + options.deadlineMs,
                nowMs >= options.measuredFromMs());
        request.gateway = gateway;
        requestConsumer.accept(request);
    }

    /** Chooses a gateway of the customer's set at random by the current weights. */
    private int chooseGateway(int customer) {
        int spread = customers.spread();
        if (queue.now() >= weightsEndMs[customer]) {
            weightsEndMs[customer] = queue.now() + draw(customer, MIN_WEIGHTS_DURATION_MS, MAX_WEIGHTS_DURATION_MS);
            double weightSum = 0;
            for (int i = 0; i < spread; i++) {
                double normal =
                        2 * (draw(customer) + draw(customer) + draw(customer)) - 3; // approximately standard normal
                weightSum += Math.exp(WEIGHT_LOG_DEVIATION * normal);
                cumulativeWeights[customer * spread + i] = (float) weightSum;
            }
        }
        double drawnWeight = draw(customer) * cumulativeWeights[customer * spread + spread - 1];
        int position = 0;
        while (position < spread - 1 && cumulativeWeights[customer * spread + position] <= drawnWeight) {
            position++;
        }
        return (customers.first(customer) + position) % options.gateways;
    }

    /**
     * Called when a request was refused or its gateway was down: some clients retry, some of these at another gateway.
     */
    void retryOrGiveUp(ClientRequest request, double retryAfterMs) {
        long seed = HashRandom.mix(options.seed, request.number);
        boolean retries = request.retryNumber < Math.min(MAX_RETRIES, options.retries)
                && HashRandom.uniform(seed, request.retryNumber) < options.retryShare;
        if (!retries) {
            return;
        }
        double backoffMs = INITIAL_BACKOFF_MS
                * (1 << request.retryNumber)
                * HashRandom.uniformBetween(
                        MIN_BACKOFF_JITTER, MAX_BACKOFF_JITTER, seed, BACKOFF_DRAW + request.retryNumber);
        double atMs = queue.now() + Math.max(backoffMs, retryAfterMs);
        if (atMs >= endMs) {
            return;
        }
        boolean otherGateway = HashRandom.uniform(seed, GATEWAY_DRAW + request.retryNumber) < OTHER_GATEWAY_SHARE;
        int position = Math.floorMod(request.gateway - customers.first(request.customer), options.gateways);
        int nextPosition = otherGateway ? (position + 1) % customers.spread() : position;
        int gateway = (customers.first(request.customer) + nextPosition) % options.gateways;
        queue.scheduleAt(
                atMs,
                () -> send(
                        request.number + 1,
                        request.customer,
                        request.units,
                        request.requestClass,
                        request.retryNumber + 1,
                        gateway));
    }
}
