package deckfall.scale;

import deckfall.Gateway.Effect;
import deckfall.Gateway.Outcome;
import deckfall.Gateway.Settings;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A gateway of the fleet that is a real process: clients' requests go to it over sockets, and its attempts arrive at
 * the addresses of the simulated servers. Each request is paired with one that goes to a seat server directly and has
 * the same service time there.
 */
final class RealGateway extends FleetGateway implements SimulatedServerHandler.RequestReceiver {
    private static final double UNANSWERED_GRACE_MS = 500; // after the deadline, until a request counts as unanswered
    private static final byte[] BODY = "a body".getBytes(StandardCharsets.US_ASCII);
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int STATUS_SERVICE_UNAVAILABLE = 503;
    private static final int STATUS_OK = 200;
    private static final String DIRECT_ID_PREFIX = "d";

    /** The two latencies of a pair; negative while unknown. */
    private static final class LatencyPair {
        private double gatewayMs = -1;
        private double directMs = -1;
    }

    private final Fleet fleet;
    private final RealTimePacer pacer;
    private final Settings settings;
    private final PairedLatencies latencies;
    private final HttpConnectionPool gatewayPool;
    private final HttpConnectionPool directPool;
    private final Map<String, ClientRequest> openRequests = new LinkedHashMap<>();
    private final Map<String, ClientRequest> directRequests = new HashMap<>();
    private final Map<ClientRequest.Attempt, ChannelHandlerContext> pendingResponses = new HashMap<>();

    RealGateway(
            Fleet fleet,
            RealTimePacer pacer,
            Settings settings,
            int zone,
            PairedLatencies latencies,
            HttpConnectionPool gatewayPool,
            HttpConnectionPool directPool) {
        super(settings.gatewayNumber(), zone);
        this.fleet = fleet;
        this.pacer = pacer;
        this.settings = settings;
        this.latencies = latencies;
        this.gatewayPool = gatewayPool;
        this.directPool = directPool;
    }

    @Override
    boolean alive() {
        return true;
    }

    @Override
    void terminate() {}

    @Override
    long decisionNanos() {
        return 0;
    }

    @Override
    void handleRequest(ClientRequest request) {
        openRequests.put(request.id, request);
        LatencyPair pair = new LatencyPair();
        long startNanos = System.nanoTime();
        gatewayPool.send(buildRequest(request, request.id), response -> {
            double elapsedMs = (System.nanoTime() - startNanos) / 1e6;
            pacer.catchUp();
            responseReceived(request, response);
            pair.gatewayMs = response != null && response.status().code() == STATUS_OK ? elapsedMs : -1;
            recordPair(request, pair);
        });
        directRequests.put(DIRECT_ID_PREFIX + request.id, request);
        long directStartNanos = System.nanoTime();
        directPool.send(buildRequest(request, DIRECT_ID_PREFIX + request.id), response -> {
            pair.directMs = response != null && response.status().code() == STATUS_OK
                    ? (System.nanoTime() - directStartNanos) / 1e6
                    : -1;
            directRequests.remove(DIRECT_ID_PREFIX + request.id);
            recordPair(request, pair);
        });
        fleet.queue.scheduleAt(
                request.deadlineMs + UNANSWERED_GRACE_MS,
                () -> closeRequest(request, RunStatistics.RequestOutcome.UNANSWERED, 0));
    }

    private void recordPair(ClientRequest request, LatencyPair pair) {
        if (request.measured && pair.gatewayMs >= 0 && pair.directMs >= 0) {
            latencies.add(pair.gatewayMs, pair.directMs);
        }
    }

    private FullHttpRequest buildRequest(ClientRequest request, String id) {
        Customers customers = fleet.customers;
        boolean repeatable = settings.classes().get(request.requestClass).effect() == Effect.REPEATABLE;
        byte[] body = repeatable ? new byte[0] : BODY;
        FullHttpRequest httpRequest = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                repeatable ? HttpMethod.GET : HttpMethod.POST,
                "/" + settings.classes().get(request.requestClass).name(),
                Unpooled.wrappedBuffer(body));
        httpRequest
                .headers()
                .set(HttpHeaderNames.HOST, "backend.local")
                .set(SimulatedServerHandler.TRACE_ID_HEADER, id)
                .set("X-Plan", customers.plan(request.customer).name())
                .set("X-Customer", String.format("%016x", customers.customerId(request.customer)))
                .set("X-Expires-In-Ms", (long) fleet.options.deadlineMs)
                .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                .set(
                        "X-Quota",
                        "units=" + request.units + ",spread=" + customers.spread() + ",first="
                                + customers.first(request.customer));
        return httpRequest;
    }

    private void responseReceived(ClientRequest request, FullHttpResponse response) {
        int status = response == null ? 0 : response.status().code();
        if (status == STATUS_OK) {
            closeRequest(request, RunStatistics.RequestOutcome.SERVED, 0);
        } else if (status == STATUS_TOO_MANY_REQUESTS || status == STATUS_SERVICE_UNAVAILABLE) {
            String retryAfterSeconds = response.headers().get(HttpHeaderNames.RETRY_AFTER);
            closeRequest(
                    request,
                    RunStatistics.RequestOutcome.REFUSED,
                    retryAfterSeconds == null ? 0 : 1000 * Double.parseDouble(retryAfterSeconds));
        } else {
            closeRequest(
                    request,
                    response == null ? RunStatistics.RequestOutcome.UNANSWERED : RunStatistics.RequestOutcome.FAILED,
                    0);
        }
    }

    private void closeRequest(ClientRequest request, RunStatistics.RequestOutcome requestOutcome, double retryAfterMs) {
        if (request.closed) {
            return;
        }
        request.closed = true;
        openRequests.remove(request.id);
        latencies.requestEnded(request, requestOutcome);
        fleet.requestEnded(request, requestOutcome, retryAfterMs);
    }

    boolean hasRequest(String id) {
        return openRequests.containsKey(id) || directRequests.containsKey(id);
    }

    @Override
    public void requestReceived(String id, SimulatedServer server, ChannelHandlerContext context) {
        ClientRequest directRequest = directRequests.get(id);
        if (directRequest != null) {
            ClientRequest directCopy = new ClientRequest(
                    directRequest.number,
                    directRequest.customer,
                    directRequest.units,
                    directRequest.requestClass,
                    0,
                    directRequest.arrivedMs,
                    directRequest.deadlineMs,
                    false);
            server.accept(
                    new ClientRequest.Attempt(this, directCopy, server.id, fleet.queue.now()),
                    outcome -> SimulatedServerHandler.respond(context, outcome, 0));
            return;
        }
        ClientRequest request = openRequests.get(id);
        ClientRequest.Attempt attempt = new ClientRequest.Attempt(this, request, server.id, fleet.queue.now());
        request.attempts.add(attempt);
        request.dispatched = true;
        pendingResponses.put(attempt, context);
        fleet.statistics.attemptSent(number, server, server.zone != zone, fleet.queue.now());
        fleet.deliverAttempt(attempt, server, 0);
    }

    @Override
    void attemptEnded(ClientRequest.Attempt attempt, Outcome outcome, int meterReading) {
        attempt.ended = true;
        ChannelHandlerContext context = pendingResponses.remove(attempt);
        if (context != null) {
            SimulatedServerHandler.respond(context, outcome, meterReading);
        }
    }
}
