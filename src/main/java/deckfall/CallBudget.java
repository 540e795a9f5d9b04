package deckfall;

/**
 * How many calls this gateway may make to a counter that all gateways share, and what a call has to save.
 * What it bears is told nowhere: the rate grows while answers come in time, and is cut by a factor as they
 * come late, are turned away or don't come: so all drift to their share. The price rises with each call and
 * falls with time, so that within the rate the calls are made that save most.
 */
final class CallBudget {
    private static final double FLEET_START_RATE = 400; // calls a second at first, by all gateways
    private static final double MIN_RATE = 0.5; // a call now and then shows that it is back
    private static final double SLOW_START_GROWTH = 0.7; // a second, until the first late answer
    private static final double GROWTH_SHARE = 0.2; // of the rate, gained each second
    private static final double GROWTH_STEP = 0.1; // and so many a second: small shares catch up
    private static final double RECOVERY_FACTOR = 5; // times as fast, far below what the counter bore last
    private static final double RECOVERY_THRESHOLD = 0.6;
    private static final double MAX_CUT_SHARE = 0.15; // by an answer as late as its time-out, less in proportion
    private static final double TIMELY_SHARE = 0.35; // of the time-out: later than that calls wait in line
    private static final double CONGESTED_LATENESS = 0.5; // of the way from there to the time-out
    private static final int MIN_TIMELY_ANSWERS = 3; // answers in time after which the counter bears the rate
    private static final double PRICE_STEP = 0.5; // growth with a call
    private static final double START_PRICE = 50; // calls' own prices
    private static final double MIN_PRICE_SHARE = 0.001; // of the mean worth: a price of nothing could never rise
    private static final double MAX_SAVED_MS = 500; // time's worth of calls that may be made at once
    private static final double ALLOWED_SHARE_GAIN = 0.05; // weight of one wish in the share that is granted

    private final double timeoutMs;
    private double rate;
    private double sustainedRate; // the rate at which answers last came in time
    private double savedCalls;
    private double allowedShare = 1;
    private double price;
    private double minPrice;
    private double savedCallsAt;
    private double pricedAt;
    private double answeredAt;
    private int timelyAnswers;
    private boolean inSlowStart = true;

    CallBudget(double now, double timeoutMs, int gateways) {
        this.rate = this.sustainedRate = Math.max(MIN_RATE, FLEET_START_RATE / gateways);
        this.savedCalls = maxSavedCalls();
        this.timeoutMs = timeoutMs;
        this.savedCallsAt = this.pricedAt = this.answeredAt = now;
    }

    /** No call may save less than what the deployment charges for one, or else a trifle. */
    void updateMinPrice(double callPrice, double meanWorth) {
        double newMinPrice = Math.max(callPrice, MIN_PRICE_SHARE) * meanWorth;
        if (minPrice == 0) price = START_PRICE * newMinPrice;
        minPrice = newMinPrice;
    }

    double price(double now) {
        return Math.max(minPrice, price * Math.exp(-Math.log1p(PRICE_STEP) * rate * (now - pricedAt) / 1000));
    }

    /** Whether a call may be made now; one that may not raises the price as well. */
    boolean allowsCall(double now) {
        boolean allowed = hasSavedCall(now);
        allowedShare += ALLOWED_SHARE_GAIN * ((allowed ? 1 : 0) - allowedShare);
        if (!allowed) raisePrice(now);
        return allowed;
    }

    /** The share of wished calls that have been granted of late. */
    double allowedShare() {
        return Math.max(ALLOWED_SHARE_GAIN, allowedShare);
    }

    boolean hasSavedCall(double now) {
        savedCalls = Math.min(maxSavedCalls(), savedCalls + rate * (now - savedCallsAt) / 1000);
        savedCallsAt = now;
        return savedCalls >= 1;
    }

    void recordCall(double now) {
        hasSavedCall(now);
        savedCalls--;
        raisePrice(now);
    }

    private double maxSavedCalls() {
        return 1 + rate * MAX_SAVED_MS / 1000;
    }

    private void raisePrice(double now) {
        price = price(now) * (1 + PRICE_STEP);
        pricedAt = now;
    }

    void recordAnswer(double now, double latencyMs, boolean succeeded) {
        double lateness = succeeded ? Math.min(1, (latencyMs / timeoutMs - TIMELY_SHARE) / (1 - TIMELY_SHARE)) : 1;
        double seconds = Math.min(1, (now - answeredAt) / 1000);
        answeredAt = now;
        if (lateness <= 0) {
            timelyAnswers++;
            double recovery = rate < RECOVERY_THRESHOLD * sustainedRate ? RECOVERY_FACTOR : 1;
            double growth = inSlowStart ? SLOW_START_GROWTH * rate : GROWTH_STEP + GROWTH_SHARE * rate * recovery;
            if (price(now) > minPrice) rate += seconds * growth; // an answer to few calls says nothing of more
            return;
        }
        if (timelyAnswers >= MIN_TIMELY_ANSWERS) sustainedRate = rate;
        rate = Math.max(MIN_RATE, rate * (1 - MAX_CUT_SHARE * lateness));
        if (lateness < CONGESTED_LATENESS) return;
        timelyAnswers = 0;
        inSlowStart = false;
    }
}
