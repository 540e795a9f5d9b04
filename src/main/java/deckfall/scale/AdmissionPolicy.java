package deckfall.scale;

import java.util.OptionalDouble;

/** Who decides on a try's quota before it comes to a gateway. */
interface AdmissionPolicy {
    /** The decision module of each gateway, by what it knows itself. */
    AdmissionPolicy DECIDED_BY_GATEWAYS = request -> OptionalDouble.empty();

    /** The time to come back of a try that is refused here, in milliseconds; empty where it goes on to its gateway. */
    OptionalDouble refusalRetryAfterMs(ClientRequest request);

    /** Whether gateways are told of no quotas, since these are decided here. */
    default boolean replacesGatewayQuotas() {
        return this != DECIDED_BY_GATEWAYS;
    }
}
