package deckfall.soak;

/**
 * One run: its seed, how many gateways, the seconds of load, the system calls that fail ({@code drawn} from the seed,
 * {@code none}, or a plan in the library's form for every process), whether a crowd of idle clients comes, whether
 * processes are restarted and signalled, and the descriptors of a gateway.
 */
record SoakOptions(
        long seed, int gateways, int seconds, String faults, boolean crowd, boolean processEvents, int sockets) {
    static final String DRAWN = "drawn";
    static final String NONE = "none";
    static final int DEFAULT_SOCKETS = 1024;
    static final int FEW_SOCKETS = 256;
}
