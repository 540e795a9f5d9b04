package deckfall.scale;

import java.util.ArrayList;
import java.util.List;

/** One request of a client at one gateway, and the attempts that the gateway makes of it. */
final class Try {
    final long number;
    final String id;
    final int customer;
    final int units;
    final int requestClass;
    final int earlier; // tries of the same client before
    final double arrivedMs;
    final double deadlineMs;
    final boolean measured; // came after the warm-up
    final List<Attempt> attempts = new ArrayList<>(1);
    int gateway;
    boolean left; // its first attempt was sent
    boolean counted; // its first attempt came to a seat server: it has taken its units
    boolean closed;

    Try(
            long number,
            int customer,
            int units,
            int requestClass,
            int earlier,
            double arrivedMs,
            double deadlineMs,
            boolean measured) {
        this.number = number;
        this.id = "t" + Long.toHexString(number);
        this.customer = customer;
        this.units = units;
        this.requestClass = requestClass;
        this.earlier = earlier;
        this.arrivedMs = arrivedMs;
        this.deadlineMs = deadlineMs;
        this.measured = measured;
    }

    boolean undecided() {
        return !closed && !left;
    }

    boolean anyOut() {
        for (Attempt a : attempts) {
            if (!a.ended) {
                return true;
            }
        }
        return false;
    }

    /** A copy of it at one seat server. */
    static final class Attempt {
        final FleetGateway gateway;
        final Try of;
        final int number;
        final String host;
        final double sentAt;
        boolean ended;

        Attempt(FleetGateway gateway, Try of, String host, double sentAt) {
            this.gateway = gateway;
            this.of = of;
            this.number = of.attempts.size();
            this.host = host;
            this.sentAt = sentAt;
        }
    }
}
