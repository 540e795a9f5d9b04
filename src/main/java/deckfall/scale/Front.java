package deckfall.scale;

/** Stands in for the front: it passes over gateways that it sees down, which it does only after some seconds. */
final class Front {
    static final double NOTICES_MS = 3000;

    private final Fleet fleet;
    private final boolean[] down;

    Front(Fleet fleet) {
        this.fleet = fleet;
        this.down = new boolean[fleet.options.gateways];
    }

    /** It looks at a gateway now. */
    void sees(int gateway) {
        down[gateway] = !fleet.gateways[gateway].alive();
    }

    /** The gateway that a try for another one goes to: the next of the set that is seen up, or that one itself. */
    int gatewayFor(ClientRequest t) {
        int spread = fleet.customers.spread();
        int gateways = down.length;
        int first = fleet.customers.first(t.customer);
        int place = Math.floorMod(t.gateway - first, gateways);
        for (int i = 0; i < spread; i++) {
            int gateway = (first + (place + i) % spread) % gateways;
            if (!down[gateway]) {
                return gateway;
            }
        }
        return t.gateway;
    }
}
