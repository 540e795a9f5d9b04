package deckfall.scale;

import java.util.OptionalDouble;

/** Decides on a request's quota before the request reaches a gateway. */
interface AdmissionPolicy {
    /** Leaves the decision to the decision module of each gateway, which has its own view of the quotas. */
    AdmissionPolicy DECIDED_BY_GATEWAYS = request -> OptionalDouble.empty();

    /** Returns the retry delay in milliseconds if the request is refused; empty if it goes on to its gateway. */
    OptionalDouble refusalRetryAfterMs(ClientRequest request);

    /** Whether the gateways get plans without quotas because this policy enforces the quotas. */
    default boolean replacesGatewayQuotas() {
        return this != DECIDED_BY_GATEWAYS;
    }
}
