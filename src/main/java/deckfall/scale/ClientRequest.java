package deckfall.scale;

import java.util.ArrayList;
import java.util.List;

/**
 * One request of a client to one gateway, with the attempts that the gateway makes for it. A retry of the client is a
 * request of its own.
 */
final class ClientRequest {
    final long number;
    final String id;
    final int customer;
    final int units;
    final int requestClass;
    final int retryNumber; // earlier requests of the client for the same thing; 0 for the first
    final double arrivedMs;
    final double deadlineMs;
    final boolean measured; // arrived after the warm-up
    final List<Attempt> attempts = new ArrayList<>(1);
    int gateway;
    boolean dispatched; // its first attempt was sent
    boolean quotaCharged; // its first attempt arrived at a seat server: its units are taken
    boolean closed;

    ClientRequest(
            long number,
            int customer,
            int units,
            int requestClass,
            int retryNumber,
            double arrivedMs,
            double deadlineMs,
            boolean measured) {
        this.number = number;
        this.id = "t" + Long.toHexString(number);
        this.customer = customer;
        this.units = units;
        this.requestClass = requestClass;
        this.retryNumber = retryNumber;
        this.arrivedMs = arrivedMs;
        this.deadlineMs = deadlineMs;
        this.measured = measured;
    }

    boolean isUndecided() {
        return !closed && !dispatched;
    }

    boolean hasOpenAttempts() {
        for (Attempt attempt : attempts) {
            if (!attempt.ended) {
                return true;
            }
        }
        return false;
    }

    /** One attempt of a request, at one seat server. */
    static final class Attempt {
        final FleetGateway gateway;
        final ClientRequest request;
        final int number;
        final String host;
        final double sentAtMs;
        boolean ended;

        Attempt(FleetGateway gateway, ClientRequest request, String host, double sentAtMs) {
            this.gateway = gateway;
            this.request = request;
            this.number = request.attempts.size();
            this.host = host;
            this.sentAtMs = sentAtMs;
        }
    }
}
