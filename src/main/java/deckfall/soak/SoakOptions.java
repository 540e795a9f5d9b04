package deckfall.soak;

/**
 * One run: its seed, how many gateways, the seconds of load, the system calls that fail ({@code drawn} from the seed,
 * {@code none}, or a plan in the library's form for every process), and whether a crowd of idle clients comes.
 */
record SoakOptions(long seed, int gateways, int seconds, String faults, boolean crowd, boolean processEvents) {
    static final String DRAWN = "drawn";
    static final String NONE = "none";
}
