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
    abstract void request(ClientRequest t);

    /** An attempt has ended; {@code usedPct} is what the meter told with it, 0 where it told nothing. */
    abstract void ended(ClientRequest.Attempt a, Outcome outcome, int usedPct);

    abstract void die();

    /** The time that its decision module took, where that is timed. */
    abstract long busyNanos();
}
