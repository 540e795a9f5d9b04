package deckfall.net;

import deckfall.Gateway.Outcome;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads what a host's response says to the gateway: the outcome, load metrics and the quota use of the customer. */
final class ResponseReader {
    private static final String NEVER_RAN_HEADER = "X-Never-Ran";
    private static final List<String> NEVER_RAN_VALUES = List.of("1");
    private static final String LOAD_METRICS_HEADER = "Endpoint-Load-Metrics";
    private static final String QUOTA_USED_HEADER = "X-Quota-Used";
    private static final int MAX_USED_PCT = 100_000; // a larger value makes no difference to a gateway

    private final List<String> loadMetricNames;

    /** Creates a reader of the load metrics that the settings name. */
    ResponseReader(List<String> loadMetricNames) {
        this.loadMetricNames = loadMetricNames;
    }

    /** The outcome of an attempt that got this response. */
    static Outcome outcome(HttpResponse response) {
        int code = response.status().code();
        if (code == HttpResponseStatus.OK.code()) {
            return Outcome.OK;
        }
        boolean overloaded = code == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
                || code == HttpResponseStatus.GATEWAY_TIMEOUT.code();
        return overloaded && neverRan(response) ? Outcome.FULL : Outcome.ERROR;
    }

    /** Whether the response proves that the request never ran; one with two marks proves nothing. */
    private static boolean neverRan(HttpResponse response) {
        return response.headers().getAll(NEVER_RAN_HEADER).equals(NEVER_RAN_VALUES);
    }

    /** The customer's reported use of its quota in percent, plus one; 0 if the response has no readable value. */
    int meterReading(HttpResponse response) {
        int reading = 0;
        for (String value : response.headers().getAll(QUOTA_USED_HEADER)) {
            try {
                reading = Math.max(reading, 1 + Math.min(MAX_USED_PCT, NumberGrammar.wholeNumber(value)));
            } catch (NumberFormatException e) {
                // a malformed header line is ignored
            }
        }
        return reading;
    }

    /** The load metrics that the response reports; empty if it has none that can be parsed. */
    double[] loadMetrics(HttpResponse response) {
        String text = response.headers().get(LOAD_METRICS_HEADER);
        return text == null ? new double[0] : parseLoadMetrics(text);
    }

    /**
     * Parses {@code TEXT a=1, b=2}. Returns the values named in the settings, in their order, or an empty array if one is
     * missing, stands there twice or is no decimal number. Other values are skipped.
     */
    double[] parseLoadMetrics(String text) {
        Map<String, Double> values = new HashMap<>();
        for (String part : text.substring(firstWordEnd(text)).split(",")) {
            int separator = part.indexOf('=');
            String name = part.substring(0, Math.max(0, separator)).trim();
            if (loadMetricNames.contains(name)
                    && !addValue(values, name, part.substring(separator + 1).trim())) {
                return new double[0];
            }
        }
        return values.keySet().containsAll(loadMetricNames)
                ? loadMetricNames.stream().mapToDouble(values::get).toArray()
                : new double[0];
    }

    /** The end of the word that names the form; 0 if the text is a single word, which then holds the values. */
    private static int firstWordEnd(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) == ' ' || text.charAt(i) == '\t') {
                return i;
            }
        }
        return 0;
    }

    private static boolean addValue(Map<String, Double> values, String name, String number) {
        try {
            return values.put(name, NumberGrammar.decimal(number)) == null;
        } catch (NumberFormatException e) {
            return false;
        }
    }
}
