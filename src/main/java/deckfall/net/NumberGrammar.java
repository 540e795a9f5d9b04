package deckfall.net;

/**
 * The numbers of messages: ASCII digits and nothing else. The parsing methods of the language also take signs, digits of
 * other scripts and suffixes, which no message may have.
 */
final class NumberGrammar {
    private static final int DECIMAL = 10;
    private static final int HEX = 16;

    private NumberGrammar() {}

    /** Whether the text is one or more decimal digits. */
    static boolean isWholeNumber(CharSequence text) {
        for (int i = 0; i < text.length(); i++) {
            if (!isDigit(text.charAt(i))) {
                return false;
            }
        }
        return text.length() > 0;
    }

    /**
     * The value of decimal digits, {@link Integer#MAX_VALUE} if it is larger. Throws {@link NumberFormatException} if the
     * text is anything else.
     */
    static int wholeNumber(CharSequence text) {
        if (!isWholeNumber(text)) {
            throw new NumberFormatException("not a whole number: " + text);
        }
        long value = 0;
        for (int i = 0; i < text.length() && value < Integer.MAX_VALUE; i++) {
            value = value * DECIMAL + text.charAt(i) - '0';
        }
        return (int) Math.min(value, Integer.MAX_VALUE);
    }

    /** The value of this many hexadecimal digits, at most 16. Throws {@link NumberFormatException} for anything else. */
    static long hexNumber(CharSequence text, int digits) {
        if (text.length() != digits) {
            throw new NumberFormatException("not of " + digits + " digits: " + text);
        }
        for (int i = 0; i < digits; i++) {
            if (hexDigit(text.charAt(i)) < 0) {
                throw new NumberFormatException("not a hexadecimal number: " + text);
            }
        }
        return Long.parseUnsignedLong(text, 0, digits, HEX);
    }

    /** The value of a hexadecimal digit, or -1. */
    static int hexDigit(int character) {
        return character < Byte.MAX_VALUE ? Character.digit(character, HEX) : -1;
    }

    /**
     * The value of a decimal number without a sign, such as 2, 0.5 or 1e3. Throws {@link NumberFormatException} for
     * anything else, and if the value is not finite.
     */
    static double decimal(String text) {
        double value = isDecimal(text) ? Double.parseDouble(text) : Double.NaN;
        if (!Double.isFinite(value)) {
            throw new NumberFormatException("not a decimal number: " + text);
        }
        return value;
    }

    /** The same with an optional sign. */
    static double signedDecimal(String text) {
        boolean signed = !text.isEmpty() && isSign(text.charAt(0));
        double value = decimal(signed ? text.substring(1) : text);
        return signed && text.charAt(0) == '-' ? -value : value;
    }

    private static boolean isDecimal(String text) {
        int wholeEnd = digitsEnd(text, 0);
        boolean hasPoint = wholeEnd < text.length() && text.charAt(wholeEnd) == '.';
        int end = hasPoint ? digitsEnd(text, wholeEnd + 1) : wholeEnd;
        boolean hasDigits = end > (hasPoint ? 1 : 0);
        return hasDigits && (end == text.length() || isExponent(text, end));
    }

    private static boolean isExponent(String text, int start) {
        if (text.charAt(start) != 'e' && text.charAt(start) != 'E') {
            return false;
        }
        int digitsStart = start + 1;
        if (digitsStart < text.length() && isSign(text.charAt(digitsStart))) {
            digitsStart++;
        }
        return digitsStart < text.length() && digitsEnd(text, digitsStart) == text.length();
    }

    private static boolean isSign(char c) {
        return c == '+' || c == '-';
    }

    private static int digitsEnd(String text, int start) {
        int end = start;
        while (end < text.length() && isDigit(text.charAt(end))) {
            end++;
        }
        return end;
    }

    private static boolean isDigit(char c) {
        return c >= '0' && c <= '9';
    }
}
