package deckfall.scale;

/**
 * Simulates the load balancer in front of the gateways. It skips gateways that it has detected as down; a failure is
 * detected only after some seconds.
 */
final class SimulatedLoadBalancer {
    static final double FAILURE_DETECTION_MS = 3000;

    private final Fleet fleet;
    private final boolean[] knownDown;

    SimulatedLoadBalancer(Fleet fleet) {
        this.fleet = fleet;
        this.knownDown = new boolean[fleet.options.gateways];
    }

    /** Checks now whether a gateway is up. */
    void checkHealth(int gateway) {
        knownDown[gateway] = !fleet.gateways[gateway].alive();
    }

    /**
     * Chooses the gateway for a request: the one it is addressed to or, if that is known to be down, the next of the
     * customer's set that is not. If all of the set are known to be down, the request keeps the one it is addressed to.
     */
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
