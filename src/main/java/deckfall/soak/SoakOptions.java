package deckfall.soak;

/**
 * The options of one run.
 *
 * @param seed seed of the drawn fault plans, events and requests
 * @param gateways number of gateways
 * @param seconds duration of the load
 * @param faults {@link #DRAWN} from the seed, {@link #NONE}, or a fault plan that every process gets
 * @param crowd whether many idle clients connect at times
 * @param processEvents whether processes are restarted and signalled
 * @param sockets limit on open descriptors of a gateway
 */
record SoakOptions(
        long seed, int gateways, int seconds, String faults, boolean crowd, boolean processEvents, int sockets) {
    static final String DRAWN = "drawn";
    static final String NONE = "none";
    static final int DEFAULT_SOCKETS = 1024;
    static final int FEW_SOCKETS = 256;
}
