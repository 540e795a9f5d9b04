package deckfall.net;

/** Why a client's connection ended; counted in the log's tally. */
enum CloseReason {
    /** The client closed it. */
    CLIENT,
    /** It broke: reset, or unreachable for too long. */
    BROKEN,
    /** With the last answer on it. */
    ANSWERED,
    /** Idle in a drain. */
    DRAINED,
    /** Idle, where clients hold more descriptors than their share. */
    SHED,
    /** New, where no descriptor is left for it. */
    NO_DESCRIPTOR,
    /** The peer sent no whole request in time, or did not end after its last answer. */
    SLOW,
    /** Its answer can't be finished, as its server broke it off or either side stands still. */
    CUT_OFF,
    /** An exception in this program. */
    DEFECT
}
