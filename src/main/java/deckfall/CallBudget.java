package deckfall;

/**
 * How many calls this gateway may make to a counter that all gateways share, and what a call has to save.
 * What it bears is told nowhere: the rate grows while answers come in time, and is cut by a factor as they
 * come late, are turned away or don't come: so all drift to their share. The price rises with each call and
 * falls with time, so that within the rate the calls are made that save most.
 */
final class CallBudget {
    private static final double FLEET_START = 400; // calls a second at first, by all gateways
    private static final double RATE_MIN = 0.5; // a call now and then shows that it is back
    private static final double START_GROWTH = 0.7; // a second, until the first late answer
    private static final double GROWTH = 0.2; // of the rate, gained each second
    private static final double GROWTH_STEP = 0.1; // and so many a second: small shares catch up
    private static final double RECOVERY = 5; // times as fast, far below what the counter bore last
    private static final double FAR_BELOW = 0.6;
    private static final double CUT = 0.15; // by an answer as late as its time-out, less in proportion
    private static final double IN_TIME = 0.35; // of the time-out: later than that calls wait in line
    private static final double CROWDED = 0.5; // of the way from there to the time-out
    private static final int STEADY = 3; // answers in time after which the counter bears the rate
    private static final double PRICE_STEP = 0.5; // growth with a call
    private static final double START_PRICE = 50; // calls' own prices
    private static final double TRIFLE = 0.001; // of the mean worth: a price of nothing could never rise
    private static final double HOARD_MS = 500; // time's worth of calls that may be made at once
    private static final double GRANTED_GAIN = 0.05; // weight of one wish in the share that is granted

    private final double timeoutMs;
    private double rate;
    private double borne; // the rate at which answers last came in time
    private double calls;
    private double granted = 1;
    private double price;
    private double least;
    private double calledAt;
    private double pricedAt;
    private double answeredAt;
    private int inTime;
    private boolean starting = true;

    CallBudget(double now, double timeoutMs, int gateways) {
        this.rate = this.borne = Math.max(RATE_MIN, FLEET_START / gateways);
        this.calls = most();
        this.timeoutMs = timeoutMs;
        this.calledAt = this.pricedAt = this.answeredAt = now;
    }

    /** No call may save less than what the deployment charges for one, or else a trifle. */
    void leastPrice(double charge, double meanWorth) {
        double lowest = Math.max(charge, TRIFLE) * meanWorth;
        if (least == 0) price = START_PRICE * lowest;
        least = lowest;
    }

    double price(double now) {
        return Math.max(least, price * Math.exp(-Math.log1p(PRICE_STEP) * rate * (now - pricedAt) / 1000));
    }

    /** Whether a call may be made now; one that may not raises the price as well. */
    boolean grants(double now) {
        boolean may = has(now);
        granted += GRANTED_GAIN * ((may ? 1 : 0) - granted);
        if (!may) raise(now);
        return may;
    }

    /** The share of wished calls that have been granted of late. */
    double granted() {
        return Math.max(GRANTED_GAIN, granted);
    }

    boolean has(double now) {
        calls = Math.min(most(), calls + rate * (now - calledAt) / 1000);
        calledAt = now;
        return calls >= 1;
    }

    void spend(double now) {
        has(now);
        calls--;
        raise(now);
    }

    private double most() {
        return 1 + rate * HOARD_MS / 1000;
    }

    private void raise(double now) {
        price = price(now) * (1 + PRICE_STEP);
        pricedAt = now;
    }

    void answered(double now, double tookMs, boolean told) {
        double late = told ? Math.min(1, (tookMs / timeoutMs - IN_TIME) / (1 - IN_TIME)) : 1;
        double seconds = Math.min(1, (now - answeredAt) / 1000);
        answeredAt = now;
        if (late <= 0) {
            inTime++;
            double recovery = rate < FAR_BELOW * borne ? RECOVERY : 1;
            double growth = starting ? START_GROWTH * rate : GROWTH_STEP + GROWTH * rate * recovery;
            if (price(now) > least) rate += seconds * growth; // an answer to few calls says nothing of more
            return;
        }
        if (inTime >= STEADY) borne = rate;
        rate = Math.max(RATE_MIN, rate * (1 - CUT * late));
        if (late < CROWDED) return;
        inTime = 0;
        starting = false;
    }
}
