package deckfall.net;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import deckfall.Gateway.Host;
import deckfall.Gateway.HostListKind;
import deckfall.Gateway.HostState;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.StringJoiner;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Asks what has changed since the list in hand, or for the whole list where there is none, then watches it without a
 * break; a silent or broken call is asked anew. A list is work by its length for a discovery that all gateways share:
 * where many start at once and each asks for all of it, their calls fail for seconds.
 */
final class Discovery {
    static final String SERVERS_FIELD = "servers";
    private static final String SERVERS_PATH = "/v1/servers";
    private static final long FIRST_LIST_TIMEOUT_MS = 1000; // a gateway starts without discovery, but not beside it
    private static final int MAX_LIST_BYTES = 4 << 20;

    /** A host with the address at which this api gateway reaches it. */
    record Entry(Host host, InetSocketAddress address) {
        Entry withState(HostState state) {
            return new Entry(
                    new Host(host.id(), host.zone(), host.kind(), host.cell(), state, host.rating(), host.startedMs()),
                    address);
        }
    }

    private final Node node;
    private final ObjectMapper json = new ObjectMapper();
    private final CallTiming timing;
    private InetSocketAddress address;
    private Channel channel;
    private Future<?> timeout;
    private boolean failureLogged;
    private long version; // -1: the whole list is still to come
    private boolean catchingUp = true; // what has changed since that version is still to come
    private final StaleListFilter staleListFilter = new StaleListFilter();
    private final CountDownLatch firstList = new CountDownLatch(1);

    Discovery(Node node) {
        this.node = node;
        this.address = node.config.discovery();
        this.version = node.config.knownVersion();
        this.timing = new CallTiming(new Random(node.config.settings().seed()));
    }

    void start() {
        connect();
    }

