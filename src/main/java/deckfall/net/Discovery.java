package deckfall.net;

import com.fasterxml.jackson.databind.DeserializationFeature;
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
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
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
 * Keeps the list of hosts up to date with long-polling calls to discovery. It requests the changes since the version it
 * has, or the full list if it has none, and then polls without a break; a call that fails or times out is retried.
 *
 * <p>A full list costs discovery work in proportion to its length, and all gateways share one discovery. If many
 * gateways start at once and each requests the full list, their calls fail for seconds.
 */
final class Discovery {
    static final String SERVERS_FIELD = "servers";
    private static final String SERVERS_PATH = "/v1/servers";
    private static final long FIRST_LIST_TIMEOUT_MS = 1000; // then the gateway starts with the known list
    private static final int MAX_LIST_BYTES = 4 << 20;

    /** A host with the address at which this API gateway reaches it. */
    record Entry(Host host, InetSocketAddress address) {
        /** The same entry in another state. */
        Entry withState(HostState state) {
            return new Entry(
                    new Host(host.id(), host.zone(), host.kind(), host.cell(), state, host.rating(), host.startedMs()),
                    address);
        }
    }

    private final Node node;
    private final ObjectMapper json = new ObjectMapper()
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY);
    // Never gives up a call for memory that others hold: the decoder bounds a head, and the aggregator a list
    private final MemoryBudget headMemory = new MemoryBudget(Long.MAX_VALUE, 1);
    private final CallTiming timing;
    private InetSocketAddress address;
    private Channel channel;
    private Future<?> timeout;
    private boolean failureLogged;
    private long version; // -1 if the full list must be requested
    private boolean catchingUp = true; // the changes since that version have not been received yet
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
     * Waits until the decision module has the current list, up to a time limit. Must not be called on the event loop. A
     * list from before a restart may name hosts that drain by now, and no client request is to be sent to those.
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
                                        new StrictResponseDecoder(headMemory.openAccount(ch::close)),
                                        new HttpRequestEncoder(),
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

    /** Switches to another address, where the full list is requested first. */
    void moveTo(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        Node.log("discovery: address changed from " + address + " to " + newAddress);
        address = newAddress;
        version = -1;
        catchingUp = true;
        timing.onAddressChange();
        if (channel != null) {
            channel.close(); // the reconnect goes to the new address
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

    /** Sends the calls of one connection, one after another, and handles their responses. */
    private final class CallHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        private boolean closing; // discovery closes the connection after this response

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            sendCall();
            if (!address.equals(channel.remoteAddress())) {
                channel.close(); // the address changed during the connect
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
            if (isInterim(response)) {
                return;
            }
            timeout.cancel(false);
            JsonNode list = readList(response);
            boolean full = isFull(list);
            long listVersion = version(list);
            List<Entry> entries = staleListFilter.filter(listVersion, full, parseEntries(list));
            failureLogged = false;
            timing.onSuccess();
            // discovery restarted its version numbers, so its changes do not apply to our list
            catchingUp = !full && listVersion < version;
            version = catchingUp ? -1 : listVersion;
            // once per start or address change; without this line the old list is still in use
            if (full && !node.warmingUp()) {
                Node.log("discovery: full list of " + entries.size() + ", version " + version + ", from " + address);
            }
            // if a drain was not obeyed, the first question is when it arrived here
            if (!full && !entries.isEmpty()) {
                Node.log("discovery: version " + version + ", " + describeChanges(entries) + ", at "
                        + (long) node.clock.now());
            }
            if (HttpUtil.isKeepAlive(response)) {
                sendCall(); // the next call is sent first, so that no change is missed in between
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

        private static boolean isInterim(FullHttpResponse response) {
            return response.status().codeClass() == HttpStatusClass.INFORMATIONAL
                    && !response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)
                    && response.decoderResult().isSuccess();
        }

        private JsonNode readList(FullHttpResponse response) throws IOException {
            if (response.decoderResult().isFailure()) {
                throw new IOException(
                        "unreadable response", response.decoderResult().cause());
            }
            if (!response.status().equals(HttpResponseStatus.OK)) {
                throw new IOException("discovery answered " + response.status());
            }
            try (InputStream in = new ByteBufInputStream(response.content())) {
                return json.readTree(in);
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
            if (cause instanceof Error) {
                ErrorReport.report("discovery failed", cause);
            } else if (!failureLogged && !node.warmingUp()) { // one line for failures in a row
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
            throw new IllegalArgumentException("list without 'full' or 'servers'");
        }
        return list.path("full").asBoolean();
    }

    /**
     * The version of a list. Without it the next changes cannot be requested, so such a list is as malformed as one
     * with an unknown state.
     */
    private static long version(JsonNode list) {
        JsonNode version = list.path("version");
        if (!version.isIntegralNumber() || !version.canConvertToLong() || version.asLong() < 0) {
            throw new IllegalArgumentException("list without a version");
        }
        return version.asLong();
    }

    /**
     * Parses the entries of a list in discovery's format; throws {@link IllegalArgumentException} if one is malformed.
     */
    static List<Entry> parseEntries(JsonNode list) {
        List<Entry> entries = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        for (JsonNode item : list.path(SERVERS_FIELD)) {
            if (!item.path("id").isTextual()
                    || item.path("id").asText().isEmpty()
                    || !ids.add(item.path("id").asText())) {
                throw new IllegalArgumentException("entry with a missing or duplicate id");
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
