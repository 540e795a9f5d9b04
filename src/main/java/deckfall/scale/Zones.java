package deckfall.scale;

/** Which zone and region a gateway or a server stands in, and how long a message takes between two. */
final class Zones {
    private final int zones;
    private final int regions;
    private final double nearMs;
    private final double regionMs;
    private boolean cut;

    Zones(int zones, int regions, double nearMs, double regionMs) {
        this.zones = zones;
        this.regions = regions;
        this.nearMs = nearMs;
        this.regionMs = regionMs;
    }

    static String name(int zone) {
        return "z" + zone;
    }

    int ofNumber(int number) {
        return number % zones;
    }

    int region(int zone) {
        return zone * regions / zones;
    }

    /** One way. */
    double wayMs(int from, int to) {
        if (region(from) != region(to)) {
            return regionMs;
        }
        return from == to ? nearMs : 2 * nearMs;
    }

    /** Whether regions have lost each other. */
    void cut(boolean now) {
        cut = now;
    }

    boolean reach(int from, int to) {
        return !cut || region(from) == region(to);
    }
}
