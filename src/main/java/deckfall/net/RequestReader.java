package deckfall.net;

import deckfall.Gateway.Effect;
import deckfall.Gateway.Plan;
import deckfall.Gateway.Request;
import deckfall.Gateway.RequestClass;
import deckfall.Gateway.Settings;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Translates the head of a client's message into a request for the decision module. It retains nothing of a message.
 */
final class RequestReader {
    private static final int CUSTOMER_DIGITS = 16;
    private static final long CUSTOMER_LIMIT = 1L << 33;
    private static final int MAX_ID_LENGTH = 64;
    private static final String RETRY_MARK = "1";

    private final Map<String, RequestClass> classes;
    private final Set<String> plans;

    RequestReader(Settings settings) {
        classes = settings.classes().stream()
                .collect(Collectors.toUnmodifiableMap(RequestClass::name, Function.identity(), (first, last) -> last));
        plans = settings.plans().stream().map(Plan::name).collect(Collectors.toUnmodifiableSet());
    }

    /** The quota header: the units of the request, and the set of gateways that may receive the customer. */
    private record Quota(double units, int spread, int first) {
        private static final int MISSING = -1;
        private static final int MAX_GATEWAYS = 0xffff; // the range of these fields in messages between gateways

        /**
         * Parses the header; missing values are negative. Throws {@link NumberFormatException} if a number is malformed
         * or given twice.
         */
        static Quota parse(String header) {
            double units = MISSING;
            int spread = MISSING;
            int first = MISSING;
            for (String part : header.split(",")) {
                int equals = part.indexOf('=');
                String value = part.substring(equals + 1).trim();
                switch (equals < 0 ? "" : part.substring(0, equals).trim()) {
                    case "units" -> units = onlyValue(units, NumberGrammar.decimal(value));
                    case "spread" -> spread = (int) onlyValue(spread, NumberGrammar.wholeNumber(value));
                    case "first" -> first = (int) onlyValue(first, NumberGrammar.wholeNumber(value));
                    default -> {} // ignored, as a later version may add more
                }
            }
            return new Quota(units, spread, first);
        }

        private static double onlyValue(double before, double value) {
            if (before != MISSING) {
                throw new NumberFormatException("two values");
            }
            return value;
        }

        boolean valid() {
            return units > 0
                    && units < Integer.MAX_VALUE
                    && spread > 0
                    && spread <= MAX_GATEWAYS
                    && first >= 0
                    && first <= MAX_GATEWAYS;
        }
    }

    /** Returns the request for the decision module, or null if something that it requires is missing or malformed. */
    Request read(IncomingRequest message, double now) {
        RequestClass requestClass = message.uri == null ? null : classes.get(firstPathSegment(message.uri));
        if (requestClass == null || !SingleFields.namesHost(message.head)) {
            return null;
        }
        try {
            return requestOf(message, requestClass, now);
        } catch (ImproperFieldException | NumberFormatException e) {
            return null;
        }
    }

    private Request requestOf(IncomingRequest message, RequestClass requestClass, double now) {
        HttpHeaders headers = message.head.headers();
        String id = SingleFields.required(headers, HeaderNames.TRACE_ID);
        String plan = plans.isEmpty()
                ? SingleFields.optional(headers, HeaderNames.PLAN)
                : SingleFields.required(headers, HeaderNames.PLAN);
        long customer = NumberGrammar.hexNumber(SingleFields.required(headers, HeaderNames.CUSTOMER), CUSTOMER_DIGITS);
        long expiresInMs = NumberGrammar.wholeNumber(SingleFields.required(headers, HeaderNames.EXPIRES_IN_MS));
        Quota quota = Quota.parse(quotaOf(headers));
        String retryMark = SingleFields.optional(headers, HeaderNames.SECOND_TRY);
        SingleFields.optional(headers, HttpHeaderNames.CONTENT_TYPE); // passed on to the host
        boolean proper = isId(id)
                && (plans.isEmpty() || plans.contains(plan))
                && customer >= 0
                && customer < CUSTOMER_LIMIT
                && expiresInMs > 0
                && quota.valid()
                && matchesClass(message.head, requestClass);
        return !proper
                ? null
                : new Request(
                        id,
                        Node.deadline(now, expiresInMs),
                        RETRY_MARK.equals(retryMark),
                        requestClass.name(),
                        customer,
                        plan,
                        quota.units(),
                        quota.first(),
                        quota.spread());
    }

    /** The quota is a list, which may stand in several lines. */
    private static String quotaOf(HttpHeaders headers) {
        List<String> lines = headers.getAll(HeaderNames.QUOTA);
        return lines.size() == 1 ? lines.get(0) : String.join(",", lines);
    }

    /** Whether the text is an id, which has no whitespace. */
    private static boolean isId(String text) {
        return !text.isEmpty() && text.length() <= MAX_ID_LENGTH && text.indexOf(' ') < 0 && text.indexOf('\t') < 0;
    }

    /** Whether the method matches the class of the request, and a request of a keyed class has its key. */
    private static boolean matchesClass(HttpRequest head, RequestClass requestClass) {
        boolean repeatable = requestClass.effect() == Effect.REPEATABLE;
        boolean keyed = requestClass.effect() == Effect.KEYED;
        String key = SingleFields.optional(head.headers(), HeaderNames.IDEMPOTENCY_KEY);
        return head.method().equals(repeatable ? HttpMethod.GET : HttpMethod.POST)
                && (!keyed || key != null && !key.isEmpty());
    }

    private static String firstPathSegment(String uri) {
        int end = 1; // behind the slash with which a path begins
        while (end < uri.length() && uri.charAt(end) != '/' && uri.charAt(end) != '?') {
            end++;
        }
        return uri.substring(1, end);
    }
}
