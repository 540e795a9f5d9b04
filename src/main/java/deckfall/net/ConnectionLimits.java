package deckfall.net;

/**
 * How many connections the processes of one gateway may hold together, given their descriptors. Up to the keep-alive
 * limit, client connections stay open between requests. Above it, idle ones are shed and the others are closed with
 * their next response. A new connection, which the system has already accepted, is then still served, with a descriptor
 * that hosts leave unused.
 */
final class ConnectionLimits {
    static final int DESCRIPTORS_PER_KEPT_CLIENT = 3; // one descriptor in this many may hold a kept-alive client

    private final int maxKeepAlive;
    private final int sharedDescriptors; // available to clients and hosts together

    ConnectionLimits(int sockets) {
        maxKeepAlive = maxKeepAlive(sockets);
        sharedDescriptors = sockets - HostClient.reservedDescriptors(sockets);
    }

    /** The maximum number of client connections that are kept alive between requests, given this many descriptors. */
    static int maxKeepAlive(int sockets) {
        return sockets / DESCRIPTORS_PER_KEPT_CLIENT;
    }

    int maxKeepAlive() {
        return maxKeepAlive;
    }

    /** The maximum number of client connections while this many connections to hosts are open. */
    int maxClients(int hostConnections) {
        return Math.max(maxKeepAlive, sharedDescriptors - hostConnections);
    }

    /** The maximum number of connections to hosts while this many client connections are open. */
    int maxHosts(int clientConnections) {
        return sharedDescriptors - Math.max(maxKeepAlive, clientConnections);
    }
}
