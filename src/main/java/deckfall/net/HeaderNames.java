package deckfall.net;

/** Names of the HTTP headers that describe a request to gateways and hosts. */
final class HeaderNames {
    static final String TRACE_ID = "X-Trace-Id";
    static final String PLAN = "X-Plan";
    static final String CUSTOMER = "X-Customer";
    static final String EXPIRES_IN_MS = "X-Expires-In-Ms";
    static final String QUOTA = "X-Quota";
    static final String SECOND_TRY = "X-Second-Try";
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    private HeaderNames() {}
}
