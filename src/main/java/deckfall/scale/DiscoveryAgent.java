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

/** The discovery agent beside a real gateway: serves the full list of hosts, and long polls for changes. */
@Sharable
final class DiscoveryAgent extends SimpleChannelInboundHandler<FullHttpRequest> implements SimulatedDiscovery.Listener {
    private static final long MAX_HOLD_MS = 60_000;

    /** A long poll that waits for a change. */
    private record Watch(ChannelHandlerContext ctx) {}

    private final Function<String, String> addressOf; // by server id
    private final ControlTraffic traffic;
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private final Map<Long, List<Host>> changesByVersion = new LinkedHashMap<>();
    private long version;
    private Watch watch;

    DiscoveryAgent(Function<String, String> addressOf, ControlTraffic traffic) {
        this.addressOf = addressOf;
        this.traffic = traffic;
    }

    @Override
    public void hostsUpdated(HostListKind kind, List<Host> newHosts) {
        version++;
        changesByVersion.put(version, newHosts);
        for (Host host : newHosts) {
            if (host.state() == HostState.GONE) {
                hosts.remove(host.id());
            } else {
                hosts.put(host.id(), host);
            }
        }
        if (watch != null) {
            completeWatch(watch, newHosts);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        traffic.countMessage();
        QueryStringDecoder query = new QueryStringDecoder(request.uri());
        long fromVersion = longParameter(query, "from", -1);
        if (fromVersion < 0 || fromVersion > version) {
            respond(ctx, true, hosts.values());
        } else if (fromVersion < version) {
            Map<String, Host> newHosts = new LinkedHashMap<>();
            for (long changeVersion = fromVersion + 1; changeVersion <= version; changeVersion++) {
                changesByVersion.get(changeVersion).forEach(host -> newHosts.put(host.id(), host));
            }
            respond(ctx, false, newHosts.values());
        } else {
            Watch pendingWatch = new Watch(ctx);
            watch = pendingWatch;
            ctx.executor()
                    .schedule(
                            () -> completeWatch(pendingWatch, List.of()),
                            Math.min(MAX_HOLD_MS, longParameter(query, "hold_ms", 0)),
                            TimeUnit.MILLISECONDS);
        }
    }

    private static long longParameter(QueryStringDecoder query, String name, long defaultValue) {
        List<String> values = query.parameters().get(name);
        return values == null ? defaultValue : Long.parseLong(values.get(0));
    }

    private void completeWatch(Watch pendingWatch, List<Host> newHosts) {
        if (watch == pendingWatch) {
            watch = null;
            respond(pendingWatch.ctx, false, newHosts);
        }
    }

    private void respond(ChannelHandlerContext ctx, boolean full, Collection<Host> listedHosts) {
        traffic.countMessage();
        byte[] body = listAsJson(full, listedHosts).toString().getBytes(StandardCharsets.UTF_8);
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        ctx.writeAndFlush(response);
    }

    ObjectNode listAsJson(boolean full, Collection<Host> listedHosts) {
        ObjectNode json =
                JsonNodeFactory.instance.objectNode().put("version", version).put("full", full);
        ArrayNode servers = json.putArray("servers");
        for (Host host : listedHosts) {
            String state = switch (host.state()) {
                case RUNNING -> "ready";
                case DRAINING -> "draining";
                case GONE -> "gone";
            };
            servers.addObject()
                    .put("id", host.id())
                    .put("addr", addressOf.apply(host.id()))
                    .put("zone", host.zone())
                    .put("kind", host.kind())
                    .put("cell", host.cell())
                    .put("state", state)
                    .put("weight", host.rating())
                    .put("started_ms", 0);
        }
        return json;
    }

    /** The full list for the configuration that a gateway is started with. */
    ObjectNode knownHostsAsJson() {
        return listAsJson(true, hosts.values());
    }
}
