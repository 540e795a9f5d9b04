package deckfall.net;

/**
 * How many connections from clients the processes of one gateway may hold together, of all their descriptors. Up to the
 * usual number they are kept between requests. Above it idle ones are shed and the others end with their next answer, so
 * that a new connection, which the system has accepted, still gets its answer, of the descriptors that hosts leave.
 */
final class ClientLimits {
    static final int SHARE = 3; // clients may usually hold one descriptor in so many

    private final int usual;
    private final int shared; // by clients and hosts

    ClientLimits(int sockets) {
        usual = usual(sockets);
        shared = sockets - HostClient.reserve(sockets);
    }

    /** The most connections from clients that are kept between requests, where there are so many descriptors. */
    static int usual(int sockets) {
        return sockets / SHARE;
    }

    int usual() {
        return usual;
    }

    /** The most connections from clients while hosts hold so many. */
    int most(int hosts) {
        return Math.max(usual, shared - hosts);
    }

    /** The most connections to hosts while clients hold so many. */
    int mostHosts(int clients) {
        return shared - Math.max(usual, clients);
    }
}
