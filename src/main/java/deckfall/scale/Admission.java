package deckfall.scale;

import java.util.OptionalDouble;

/** Who decides on a try's quota before it comes to a gateway. */
interface Admission {
    /** The decision module of each gateway, by what it knows itself. */
    Admission BY_MODULE = t -> OptionalDouble.empty();

    /** The time to come back of a try that is refused here, in milliseconds; empty where it goes on to its gateway. */
    OptionalDouble refusal(ClientRequest t);

    /** Whether gateways are told of no quotas, since these are decided here. */
    default boolean replacesModule() {
        return this != BY_MODULE;
    }
}
