package deckfall.net;

import io.netty.util.NetUtil;
import java.util.BitSet;

/** The parts of URIs that messages have, by RFC 3986. */
final class UriGrammar {
    private static final BitSet HEX_DIGITS = new BitSet();
    private static final BitSet NAME = characters("-._~!$&'()*+,;="); // unreserved characters and sub-delimiters
    private static final BitSet IP_FUTURE = characters("-._~!$&'()*+,;=:");
    private static final BitSet PATH = characters("-._~!$&'()*+,;=:@/");
    private static final BitSet QUERY = characters("-._~!$&'()*+,;=:@/?");
    private static final int PERCENT_ENCODED_LENGTH = 3;

    static {
        "0123456789abcdefABCDEF".chars().forEach(HEX_DIGITS::set);
    }

    private UriGrammar() {}

    private static BitSet characters(String punctuation) {
        BitSet characters = new BitSet();
        characters.set('0', '9' + 1);
        characters.set('a', 'z' + 1);
        characters.set('A', 'Z' + 1);
        punctuation.chars().forEach(characters::set);
        return characters;
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
        int hostEnd = text.startsWith("[") ? text.indexOf(']') + 1 : text.indexOf(':');
        if (hostEnd < 0) {
            hostEnd = text.length();
        }
        boolean portOrEnd = hostEnd == text.length()
                || text.charAt(hostEnd) == ':'
                        && (hostEnd + 1 == text.length() || NumberGrammar.isWholeNumber(text.substring(hostEnd + 1)));
        return portOrEnd && isHost(text.substring(0, hostEnd));
    }

    private static boolean isHost(String host) {
        if (!host.startsWith("[")) {
            return consistsOf(NAME, host, 0, host.length());
        }
        String address = host.substring(1, host.length() - 1);
        boolean hasZone = address.indexOf('%') >= 0; // which a URI of HTTP can't have
        return address.startsWith("v") || address.startsWith("V")
                ? isFutureAddress(address)
                : !hasZone && NetUtil.isValidIpV6Address(address);
    }

    private static boolean isFutureAddress(String address) {
        int dot = address.indexOf('.');
        return dot > 1
                && dot + 1 < address.length()
                && consistsOf(HEX_DIGITS, address, 1, dot)
                && address.indexOf('%') < 0
                && consistsOf(IP_FUTURE, address, dot + 1, address.length());
    }

    /** Whether this part of the text has only these characters and percent-encoded bytes. */
    private static boolean consistsOf(BitSet characters, String text, int start, int end) {
        for (int i = start; i < end; i++) {
            if (!characters.get(text.charAt(i))) {
                if (!isPercentEncoded(text, i, end)) {
                    return false;
                }
                i += PERCENT_ENCODED_LENGTH - 1;
            }
        }
        return true;
    }

    private static boolean isPercentEncoded(String text, int index, int end) {
        return text.charAt(index) == '%'
                && index + PERCENT_ENCODED_LENGTH <= end
                && HEX_DIGITS.get(text.charAt(index + 1))
                && HEX_DIGITS.get(text.charAt(index + 2));
    }
}
