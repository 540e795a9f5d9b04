package deckfall.net;

/** Why a client connection was closed. The tally in the log counts closes by these names. */
enum CloseReason {
    /** The client closed it. */
    CLIENT,
    /** The connection broke: it was reset, or the client was unreachable for too long. */
    BROKEN,
    /** Closed after its last response. */
    ANSWERED,
    /** Closed while idle in a drain. */
    DRAINED,
    /** Closed while idle, as clients held more than their share of descriptors. */
    SHED,
    /** Closed right after it was accepted, as no descriptor was left for it. */
    NO_DESCRIPTOR,
    /** The client sent no complete request in time, or did not close its side after the last response. */
    SLOW,
    /** Its response can't be completed, as the host broke it off or either side stalled. */
    CUT_OFF,
    /** Closed to get back memory: it held most when the memory budget was used up. */
    MEMORY,
    /** Closed because of an unexpected exception in this program. */
    DEFECT
}
