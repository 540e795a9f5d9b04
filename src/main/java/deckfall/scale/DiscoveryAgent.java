package deckfall.scale;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import deckfall.Gateway.Host;
import deckfall.Gateway.HostListKind;
import deckfall.Gateway.HostState;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** The agent of discovery beside a real gateway: the whole list, and watches that wait for what is new. */
@Sharable
final class DiscoveryAgent extends SimpleChannelInboundHandler<FullHttpRequest> implements DiscoveryStandIn.Listener {
    private static final long MOST_HOLD_MS = 60_000;

    private record Watch(ChannelHandlerContext ctx) {}

    private final Function<String, String> addressOf; // a server
    private final Traffic traffic;
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private final Map<Long, List<Host>> changes = new LinkedHashMap<>();
    private long version;
    private Watch watch;

    DiscoveryAgent(Function<String, String> addressOf, Traffic traffic) {
        this.addressOf = addressOf;
        this.traffic = traffic;
    }

    @Override
    public void hosts(HostListKind kind, List<Host> told) {
        version++;
        changes.put(version, told);
        for (Host h : told) {
            if (h.state() == HostState.GONE) {
                hosts.remove(h.id());
            } else {
                hosts.put(h.id(), h);
            }
        }
        if (watch != null) {
            answerWatch(watch, told);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        traffic.message();
        QueryStringDecoder query = new QueryStringDecoder(request.uri());
        long from = number(query, "from", -1);
        if (from < 0 || from > version) {
            answer(ctx, true, hosts.values());
        } else if (from < version) {
            Map<String, Host> news = new LinkedHashMap<>();
            for (long v = from + 1; v <= version; v++) {
                changes.get(v).forEach(h -> news.put(h.id(), h));
            }
            answer(ctx, false, news.values());
        } else {
            Watch begun = new Watch(ctx);
            watch = begun;
            ctx.executor()
                    .schedule(
                            () -> answerWatch(begun, List.of()),
                            Math.min(MOST_HOLD_MS, number(query, "hold_ms", 0)),
                            TimeUnit.MILLISECONDS);
        }
    }

    private static long number(QueryStringDecoder query, String name, long without) {
        List<String> values = query.parameters().get(name);
        return values == null ? without : Long.parseLong(values.get(0));
    }

    private void answerWatch(Watch begun, List<Host> news) {
        if (watch == begun) {
            watch = null;
            answer(begun.ctx, false, news);
        }
    }

    private void answer(ChannelHandlerContext ctx, boolean full, Collection<Host> told) {
        traffic.message();
        byte[] body = list(full, told).toString().getBytes(StandardCharsets.UTF_8);
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        ctx.writeAndFlush(response);
    }

    ObjectNode list(boolean full, Collection<Host> told) {
        ObjectNode list =
                JsonNodeFactory.instance.objectNode().put("version", version).put("full", full);
        ArrayNode servers = list.putArray("servers");
        for (Host h : told) {
            String state = switch (h.state()) {
                case RUNNING -> "ready";
                case DRAINING -> "draining";
                case GONE -> "gone";
            };
            servers.addObject()
                    .put("id", h.id())
                    .put("addr", addressOf.apply(h.id()))
                    .put("zone", h.zone())
                    .put("kind", h.kind())
                    .put("cell", h.cell())
                    .put("state", state)
                    .put("weight", h.rating())
                    .put("started_ms", 0);
        }
        return list;
    }

    /** What a gateway is started with. */
    ObjectNode known() {
        return list(true, hosts.values());
    }
}
