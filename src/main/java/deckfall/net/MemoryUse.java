package deckfall.net;

import java.util.Locale;

/** What a connection used memory for that it had to give up, as the memory budget was used up. */
enum MemoryUse {
    /** A request head that is not complete, or not processed yet. The client gets a 431 response. */
    HEAD,
    /** A request body or trailer that is not complete. The client gets a 413 response. */
    BODY,
    /** Further requests, sent before the response to the one before. That one is answered, and the connection closed. */
    READ_AHEAD,
    /** Responses that the client does not take. Its connection is reset. */
    UNSENT_RESPONSE,
    /** The response of a host. Its attempt ends as for a response that can't be read. */
    HOST_RESPONSE;

    /** The name in metrics. */
    String metricName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
