package deckfall.scale;

import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** A scheduled fault: its start in seconds after the warm-up, its kind, its duration in seconds and its size. */
record Fault(double atSeconds, Kind kind, double durationSeconds, double size) {
    private static final double MAX_SECONDS = 100_000;
    private static final double MAX_SIZE = 1e6;

    /**
     * The kinds of faults, each with its default size: a number of servers, gateways or racks, the number of a zone (-1
     * for the last one), a slowdown factor, or the steps of a release. Options use these names, in lower case and with
     * hyphens.
     */
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

    /** The form of the command line, so that the run of a report can be repeated. */
    @Override
    public String toString() {
        return atSeconds + ":" + kind.optionValue() + ":" + durationSeconds + ":" + size;
    }

    /** Parses AT:KIND:LENGTH[:SIZE]. */
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
            throw new TypeConversionException("unknown kind of fault: '" + text + "'");
        }

        private static double parseNumber(String text, double max) {
            try {
                double number = Double.parseDouble(text);
                if (number >= 0 && number <= max) {
                    return number;
                }
            } catch (NumberFormatException e) {
                // reported below
            }
            throw new TypeConversionException("'" + text + "' is not a number from 0 to " + (long) max);
        }
    }
}
