package deckfall.net;

/**
 * How many connections from clients the processes of one gateway may hold together, of all their descriptors. Up to the
 * usual number they are kept between requests. Above it idle ones are shed and the others end with their next answer, so
 * that a new connection, which the system has accepted, still gets its answer, of the descriptors that hosts leave.
 */
final class ConnectionLimits {
    static final int DESCRIPTORS_PER_KEPT_CLIENT = 3; // clients may usually hold one descriptor in so many

    private final int maxKeepAlive;
    private final int sharedDescriptors; // by clients and hosts

    ConnectionLimits(int sockets) {
        maxKeepAlive = maxKeepAlive(sockets);
        sharedDescriptors = sockets - HostClient.reserve(sockets);
    }

    /** The most connections from clients that are kept between requests, where there are so many descriptors. */
    static int maxKeepAlive(int sockets) {
        return sockets / DESCRIPTORS_PER_KEPT_CLIENT;
    }

    int maxKeepAlive() {
        return maxKeepAlive;
    }

    /** The most connections from clients while hosts hold so many. */
    int maxClients(int hostConnections) {
        return Math.max(maxKeepAlive, sharedDescriptors - hostConnections);
    }

    /** The most connections to hosts while clients hold so many. */
    int maxHosts(int clientConnections) {
        return sharedDescriptors - Math.max(maxKeepAlive, clientConnections);
    }
}
