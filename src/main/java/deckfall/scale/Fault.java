package deckfall.scale;

import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** One fault of a schedule: when after the warm-up, what, for how long, and how much of it. */
record Fault(double atSeconds, Kind kind, double lengthSeconds, double size) {
    private static final double MOST_SECONDS = 100_000;
    private static final double MOST = 1e6;

    /** What may go wrong, and the size where none is given: servers, gateways, racks, a zone, or times as slow. */
    enum Kind {
        SERVER_REPLACED(20),
        SERVER_HANGING(1),
        GATEWAY_REPLACED(1),
        GATEWAY_KILLED(1),
        RACK(1),
        ZONE(-1),
        REGION_CUT(0),
        COUNTER_SILENT(0),
        COUNTER_REFUSING(0),
        COUNTER_SLOW(4),
        COUNTER_EMPTY(0),
        DISCOVERY_DOWN(0),
        RELEASE(10);

        private final double usual;

        Kind(double usual) {
            this.usual = usual;
        }

        String text() {
            return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        }
    }

    double atMs() {
        return 1000 * atSeconds;
    }

    double lengthMs() {
        return 1000 * lengthSeconds;
    }

    int count() {
        return (int) size;
    }

    /** As in the arguments, so that a line of results can be repeated. */
    @Override
    public String toString() {
        return atSeconds + ":" + kind.text() + ":" + lengthSeconds + ":" + size;
    }

    /** Reads AT:KIND:LENGTH[:SIZE]. */
    static final class Reader implements ITypeConverter<Fault> {
        @Override
        public Fault convert(String text) {
            String[] parts = text.split(":", -1);
            if (parts.length < 3 || parts.length > 4) {
                throw new TypeConversionException("'" + text + "' is not AT:KIND:LENGTH[:SIZE]");
            }
            Kind kind = kind(parts[1]);
            return new Fault(
                    number(parts[0], MOST_SECONDS),
                    kind,
                    number(parts[2], MOST_SECONDS),
                    parts.length == 4 ? number(parts[3], MOST) : kind.usual);
        }

        private static Kind kind(String text) {
            for (Kind kind : Kind.values()) {
                if (kind.text().equals(text)) {
                    return kind;
                }
            }
            throw new TypeConversionException("no fault is called '" + text + "'");
        }

        private static double number(String text, double most) {
            try {
                double number = Double.parseDouble(text);
                if (number >= 0 && number <= most) {
                    return number;
                }
            } catch (NumberFormatException e) {
                // said below
            }
            throw new TypeConversionException("'" + text + "' is no number from 0 to " + (long) most);
        }
    }
}
