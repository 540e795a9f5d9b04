package deckfall.scale;

/** The zones and regions of gateways and servers, and the network latency between them. */
final class NetworkTopology {
    private final int zones;
    private final int regions;
    private final double zoneLatencyMs;
    private final double regionLatencyMs;
    private boolean partitioned;

    NetworkTopology(int zones, int regions, double zoneLatencyMs, double regionLatencyMs) {
        this.zones = zones;
        this.regions = regions;
        this.zoneLatencyMs = zoneLatencyMs;
        this.regionLatencyMs = regionLatencyMs;
    }

    static String zoneName(int zone) {
        return "z" + zone;
    }

    int zoneOf(int number) {
        return number % zones;
    }

    int regionOf(int zone) {
        return zone * regions / zones;
    }

    /** The one-way latency between two zones. */
    double latencyMs(int from, int to) {
        if (regionOf(from) != regionOf(to)) {
            return regionLatencyMs;
        }
        return from == to ? zoneLatencyMs : 2 * zoneLatencyMs;
    }

    /** Sets whether the regions can't reach each other. */
    void setPartitioned(boolean partitionedNow) {
        partitioned = partitionedNow;
    }

    boolean canReach(int from, int to) {
        return !partitioned || regionOf(from) == regionOf(to);
    }
}
