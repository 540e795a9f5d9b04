package deckfall.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import deckfall.Gateway.Outcome;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests which values in a host's response count and which are ignored. */
class ResponseReaderTest {
    private static final double[] NONE = {};

    private final ResponseReader reader = new ResponseReader(List.of("qps", "latency_ms"));

    private static HttpResponse response(int code, String name, String... values) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(code));
        response.headers().set(name, List.of(values));
        return response;
    }

    /** Guards against a booking that is tried again although its first attempt may have run. */
    @Test
    void onlyASinglePlainMarkProvesThatARequestNeverRan() {
        for (int code : new int[] {503, 504}) {
            assertEquals(Outcome.FULL, ResponseReader.outcome(response(code, "X-Never-Ran", "1")));
            for (String other : List.of("0", "", "01", "+1", "1.0", "true", "1, 0", "1,1")) {
                assertEquals(Outcome.ERROR, ResponseReader.outcome(response(code, "X-Never-Ran", other)), other);
            }
            assertEquals(Outcome.ERROR, ResponseReader.outcome(response(code, "X-Never-Ran", "1", "0")));
            assertEquals(Outcome.ERROR, ResponseReader.outcome(response(code, "X-Never-Ran", "1", "1")));
        }
        assertEquals(Outcome.ERROR, ResponseReader.outcome(response(500, "X-Never-Ran", "1")));
        assertEquals(Outcome.OK, ResponseReader.outcome(response(200, "X-Never-Ran", "1")));
    }

    @Test
    void quotaUseIsAWholeNumber() {
        Map.of("0", 1, "85", 86, "0085", 86, "99999999999", 100_001)
                .forEach((value, reading) ->
                        assertEquals(reading, reader.meterReading(response(200, "X-Quota-Used", value)), value));
        for (String value : List.of("", "+85", "-85", "85.0", "8e1", "0x55", "85%", "8 5", "\u00b2")) {
            assertEquals(0, reader.meterReading(response(200, "X-Quota-Used", value)), value);
        }
    }

    /** Guards against values that are no number, which every average would keep for good. */
    @Test
    void loadMetricsAreFiniteDecimalNumbersWithOneValueEach() {
        Map.of(
                        "TEXT qps=7, latency_ms=2.5", new double[] {7, 2.5},
                        "TEXT latency_ms=0.25,other=x y,qps=0", new double[] {0, 0.25},
                        "TEXT\tqps=1e3 , latency_ms=1.5E-1", new double[] {1000, 0.15},
                        "TEXT qps=007,latency_ms=.5", new double[] {7, 0.5},
                        "qps=7,latency_ms=2", new double[] {7, 2})
                .forEach((text, values) -> assertArrayEquals(
                        values, reader.loadMetrics(response(200, "Endpoint-Load-Metrics", text)), text));
        for (String text : List.of(
                "",
                "TEXT",
                "TEXT qps=7",
                "TEXT qps=7, latency_ms=",
                "TEXT qps=7, latency_ms=NaN",
                "TEXT qps=7, latency_ms=Infinity",
                "TEXT qps=7, latency_ms=1e999",
                "TEXT qps=7, latency_ms=0x1p3",
                "TEXT qps=7, latency_ms=2d",
                "TEXT qps=7, latency_ms=+2",
                "TEXT qps=7, latency_ms=-2",
                "TEXT qps=7, latency_ms=2, qps=8",
                "TEXT qps=7; latency_ms=2")) {
            assertArrayEquals(NONE, reader.loadMetrics(response(200, "Endpoint-Load-Metrics", text)), text);
        }
    }
}
