package deckfall.net;

import deckfall.Gateway.Request;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One client connection: one request at a time, in order; what is sent ahead waits its turn. */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    private static final int MOST_AHEAD = 512 * 1024; // what is read ahead on one connection; then reading stops
    private static final int HEAD_BYTES = 2048; // what a head that is read ahead takes, about
    private static final long UNSEEN_MS = 80; // an attempt may begin until 100 ms after its client has gone
    private static final long HEAD_MS = 2500; // a peer that has sent no whole head by then is told so
    private static final double SLOWEST_BYTES_PER_MS = 32; // a body that comes more slowly is given up
    private static final long DROP_MS = 2000; // how long the rest of an unwanted body is read
    private static final int UNCOUNTED = 4096; // answers so small that they always find room
    private static final int SCHEME_END = 3;
    private static final double MS_PER_SECOND = 1000;
    private static final String READY = "/healthz";

    /** A part of a request, and when it was read. */
    private record Arrival(HttpObject message, double atMs) {}

    private final ClientServer server;
    private final Node node;
    private final RetryingSocketChannel channel;
    private final StrictRequestDecoder decoder;
    private final ArrayDeque<Arrival> waiting = new ArrayDeque<>();
    private CloseReason closeReason; // null while the client alone could end it
    private int waitingBytes;
    private Future<?> unseen; // ends the time for which its client's leaving may not be seen
    private boolean lastAnswer; // the connection ends with the answer that is being passed on
    private IncomingRequest incoming; // until its last byte has come
    private OpenRequest current;
    private ResponseTransfer transfer;
    private boolean known; // a whole request has come on it
    private boolean busy;
    private boolean keepAlive = true;
    private boolean oldVersion; // the current request's: its client reads no chunks
    private boolean unbounded; // the end of the connection is the end of the answer
    private boolean ended; // the last answer is on its way
    private boolean dropping; // what still comes of a body that nobody wants
    private double headSince; // when a head that is not whole began to come
    private double usedAt;
    private double arrivedAt; // when what is being looked at was read: its client's time goes on from there

    ClientConnection(ClientServer server, Node node, RetryingSocketChannel channel, StrictRequestDecoder decoder) {
        this.server = server;
        this.node = node;
        this.channel = channel;
        this.decoder = decoder;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        node.loopDelay.observeDelayMs();
        server.opened(this);
        usedAt = node.clock.now();
        headSince = usedAt; // a stranger's time counts from its connecting
        if (!server.admits(this) && quiet()) {
            close(CloseReason.NO_DESCRIPTOR);
        }
    }

    /** Ends it without a further answer; a client that ends it meanwhile goes first. */
    void close(CloseReason why) {
        server.ended(this); // now, as its end is told only later
        if (closeReason == null && channel.isActive()) {
            closeReason = why;
        }
        channel.close();
    }

    /** Whether a close would lose nothing, not even what has come and the loop has not seen yet. */
    boolean quiet() {
        readNow();
        return !busy
                && !ended
                && incoming == null
                && waiting.isEmpty()
                && !decoder.hasPartialMessage()
                && !channel.readFailing()
                && channel.allWritten();
    }

    private void readNow() {
        if (channel.isActive() && channel.config().isAutoRead()) {
            ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
        }
    }

    /** Silence, or a request that never becomes whole: whoever it is may be waiting for a word. */
    void expelIfLate(double now) {
        if (transfer != null) {
            transfer.abortIfStalled(now);
        } else if (dropping) {
            if (now - usedAt > DROP_MS) {
                close(CloseReason.SLOW);
            }
        } else if (incoming != null) {
            double ms = now - incoming.startedMs;
            double late = known ? ms : now - headSince; // a stranger's time counts from its connecting
            if (late > HEAD_MS
                    && channel.config().isAutoRead()
                    && incoming.receivedBytes() < ms * SLOWEST_BYTES_PER_MS) {
                expel(HttpResponseStatus.REQUEST_TIMEOUT);
            }
        } else if (!busy && !ended && waiting.isEmpty() && headSince > 0 && now - headSince > HEAD_MS) {
            expel(HttpResponseStatus.REQUEST_TIMEOUT);
        }
    }

    void closeUnanswered() {
        readNow();
        next(); // what has been read is a request
        if (incoming != null && !ended) {
            respond(HttpResponseStatus.SERVICE_UNAVAILABLE, 0);
        } else if (!busy && !ended) {
            ended = true;
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER) // behind all answers that still wait
                    .addListener(f -> close(CloseReason.DRAINED));
        }
    }

    private void expel(HttpResponseStatus status) {
        keepAlive = false;
        busy = true;
        server.idle(this, false);
        OpenRequest left = current;
        if (left != null) {
            node.clientLeft(left); // its body will not become whole, or nothing shows whether its client waits
        }
        respond(status, 0);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        server.ended(this);
        node.connectionEnded(closeReason == null ? CloseReason.CLIENT : closeReason, unanswered());
        dropWaiting();
        ended = true;
        if (unseen != null) {
            unseen.cancel(false);
        }
        OpenRequest left = current;
        current = null;
        if (left != null) {
            node.clientLeft(left);
        }
        if (transfer != null) {
            transfer.clientLeft();
        }
        if (incoming != null) {
            incoming.release();
            incoming = null;
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (dropping && message instanceof LastHttpContent) {
            close(CloseReason.ANSWERED);
        }
        if (ended) {
            ReferenceCountUtil.release(message);
            return;
        }
        double delayMs = Math.max(node.loopDelay.observeDelayMs(), channel.readDelayMs());
        waiting.add(new Arrival((HttpObject) message, node.clock.now() - delayMs));
        account(bytes(message));
    }

    /** How many whole requests have been read and not been answered, nor begun to be. */
    private int unanswered() {
        long whole = waiting.stream()
                .filter(a -> a.message() instanceof LastHttpContent)
                .count();
        return (int) whole + (current != null && current.message.complete() ? 1 : 0);
    }

    /**
     * What has been read is looked at in a turn of its own: the first attempt reads the connection once more, and
     * inside a read that can't be done.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        server.idle(this, false); // a close would lose what has been read
        channel.resetReadDelay();
        node.loop.execute(this::look);
    }

    private void look() {
        if (!channel.isActive()) {
            return;
        }
        try {
            next();
        } catch (RuntimeException | Error e) { // no handler of the channel's hears of it in this turn
            broken(e);
            return;
        }
        boolean partial = !busy && decoder.hasPartialMessage();
        if (!partial && known) {
            headSince = 0;
        } else if (headSince == 0) {
            headSince = node.clock.now();
        }
        if (partial) {
            server.idle(this, false); // a close would lose a request of which a part has been read
        } else if (!busy && !ended && waiting.isEmpty()) {
            server.idle(this, true);
        }
    }

    private int bytes(Object message) {
        return (message instanceof HttpContent c ? c.content().readableBytes() : 0)
                + (message instanceof HttpRequest ? HEAD_BYTES : 0);
    }

    private void account(int bytes) {
        waitingBytes += bytes;
        node.room.reserve(bytes);
    }

    private void dropWaiting() {
        waiting.forEach(a -> ReferenceCountUtil.release(a.message()));
        waiting.clear();
        account(-waitingBytes);
    }

    private void next() {
        while (!ended && !waiting.isEmpty() && (incoming != null || !busy)) {
            Arrival next = waiting.poll();
            HttpObject message = next.message();
            arrivedAt = next.atMs();
            account(-bytes(message));
            try {
                if (message instanceof HttpRequest head) {
                    beginResponse(head);
                }
                if (message instanceof HttpContent content && incoming != null) {
                    part(content);
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }
        readOn();
    }

    /** Reads on while there is room for what comes; a request read ahead waits as it came. */
    private void readOn() {
        boolean wanted = incoming != null && !ended
                ? incoming.acceptsMore()
                : waitingBytes < (node.room.nearlyExhausted() ? IncomingRequest.MAX_SMALL_BODY_BYTES : MOST_AHEAD);
        if (channel.config().isAutoRead() != wanted) {
            channel.config().setAutoRead(wanted);
        }
        boolean matters = !wanted && !ended && !(incoming != null && incoming.streamed());
        if (!matters && unseen != null) {
            unseen.cancel(false);
            unseen = null;
        } else if (matters && unseen == null) {
            unseen = node.loop.schedule(this::refuseUnseen, UNSEEN_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** No close is seen behind what is not read, and nothing may be sent on for a client that has gone. */
    private void refuseUnseen() {
        unseen = null;
        readOn(); // memory may have become free
        if (unseen == null) {
            return;
        }
        if (transfer != null) {
            lastAnswer = true;
        } else {
            expel(HttpResponseStatus.SERVICE_UNAVAILABLE);
        }
    }

    /** Whether the client has closed its connection, also where the loop has been too busy to hear of it. */
    boolean closedByClient() {
        readNow();
        return !channel.isActive();
    }

    private void beginResponse(HttpRequest head) {
        busy = true;
        server.idle(this, false);
        oldVersion = head.protocolVersion().compareTo(HttpVersion.HTTP_1_1) < 0;
        if (head.decoderResult().isFailure() || !framed(head)) {
            keepAlive = false; // where the next request would begin is not known
            respond(HttpResponseStatus.BAD_REQUEST, 0);
            return;
        }
        keepAlive = HttpUtil.isKeepAlive(head);
        incoming = new IncomingRequest(head, originForm(head.uri()), node.room, node.clock.now());
        incoming.onAcceptsMore(this::readOn);
        if (incoming.tooLong()) {
            respond(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, 0);
        } else if (head.headers().contains(HttpHeaderNames.EXPECT)) {
            expected(head);
        }
    }

    /** Answers before the body has come, if only by the word to send it. */
    private void expected(HttpRequest head) {
        if (!HttpUtil.is100ContinueExpected(head)) {
            respond(HttpResponseStatus.EXPECTATION_FAILED, 0);
            return;
        }
        Request read = server.requests().read(incoming, arrivedAt);
        if (read == null) {
            answerUnread(incoming);
        } else if (refusesAll()) {
            refuseAtDoor(read);
        } else if (incoming.hasBody()) {
            channel.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER),
                    channel.voidPromise());
        }
    }

    private void part(HttpContent content) {
        IncomingRequest message = incoming;
        if (content.decoderResult().isFailure()) {
            malformed();
            return;
        }
        message.add(content.content());
        if (message.tooLong()) {
            malformed();
        } else if (content instanceof LastHttpContent) {
            incoming = null;
            known = true;
            whole(message);
        } else if (current == null && message.exceedsKeptSize()) {
            take(message);
        }
    }

    /** The rest of the body can't be told from what comes after it. */
    private void malformed() {
        keepAlive = false;
        OpenRequest left = current;
        if (left != null) {
            node.clientLeft(left);
        }
        respond(HttpResponseStatus.BAD_REQUEST, 0);
    }

    private void whole(IncomingRequest message) {
        message.markComplete();
        if (current != null) { // taken before
            Request read = server.requests().read(message, arrivedAt);
            node.bodyCame(current, read.deadlineMs());
        } else if (message.uri.equals(READY)) {
            message.release();
            respond(node.ready() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, 0);
        } else {
            take(message);
        }
    }

    private void take(IncomingRequest message) {
        Request read = server.requests().read(message, arrivedAt);
        if (read == null) {
            message.release();
            answerUnread(message);
        } else if (refusesAll() || node.clock.now() >= read.deadlineMs()) {
            message.release();
            refuseAtDoor(read);
        } else {
            node.taken(read, message, this);
        }
    }

    private void answerUnread(IncomingRequest message) {
        respond(
                message.head.headers().contains(HeaderNames.TRACE_ID)
                        ? HttpResponseStatus.BAD_REQUEST
                        : HttpResponseStatus.NOT_FOUND,
                0);
    }

    private boolean refusesAll() {
        return node.full() || node.room.exhausted() || node.over();
    }

    private void refuseAtDoor(Request read) {
        node.figures.recordResult(read.requestClass(), Metrics.Result.OVERLOAD);
        respond(
                HttpResponseStatus.SERVICE_UNAVAILABLE,
                node.config.settings().limits().maxRetryAfterMs());
    }

    /** When it was last used, on the node's clock. */
    double usedAt() {
        return usedAt;
    }

    /** Whether a whole request has come on it. */
    boolean known() {
        return known;
    }

    void setOpenRequest(OpenRequest r) {
        current = r;
    }

    /** Passes a host's answer on as it came. */
    void sendResponse(FullHttpResponse from) {
        FullHttpResponse to = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.OK, from.content().retain());
        String type = from.headers().get(HttpHeaderNames.CONTENT_TYPE);
        if (type != null) {
            to.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
        }
        write(to);
    }

    /** Passes on the head of an answer whose body comes by and by. */
    void beginResponse(HttpResponse from, ResponseTransfer by) {
        HttpResponse to = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        for (CharSequence name : List.of(HttpHeaderNames.CONTENT_TYPE, HttpHeaderNames.CONTENT_LENGTH)) {
            String value = from.headers().get(name);
            if (value != null) {
                to.headers().set(name, value);
            }
        }
        if (!HttpUtil.isContentLengthSet(to)) {
            unbounded = oldVersion;
            HttpUtil.setTransferEncodingChunked(to, !unbounded);
        }
        transfer = by;
        current = null;
        prepare(to);
        channel.write(to, channel.voidPromise());
    }

    /** Takes over what it is given. */
    void writeContent(ByteBuf content) {
        channel.write(new DefaultHttpContent(content), channel.voidPromise());
    }

    void flush() {
        channel.flush();
    }

    boolean writable() {
        return channel.isWritable();
    }

    /** The answer that was passed on is whole. */
    void finishResponse(ChannelFutureListener listener) {
        transfer = null;
        ChannelFuture lastWrite = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        lastWrite.addListener(listener);
        answered(lastWrite);
    }

    /** The rest of the answer will not come: a reset is the one end that nobody takes for a whole answer. */
    void reset() {
        transfer = null;
        if (channel.isActive()) {
            channel.config().setSoLinger(0);
        }
        close(CloseReason.CUT_OFF);
    }

    void respond(HttpResponseStatus status, double retryAfterMs) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        if (retryAfterMs > 0) {
            response.headers()
                    .set(HttpHeaderNames.RETRY_AFTER, Double.toString(Math.ceil(retryAfterMs) / MS_PER_SECOND));
        }
        write(response);
    }

    private void write(FullHttpResponse response) {
        int bytes = response.content().readableBytes();
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, bytes);
        prepare(response);
        if (ended || bytes > UNCOUNTED) {
            node.room.reserve(bytes); // until a slow client has taken it
            ChannelFuture sent = channel.writeAndFlush(response);
            sent.addListener(f -> node.room.release(bytes));
            answered(sent);
        } else {
            channel.writeAndFlush(response, channel.voidPromise());
            answered(null);
        }
    }

    /** Settles whether the connection goes on after this answer. */
    private void prepare(HttpResponse response) {
        boolean last = !keepAlive || unbounded || incoming != null;
        ended = last || (node.draining() || server.aboveKeepAliveLimit()) && !moreHasCome();
        if (ended) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        } else if (oldVersion) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
        }
    }

    /** Whether some of a further request has been read already, which would get no answer behind the last one. */
    private boolean moreHasCome() {
        readNow();
        return !waiting.isEmpty() || decoder.hasPartialMessage();
    }

    /** What follows an answer; {@code sent} is needed where it is the last one. */
    private void answered(ChannelFuture sent) {
        current = null;
        busy = false;
        usedAt = node.clock.now();
        ended |= lastAnswer;
        if (ended) {
            end(sent);
            return;
        }
        if (waiting.isEmpty()) {
            server.idle(this, true);
        } else { // not at once: an answer may be given while the request is being taken
            node.loop.execute(this::look);
        }
    }

    /** A client that is still sending would lose its answer to a close, so the rest is read for a while. */
    private void end(ChannelFuture sent) {
        dropWaiting();
        dropping = incoming != null;
        if (dropping) {
            incoming.release();
            incoming = null;
            sent.addListener(f -> channel.shutdownOutput());
            channel.config().setAutoRead(true);
        } else {
            sent.addListener(f -> close(CloseReason.ANSWERED));
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (transfer != null) {
            transfer.clientWritable();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        broken(cause);
    }

    private void broken(Throwable cause) {
        boolean network = cause instanceof IOException;
        if (!network) {
            Node.log("defect: a client's connection ended by " + cause);
        }
        close(network ? CloseReason.BROKEN : CloseReason.DEFECT);
    }

    /** Whether the request's length can be read in one way only. */
    private static boolean framed(HttpRequest head) {
        List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return codings.isEmpty()
                || codings.size() == 1
                        && head.protocolVersion().equals(HttpVersion.HTTP_1_1)
                        && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(
                                codings.get(0).trim());
    }

    /** A client may name the whole address, as it would to a proxy; hosts are asked for path and query. */
    private static String originForm(String uri) {
        int authority = uri.startsWith("/") ? -1 : uri.indexOf("://");
        if (authority < 0) {
            return uri;
        }
        int path = uri.indexOf('/', authority + SCHEME_END);
        return path < 0 ? "/" : uri.substring(path);
    }
}
