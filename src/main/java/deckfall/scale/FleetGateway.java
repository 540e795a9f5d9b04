package deckfall.scale;

import deckfall.Gateway.Outcome;

/** A gateway of the fleet as clients, servers and the front meet it, whether it is hollow or a real process. */
abstract class FleetGateway {
    final int number;
    final int zone;

    FleetGateway(int number, int zone) {
        this.number = number;
        this.zone = zone;
    }

    abstract boolean alive();

    /** A client's request has come whole. */
    abstract void handleRequest(ClientRequest request);

    /** An attempt has ended; {@code usedPct} is what the meter told with it, 0 where it told nothing. */
    abstract void attemptEnded(ClientRequest.Attempt attempt, Outcome outcome, int meterReading);

    abstract void terminate();

    /** The time that its decision module took, where that is timed. */
    abstract long decisionNanos();
}
