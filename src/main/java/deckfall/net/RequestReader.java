package deckfall.net;

import deckfall.Gateway.Effect;
import deckfall.Gateway.Plan;
import deckfall.Gateway.Request;
import deckfall.Gateway.RequestClass;
import deckfall.Gateway.Settings;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Translates the head of a client's message to a request of the decision module. It keeps nothing of a message. */
final class RequestReader {
    private static final int CUSTOMER_RADIX = 16;
    private static final int CUSTOMER_DIGITS = 16;
    private static final long CUSTOMER_LIMIT = 1L << 33;
    private static final int MAX_ID_LENGTH = 64;

    private final Map<String, RequestClass> classes;
    private final Set<String> plans;

    RequestReader(Settings settings) {
        classes = settings.classes().stream()
                .collect(Collectors.toUnmodifiableMap(RequestClass::name, Function.identity(), (first, last) -> last));
        plans = settings.plans().stream().map(Plan::name).collect(Collectors.toUnmodifiableSet());
    }

    /** A customer's quota header: the request's units and the gateways that may receive the customer. */
    private record Quota(double units, int spread, int first) {
        private static final int MISSING = -1;

        /** Throws {@link NumberFormatException} where a number is malformed; what is missing is below nought. */
        static Quota parse(String header) {
            double units = MISSING;
            int spread = MISSING;
            int first = MISSING;
            for (String part : header.split(",")) {
                int equals = part.indexOf('=');
                String value = part.substring(equals + 1).trim();
                switch (equals < 0 ? "" : part.substring(0, equals).trim()) {
                    case "units" -> units = Double.parseDouble(value);
                    case "spread" -> spread = Integer.parseInt(value);
                    case "first" -> first = Integer.parseInt(value);
                    default -> {} // a later version may say more
                }
            }
            return new Quota(units, spread, first);
        }

        boolean valid() {
            return units > 0 && units < Integer.MAX_VALUE && spread > 0 && first >= 0;
        }
    }

    /** The request as the module knows it, or null where it is missing or has malformed what it must say. */
    Request read(IncomingRequest message, double now) {
        HttpHeaders headers = message.head.headers();
        RequestClass requestClass = classes.get(firstPathSegment(message.uri));
        if (requestClass == null || !hasRequiredHeaders(headers) || !matchesClass(message, requestClass)) {
            return null;
        }
        try {
            long customer = Long.parseLong(headers.get(HeaderNames.CUSTOMER), CUSTOMER_RADIX);
            long expiresInMs = Integer.parseInt(headers.get(HeaderNames.EXPIRES_IN_MS));
            Quota quota = Quota.parse(headers.get(HeaderNames.QUOTA));
            if (customer < 0 || customer >= CUSTOMER_LIMIT || expiresInMs <= 0 || !quota.valid()) {
                return null;
            }
            return new Request(
                    headers.get(HeaderNames.TRACE_ID),
                    Node.deadline(now, expiresInMs),
                    headers.contains(HeaderNames.SECOND_TRY),
                    requestClass.name(),
                    customer,
                    headers.get(HeaderNames.PLAN),
                    quota.units(),
                    quota.first(),
                    quota.spread());
        } catch (NumberFormatException e) {
            return null;
        }
    }

    /** Whether all headers are there that a request needs, of the right length, and its plan is known. */
    private boolean hasRequiredHeaders(HttpHeaders headers) {
        String id = headers.get(HeaderNames.TRACE_ID);
        String customer = headers.get(HeaderNames.CUSTOMER);
        String plan = headers.get(HeaderNames.PLAN);
        boolean planKnown = plans.isEmpty() || plan != null && plans.contains(plan);
        boolean idValid = id != null && !id.isEmpty() && id.length() <= MAX_ID_LENGTH;
        return planKnown
                && idValid
                && customer != null
                && customer.length() == CUSTOMER_DIGITS
                && headers.contains(HeaderNames.EXPIRES_IN_MS)
                && headers.contains(HeaderNames.QUOTA);
    }

    /** Whether its method is that of its class, and a class of keyed requests has its key. */
    private static boolean matchesClass(IncomingRequest message, RequestClass requestClass) {
        boolean repeatable = requestClass.effect() == Effect.REPEATABLE;
        boolean keyed = requestClass.effect() == Effect.KEYED;
        return message.head.method().equals(repeatable ? HttpMethod.GET : HttpMethod.POST)
                && (!keyed || message.head.headers().contains(HeaderNames.IDEMPOTENCY_KEY));
    }

    private static String firstPathSegment(String uri) {
        int end = 1;
        while (end < uri.length() && uri.charAt(end) != '/' && uri.charAt(end) != '?') {
            end++;
        }
        return uri.length() < 2 ? "" : uri.substring(1, end);
    }
}
