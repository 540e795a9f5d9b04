package deckfall.wire;

import java.util.Map;
import java.util.TreeMap;

/**
 * The {@code name=value} pairs of one line, with typed access. A field that is missing or malformed causes a
 * {@link WireFormatException} that names it.
 */
public final class Fields {
    private final Map<String, String> values = new TreeMap<>();

    /** Wraps pairs that were parsed elsewhere. */
    public Fields(Map<String, String> values) {
        this.values.putAll(values);
    }

    /** Parses pairs that are separated by single spaces. */
    Fields(String text) {
        int start = 0;
        while (start < text.length()) {
            int space = text.indexOf(' ', start);
            int end = space < 0 ? text.length() : space;
            int equals = text.indexOf('=', start);
            if (equals <= start || equals >= end) {
                throw new WireFormatException("not a name=value pair: '" + text.substring(start, end) + "'");
            }
            values.put(text.substring(start, equals), text.substring(equals + 1, end));
            start = end + 1;
        }
    }

    private String required(String name) {
        String value = values.get(name);
        if (value == null) {
            throw new WireFormatException("missing field '" + name + "'");
        }
        return value;
    }

    /** Whether the field is present, empty or not. */
    boolean has(String name) {
        return values.containsKey(name);
    }

    /** The value of a field that has to be present and not empty. */
    String text(String name) {
        String value = required(name);
        if (value.isEmpty()) {
            throw new WireFormatException("empty field '" + name + "'");
        }
        return value;
    }

    String text(String name, String defaultValue) {
        return values.getOrDefault(name, defaultValue);
    }

    /** The finite number in a field that has to be present. */
    double number(String name) {
        String value = required(name);
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // reported below, with the name of the field
        }
        throw new WireFormatException("bad number in '" + name + "': '" + value + "'");
    }

    /** The finite number in a field, or the default if the field is absent. */
    public double number(String name, double defaultValue) {
        return has(name) ? number(name) : defaultValue;
    }

    long longNumber(String name) {
        String value = required(name);
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new WireFormatException("bad whole number in '" + name + "': '" + value + "'");
        }
    }

    long longNumber(String name, long defaultValue) {
        return has(name) ? longNumber(name) : defaultValue;
    }

    /** A whole number in the range of an int. */
    int intNumber(String name) {
        long value = longNumber(name);
        if (value < Integer.MIN_VALUE || value > Integer.MAX_VALUE) {
            throw new WireFormatException("number out of range in '" + name + "': '" + value + "'");
        }
        return (int) value;
    }

    int intNumber(String name, int defaultValue) {
        return has(name) ? intNumber(name) : defaultValue;
    }

    /** A boolean, written as 1, true, 0 or false. */
    boolean flag(String name, boolean defaultValue) {
        String value = values.get(name);
        if (value == null) {
            return defaultValue;
        }
        return switch (value) {
            case "1", "true" -> true;
            case "0", "false" -> false;
            default -> throw new WireFormatException("bad truth value in '" + name + "': '" + value + "'");
        };
    }

    /** Numbers separated by commas; none if the field is absent, empty or "-". */
    double[] numbers(String name) {
        String value = values.getOrDefault(name, "");
        if (value.isEmpty() || value.equals("-")) {
            return new double[0];
        }
        String[] parts = value.split(",", -1);
        double[] numbers = new double[parts.length];
        for (int i = 0; i < parts.length; i++) {
            try {
                numbers[i] = Double.parseDouble(parts[i]);
            } catch (NumberFormatException e) {
                throw new WireFormatException("bad number in '" + name + "': '" + value + "'");
            }
        }
        return numbers;
    }

    /** Bytes in hexadecimal digits; none if the field is "-". */
    byte[] bytes(String name) {
        String value = text(name);
        if (value.equals("-")) {
            return new byte[0];
        }
        try {
            return java.util.HexFormat.of().parseHex(value);
        } catch (IllegalArgumentException e) {
            throw new WireFormatException("bad bytes in '" + name + "': '" + value + "'");
        }
    }
}