    /**
     * Waits, on another thread than the loop, until the module knows the present list. The one from before a restart
     * names hosts that drain by now, and no client is to be sent there.
     */
    void awaitFirstList() throws InterruptedException {
        if (!firstList.await(FIRST_LIST_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
            Node.log("discovery: no list yet, serving from the known one");
        }
    }

    private void connect() {
        Bootstrap bootstrap = new Bootstrap()
                .group(node.loop)
                .channelFactory(RetryingSocketChannel::new)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timing.timeoutMs())
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        ch.pipeline()
                                .addLast(
                                        new HttpClientCodec(),
                                        new HttpObjectAggregator(MAX_LIST_BYTES),
                                        new CallHandler());
                    }
                });
        bootstrap.connect(address).addListener(f -> {
            if (!f.isSuccess()) {
                node.runOnLoop(this::retry);
            }
        });
    }

    /** Asks at another address from now on, for the whole list first. */
    void moveTo(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        Node.log("discovery: moves from " + address + " to " + newAddress);
        address = newAddress;
        version = -1;
        catchingUp = true;
        timing.onAddressChange();
        if (channel != null) {
            channel.close(); // its end leads to the new address
        }
    }

    private void retry() {
        connectIn(timing.delayAfterFailureMs());
        if (timing.shouldReloadAddress()) {
            node.discoveryUnreachable();
        }
    }

    private void connectIn(long ms) {
        node.loop.schedule(this::connect, ms, TimeUnit.MILLISECONDS);
    }

    private final class CallHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        private boolean closing; // an answer has come with which discovery ends the connection

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            sendCall();
            if (!address.equals(channel.remoteAddress())) {
                channel.close(); // moved while it came up
            }
        }

        private void sendCall() {
            Channel callChannel = channel;
            long holdMs = catchingUp ? 0 : timing.holdMs();
            String uri = version < 0 ? SERVERS_PATH : SERVERS_PATH + "?from=" + version + "&hold_ms=" + holdMs;
            DefaultFullHttpRequest request =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri, Unpooled.EMPTY_BUFFER);
            request.headers().set(HttpHeaderNames.HOST, "discovery");
            callChannel.writeAndFlush(request, callChannel.voidPromise());
            timeout = node.loop.schedule(() -> callChannel.close(), holdMs + timing.timeoutMs(), TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) throws IOException {
            node.eventLoopLag.observeDelayMs();
            timeout.cancel(false);
            if (!response.status().equals(HttpResponseStatus.OK)) {
                throw new IOException("discovery answered " + response.status());
            }
            JsonNode list;
            try (InputStream in = new ByteBufInputStream(response.content())) {
                list = json.readTree(in);
            }
            boolean full = isFull(list);
            long listVersion = version(list);
            List<Entry> entries = staleListFilter.filter(listVersion, full, parseEntries(list));
            failureLogged = false;
            timing.onSuccess();
            catchingUp = !full && listVersion < version; // versions are counted anew: changes since say nothing
            version = catchingUp ? -1 : listVersion;
            if (full && !node.warmingUp()) { // once a start or a move: without this line the old list is still in use
                Node.log("discovery: whole list of " + entries.size() + ", version " + version + ", from " + address);
            }
            if (!full && !entries.isEmpty()) { // when each drain was heard of is asked first when one is not kept
                Node.log("discovery: version " + version + ", " + describeChanges(entries) + ", at "
                        + (long) node.clock.now());
            }
            if (HttpUtil.isKeepAlive(response)) {
                sendCall(); // the next call first, so that no change falls between
            } else {
                closing = true;
                ctx.close();
            }
            if (!catchingUp && (full || !entries.isEmpty())) {
                node.hostListReceived(full ? HostListKind.FULL : HostListKind.CHANGES, entries);
            }
            if (!catchingUp) {
                firstList.countDown();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            timeout.cancel(false);
            if (closing) {
                connectIn(timing.delayAfterCloseMs());
            } else {
                retry();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!failureLogged && !node.warmingUp()) { // one line for a spell of failures, however often it is asked
                Node.log("discovery: " + cause.getMessage());
            }
            failureLogged = true;
            ctx.close();
        }
    }

    private static String describeChanges(List<Entry> entries) {
        StringJoiner text = new StringJoiner(" ");
        entries.forEach(e -> text.add(e.host().id() + "=" + e.host().state()));
        return text.toString();
    }

    private static boolean isFull(JsonNode list) {
        if (!list.path("full").isBoolean() || !list.path(SERVERS_FIELD).isArray()) {
            throw new IllegalArgumentException("a list that does not say what it is");
        }
        return list.path("full").asBoolean();
    }

    /** A list that tells no version can't be watched on from; it is as malformed as one with an unknown state. */
    private static long version(JsonNode list) {
        if (!list.path("version").isIntegralNumber()) {
            throw new IllegalArgumentException("a list without a version");
        }
        return list.path("version").asLong();
    }

    /** The entries of a list in discovery's form; malformed ones are an {@link IllegalArgumentException}. */
    static List<Entry> parseEntries(JsonNode list) {
        List<Entry> entries = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        for (JsonNode item : list.path(SERVERS_FIELD)) {
            if (!item.path("id").isTextual()
                    || item.path("id").asText().isEmpty()
                    || !ids.add(item.path("id").asText())) {
                throw new IllegalArgumentException("an entry without an id of its own");
            }
            HostState state = switch (item.path("state").asText()) {
                case "ready" -> HostState.RUNNING;
                case "draining" -> HostState.DRAINING;
                case "gone" -> HostState.GONE;
                default -> throw new IllegalArgumentException("unknown host state " + item.path("state"));
            };
            entries.add(new Entry(
                    new Host(
                            item.path("id").asText(),
                            item.path("zone").asText(),
                            item.path("kind").asText(),
                            item.path("cell").asInt(),
                            state,
                            item.path("weight").asDouble(1),
                            item.path("started_ms").asDouble()),
                    state == HostState.GONE && item.path("addr").asText().isEmpty()
                            ? null
                            : NodeConfig.parseAddress(item.path("addr").asText())));
        }
        return entries;
    }
}
