package deckfall.scale;

/** Stands in for the front: it passes over gateways that it sees down, which it does only after some seconds. */
final class SimulatedLoadBalancer {
    static final double FAILURE_DETECTION_MS = 3000;

    private final Fleet fleet;
    private final boolean[] knownDown;

    SimulatedLoadBalancer(Fleet fleet) {
        this.fleet = fleet;
        this.knownDown = new boolean[fleet.options.gateways];
    }

    /** It looks at a gateway now. */
    void checkHealth(int gateway) {
        knownDown[gateway] = !fleet.gateways[gateway].alive();
    }

    /** The gateway that a try for another one goes to: the next of the set that is seen up, or that one itself. */
    int gatewayFor(ClientRequest request) {
        int spread = fleet.customers.spread();
        int gateways = knownDown.length;
        int first = fleet.customers.first(request.customer);
        int position = Math.floorMod(request.gateway - first, gateways);
        for (int i = 0; i < spread; i++) {
            int gateway = (first + (position + i) % spread) % gateways;
            if (!knownDown[gateway]) {
                return gateway;
            }
        }
        return request.gateway;
    }
}
