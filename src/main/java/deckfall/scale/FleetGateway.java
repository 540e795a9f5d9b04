package deckfall.scale;

import deckfall.Gateway.Outcome;

/** A gateway of the fleet with its interface to clients, servers and the load balancer: simulated or a real process. */
abstract class FleetGateway {
    final int number;
    final int zone;

    FleetGateway(int number, int zone) {
        this.number = number;
        this.zone = zone;
    }

    abstract boolean alive();

    /** Called when a client's request has arrived completely. */
    abstract void handleRequest(ClientRequest request);

    /** Called when an attempt has ended; {@code meterReading} came with its response, 0 if there was none. */
    abstract void attemptEnded(ClientRequest.Attempt attempt, Outcome outcome, int meterReading);

    /** Ends the process. */
    abstract void terminate();

    /** The time spent in the decision module, in nanoseconds; 0 where that is not measured. */
    abstract long decisionNanos();
}
