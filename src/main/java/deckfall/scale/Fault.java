package deckfall.scale;

import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** One fault of a schedule: when after the warm-up, what, for how long, and how much of it. */
record Fault(double atSeconds, Kind kind, double durationSeconds, double size) {
    private static final double MAX_SECONDS = 100_000;
    private static final double MAX_SIZE = 1e6;

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

        private final double defaultSize;

        Kind(double defaultSize) {
            this.defaultSize = defaultSize;
        }

        String optionValue() {
            return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        }
    }

    double atMs() {
        return 1000 * atSeconds;
    }

    double durationMs() {
        return 1000 * durationSeconds;
    }

    int count() {
        return (int) size;
    }

    /** As in the arguments, so that a line of results can be repeated. */
    @Override
    public String toString() {
        return atSeconds + ":" + kind.optionValue() + ":" + durationSeconds + ":" + size;
    }

    /** Reads AT:KIND:LENGTH[:SIZE]. */
    static final class Converter implements ITypeConverter<Fault> {
        @Override
        public Fault convert(String text) {
            String[] parts = text.split(":", -1);
            if (parts.length < 3 || parts.length > 4) {
                throw new TypeConversionException("'" + text + "' is not AT:KIND:LENGTH[:SIZE]");
            }
            Kind kind = parseKind(parts[1]);
            return new Fault(
                    parseNumber(parts[0], MAX_SECONDS),
                    kind,
                    parseNumber(parts[2], MAX_SECONDS),
                    parts.length == 4 ? parseNumber(parts[3], MAX_SIZE) : kind.defaultSize);
        }

        private static Kind parseKind(String text) {
            for (Kind kind : Kind.values()) {
                if (kind.optionValue().equals(text)) {
                    return kind;
                }
            }
            throw new TypeConversionException("no fault is called '" + text + "'");
        }

        private static double parseNumber(String text, double max) {
            try {
                double number = Double.parseDouble(text);
                if (number >= 0 && number <= max) {
                    return number;
                }
            } catch (NumberFormatException e) {
                // said below
            }
            throw new TypeConversionException("'" + text + "' is no number from 0 to " + (long) max);
        }
    }
}
