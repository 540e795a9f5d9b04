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
 * A real process in the fleet: clients' requests go to it over sockets, and what it sends on comes to the stand-ins'
 * addresses. Each request is paired with one that goes to a seat server directly and takes as long there.
 */
final class RealGateway extends FleetGateway implements SimulatedServerHandler.RequestReceiver {
    private static final double GRACE_MS = 500; // after a deadline, until a request counts as unanswered
    private static final byte[] BODY = "a body".getBytes(StandardCharsets.US_ASCII);
    private static final int REFUSED = 429;
    private static final int UNAVAILABLE = 503;
    private static final int OK = 200;
    private static final String DIRECT = "d";

    /** The two times of a pair; below nothing while not known. */
    private static final class Pair {
        private double viaMs = -1;
        private double directMs = -1;
    }

    private final Fleet fleet;
    private final RealTimePacer pace;
    private final Settings settings;
    private final PairedLatencies times;
    private final HttpConnectionPool clients;
    private final HttpConnectionPool direct;
    private final Map<String, ClientRequest> open = new LinkedHashMap<>();
    private final Map<String, ClientRequest> directs = new HashMap<>();
    private final Map<ClientRequest.Attempt, ChannelHandlerContext> exchanges = new HashMap<>();

    RealGateway(
            Fleet fleet,
            RealTimePacer pace,
            Settings settings,
            int zone,
            PairedLatencies times,
            HttpConnectionPool clients,
            HttpConnectionPool direct) {
        super(settings.gatewayNumber(), zone);
        this.fleet = fleet;
        this.pace = pace;
        this.settings = settings;
        this.times = times;
        this.clients = clients;
        this.direct = direct;
    }

    @Override
    boolean alive() {
        return true;
    }

    @Override
    void die() {}

    @Override
    long busyNanos() {
        return 0;
    }

    @Override
    void request(ClientRequest t) {
        open.put(t.id, t);
        Pair pair = new Pair();
        long from = System.nanoTime();
        clients.send(request(t, t.id), response -> {
            double ms = (System.nanoTime() - from) / 1e6;
            pace.catchUp();
            answered(t, response);
            pair.viaMs = response != null && response.status().code() == OK ? ms : -1;
            note(t, pair);
        });
        directs.put(DIRECT + t.id, t);
        long directFrom = System.nanoTime();
        direct.send(request(t, DIRECT + t.id), response -> {
            pair.directMs =
                    response != null && response.status().code() == OK ? (System.nanoTime() - directFrom) / 1e6 : -1;
            directs.remove(DIRECT + t.id);
            note(t, pair);
        });
        fleet.queue.scheduleAt(t.deadlineMs + GRACE_MS, () -> close(t, RunStatistics.RequestOutcome.UNANSWERED, 0));
    }

    private void note(ClientRequest t, Pair pair) {
        if (t.measured && pair.viaMs >= 0 && pair.directMs >= 0) {
            times.add(pair.viaMs, pair.directMs);
        }
    }

    private FullHttpRequest request(ClientRequest t, String id) {
        Customers customers = fleet.customers;
        boolean safe = settings.classes().get(t.requestClass).effect() == Effect.REPEATABLE;
        byte[] body = safe ? new byte[0] : BODY;
        FullHttpRequest r = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                safe ? HttpMethod.GET : HttpMethod.POST,
                "/" + settings.classes().get(t.requestClass).name(),
                Unpooled.wrappedBuffer(body));
        r.headers()
                .set(HttpHeaderNames.HOST, "backend.local")
                .set(SimulatedServerHandler.TRACE_ID_HEADER, id)
                .set("X-Plan", customers.plan(t.customer).name())
                .set("X-Customer", String.format("%016x", customers.gatewayId(t.customer)))
                .set("X-Expires-In-Ms", (long) fleet.options.deadlineMs)
                .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                .set(
                        "X-Quota",
                        "units=" + t.units + ",spread=" + customers.spread() + ",first=" + customers.first(t.customer));
        return r;
    }

    private void answered(ClientRequest t, FullHttpResponse response) {
        int status = response == null ? 0 : response.status().code();
        if (status == OK) {
            close(t, RunStatistics.RequestOutcome.SERVED, 0);
        } else if (status == REFUSED || status == UNAVAILABLE) {
            String told = response.headers().get(HttpHeaderNames.RETRY_AFTER);
            close(t, RunStatistics.RequestOutcome.REFUSED, told == null ? 0 : 1000 * Double.parseDouble(told));
        } else {
            close(
                    t,
                    response == null ? RunStatistics.RequestOutcome.UNANSWERED : RunStatistics.RequestOutcome.FAILED,
                    0);
        }
    }

    private void close(ClientRequest t, RunStatistics.RequestOutcome end, double retryAfterMs) {
        if (t.closed) {
            return;
        }
        t.closed = true;
        open.remove(t.id);
        times.requestEnded(t, end);
        fleet.ended(t, end, retryAfterMs);
    }

    boolean knows(String id) {
        return open.containsKey(id) || directs.containsKey(id);
    }

    @Override
    public void requestReceived(String id, SimulatedServer server, ChannelHandlerContext from) {
        ClientRequest twin = directs.get(id);
        if (twin != null) {
            ClientRequest alone = new ClientRequest(
                    twin.number,
                    twin.customer,
                    twin.units,
                    twin.requestClass,
                    0,
                    twin.arrivedMs,
                    twin.deadlineMs,
                    false);
            server.accept(
                    new ClientRequest.Attempt(this, alone, server.id, fleet.queue.now()),
                    outcome -> SimulatedServerHandler.respond(from, outcome, 0));
            return;
        }
        ClientRequest t = open.get(id);
        ClientRequest.Attempt a = new ClientRequest.Attempt(this, t, server.id, fleet.queue.now());
        t.attempts.add(a);
        t.dispatched = true;
        exchanges.put(a, from);
        fleet.figures.attemptSent(number, server, server.zone != zone, fleet.queue.now());
        fleet.reach(a, server, 0);
    }

    @Override
    void ended(ClientRequest.Attempt a, Outcome outcome, int usedPct) {
        a.ended = true;
        ChannelHandlerContext to = exchanges.remove(a);
        if (to != null) {
            SimulatedServerHandler.respond(to, outcome, usedPct);
        }
    }
}
