package deckfall.net;

import io.netty.util.NetUtil;

/** The parts of URIs that messages have, by RFC 3986. */
final class UriGrammar {
    private static final int ASCII_CHARACTERS = 128;
    private static final boolean[] NAME = characters("-._~!$&'()*+,;="); // unreserved characters and sub-delimiters
    private static final boolean[] IP_FUTURE = characters("-._~!$&'()*+,;=:");
    private static final boolean[] PATH = characters("-._~!$&'()*+,;=:@/");
    private static final boolean[] QUERY = characters("-._~!$&'()*+,;=:@/?");
    private static final int PERCENT_ENCODED_LENGTH = 3;

    private UriGrammar() {}

    /** A table of letters, digits and this punctuation. */
    private static boolean[] characters(String punctuation) {
        boolean[] table = new boolean[ASCII_CHARACTERS];
        for (char c = 0; c < ASCII_CHARACTERS; c++) {
            table[c] =
                    c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || punctuation.indexOf(c) >= 0;
        }
        return table;
    }

    /** Whether the text from {@code start} on is a path, which begins with a slash, and maybe a query behind it. */
    static boolean isPathAndQuery(String text, int start) {
        if (start >= text.length() || text.charAt(start) != '/') {
            return false;
        }
        int queryMark = text.indexOf('?', start);
        int pathEnd = queryMark < 0 ? text.length() : queryMark;
        return consistsOf(PATH, text, start, pathEnd) && consistsOf(QUERY, text, pathEnd, text.length());
    }

    /** Whether the text is a host, which may be empty, and maybe a port behind it. */
    static boolean isHostAndPort(String text) {
        boolean bracketed = text.startsWith("[");
        int hostEnd = bracketed ? text.indexOf(']') + 1 : text.indexOf(':');
        if (hostEnd < 0) {
            hostEnd = text.length();
        }
        boolean host = bracketed ? isAddress(text, hostEnd) : consistsOf(NAME, text, 0, hostEnd);
        return host && isPortOrEnd(text, hostEnd);
    }

    private static boolean isPortOrEnd(String text, int start) {
        if (start == text.length()) {
            return true;
        }
        String port = text.substring(start + 1);
        return text.charAt(start) == ':' && (port.isEmpty() || NumberGrammar.isWholeNumber(port));
    }

    private static boolean isAddress(String text, int end) {
        if (end == 0) { // no closing bracket
            return false;
        }
        String address = text.substring(1, end - 1);
        if (address.indexOf('%') >= 0) { // a zone, which a URI of HTTP can't have
            return false;
        }
        boolean future = address.startsWith("v") || address.startsWith("V");
        return future ? isFutureAddress(address) : NetUtil.isValidIpV6Address(address);
    }

    private static boolean isFutureAddress(String address) {
        int dot = address.indexOf('.');
        if (dot < 2 || dot + 1 == address.length()) {
            return false;
        }
        for (int i = 1; i < dot; i++) {
            if (NumberGrammar.hexDigit(address.charAt(i)) < 0) {
                return false;
            }
        }
        return consistsOf(IP_FUTURE, address, dot + 1, address.length());
    }

    /** Whether this part of the text has only these characters and percent-encoded bytes. */
    private static boolean consistsOf(boolean[] characters, String text, int start, int end) {
        int i = start;
        while (i < end) {
            char c = text.charAt(i);
            if (c < ASCII_CHARACTERS && characters[c]) {
                i++;
            } else if (isPercentEncoded(text, i, end)) {
                i += PERCENT_ENCODED_LENGTH;
            } else {
                return false;
            }
        }
        return true;
    }

    private static boolean isPercentEncoded(String text, int index, int end) {
        return text.charAt(index) == '%'
                && index + PERCENT_ENCODED_LENGTH <= end
                && NumberGrammar.hexDigit(text.charAt(index + 1)) >= 0
                && NumberGrammar.hexDigit(text.charAt(index + 2)) >= 0;
    }
}
