package deckfall.net;

/**
 * The target of a request (RFC 9112, section 3.2). A client may send the path and query, which hosts expect, or an
 * absolute URI, as it would to a proxy. The other forms belong to methods that no class has.
 */
final class RequestTarget {
    private static final String[] SCHEMES = {"http://", "https://"};

    private RequestTarget() {}

    /** Reduces a target to path and query; returns null if it is improper. */
    static String originForm(String target) {
        if (target.startsWith("/")) {
            return UriGrammar.isPathAndQuery(target, 0) ? target : null;
        }
        for (String scheme : SCHEMES) {
            if (target.regionMatches(true, 0, scheme, 0, scheme.length())) {
                return pathBehindAuthority(target, scheme.length());
            }
        }
        return null;
    }

    private static String pathBehindAuthority(String target, int authorityStart) {
        int authorityEnd = authorityStart;
        while (authorityEnd < target.length() && "/?#".indexOf(target.charAt(authorityEnd)) < 0) {
            authorityEnd++;
        }
        String authority = target.substring(authorityStart, authorityEnd);
        boolean namesHost = !authority.isEmpty() && !authority.startsWith(":");
        if (!namesHost || !UriGrammar.isHostAndPort(authority)) {
            return null;
        }
        String rest = target.substring(authorityEnd);
        String pathAndQuery = rest.startsWith("/") ? rest : '/' + rest; // an empty path stands for the root
        return UriGrammar.isPathAndQuery(pathAndQuery, 0) ? pathAndQuery : null;
    }
}
