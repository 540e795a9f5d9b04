package deckfall.net;

import deckfall.Gateway.Outcome;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;

/** One connection to a host. */
final class HostConnection extends ChannelInboundHandlerAdapter
        implements ResponseTransfer.Source, IncomingRequest.BodyReceiver, MemoryBudget.Holder {
    // after a write began; a reset within this time means that the host had closed the connection before it
    private static final double STALE_CONNECTION_MS = 50;

    private final Node node;
    private final HostPool pool;
    private final MemoryBudget.Account account;
    final StrictResponseDecoder decoder;
    SocketChannel channel;
    Exchange exchange;
    private IncomingRequest streamedBody; // the message whose body is being streamed
    private KeptBodySender keptBody; // sends a complete body
    private HttpResponse responseHead; // of the response that is being received
    private ByteBuf bufferedBody = Unpooled.EMPTY_BUFFER; // the part of the response body that is buffered
    private int bufferedCapacity; // of that buffer, as counted in the memory budget
    private ResponseTransfer transfer; // set while the response is streamed
    private FullHttpResponse completeResponse; // set until all bytes that were read with it are processed
    private boolean transferComplete; // the same for a streamed response
    private boolean unexpectedData; // data arrived that no request asked for
    boolean requestWritten; // the last byte of the request was sent
    double idleSinceMs;
    double idleBeforeRequestMs; // how long the connection was idle before the current request
    private double writeStartedAtMs;
    private double headReceivedAtMs; // of the response that is being received

    HostConnection(Node node, HostPool pool) {
        this.node = node;
        this.account = node.memoryBudget.openAccount(this);
        this.decoder = new StrictResponseDecoder(account);
        this.pool = pool;
    }

    void write(Exchange next, HttpRequest message) {
        exchange = next;
        next.connection = this;
        next.started = true;
        next.beforeWrite();
        requestWritten = false;
        writeStartedAtMs = node.clock.now();
        if (message instanceof FullHttpRequest) {
            channel.writeAndFlush(message).addListener(f -> onRequestWritten(next, f.isSuccess()));
            return;
        }
        channel.writeAndFlush(message, channel.voidPromise());
        IncomingRequest body = next.requestBody();
        if (body.complete() && !body.streamed()) {
            keptBody = new KeptBodySender(body.body(), this);
            keptBody.send();
        } else {
            streamedBody = body;
            streamedBody.streamTo(this);
        }
    }

    /** Reads this idle connection once more. Returns whether nothing has arrived on it, neither bytes nor its end. */
    boolean nothingHasArrived() {
        if (channel.isActive()) {
            ((AbstractNioChannel) channel).unsafe().read();
        }
        boolean unknown = channel instanceof RetryingSocketChannel retrying && retrying.readFailing();
        return channel.isActive() && !unknown && !unexpectedData && !decoder.hasPartialMessage();
    }

    /** The request was sent, or its write failed. Also called if the exchange has been abandoned. */
    private void onRequestWritten(Exchange sent, boolean success) {
        if (success && sent instanceof Attempt) {
            node.metrics.recordDispatch();
        }
        if (exchange != sent) {
            return;
        }
        requestWritten = success;
        if (!requestWritten) {
            connectionLost();
            channel.close();
        }
    }

    @Override
    public void writeBody(ByteBuf content) {
        channel.writeAndFlush(new DefaultHttpContent(content), channel.voidPromise());
    }

    @Override
    public void finishBody() {
        Exchange current = exchange;
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(f -> {
            if (current instanceof Attempt a) {
                a.sentAtMs = node.clock.now();
            }
            onRequestWritten(current, f.isSuccess());
        });
    }

    @Override
    public boolean writable() {
        return channel.isWritable();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (streamedBody != null) {
            streamedBody.send();
        }
        if (keptBody != null) {
            keptBody.send();
        }
    }

    String responseProgress() {
        if (responseHead == null) {
            return null;
        }
        return bufferedBody.readableBytes() + " of "
                + responseHead.headers().get(HttpHeaderNames.CONTENT_LENGTH, "unknown")
                + " body bytes received, head "
                + (long) (node.clock.now() - headReceivedAtMs) + " ms ago";
    }

    private String traceId() {
        return exchange instanceof Attempt a ? a.openRequest.traceId : "none";
    }

    /** Ends the exchange without a response. The host may have run the request only if its last byte was sent. */
    void connectionLost() {
        if (exchange != null
                && idleBeforeRequestMs > HostPool.MIN_IDLE_LIMIT_MS
                && node.clock.now() - writeStartedAtMs < STALE_CONNECTION_MS) {
            node.tally.note(
                    Tally.Count.CLOSED_EARLY,
                    traceId(),
                    pool.address.toString(),
                    "the connection had been idle for " + (long) idleBeforeRequestMs + " ms");
            pool.lowerIdleLimit(idleBeforeRequestMs);
        }
        ResponseTransfer broken = transfer;
        transfer = null;
        if (broken != null) {
            broken.abort();
        }
        endExchange(requestWritten ? Outcome.RESET : Outcome.CONNECT_FAILED, null);
    }

    private void endExchange(Outcome outcome, FullHttpResponse response) {
        Exchange current = exchange;
        exchange = null;
        stopStreaming();
        if (current != null) {
            current.connection = null;
            current.onEnd(outcome, response);
        }
    }

    private void stopStreaming() {
        IncomingRequest stopped = streamedBody;
        streamedBody = null;
        keptBody = null;
        if (stopped != null) {
            stopped.detach(this);
        }
    }

    /** Closes the connection without reporting an end to its exchange. */
    void discard() {
        exchange = null;
        stopStreaming();
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        node.eventLoopLag.observeDelayMs();
        try {
            HttpObject object = (HttpObject) message;
            if (exchange == null && transfer == null || completeResponse != null) {
                unexpectedData = true; // there was no request, or it was abandoned
                if (object instanceof HttpResponse) {
                    node.tally.add(Tally.Count.SURPLUS);
                }
                channel.close();
            } else if (object.decoderResult().isFailure()) {
                rejectResponse(String.valueOf(object.decoderResult().cause()));
            } else {
                handleObject(object);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void handleObject(HttpObject object) {
        if (object instanceof HttpResponse response) {
            if (!MessageLength.isDelimited(response)) {
                rejectResponse("no length and no close announced for " + response.status() + ", "
                        + response.headers().names());
                return;
            }
            headReceivedAtMs = node.clock.now();
            boolean interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            responseHead = interim ? null : response;
            if (interim) {
                releaseFields(response.headers());
            } else if (ResponseStreamingPolicy.isLong(declaredBytes())) {
                node.loop.schedule(
                        ErrorReport.contain("response not passed on", () -> passOnSlowResponse(response)),
                        ResponseStreamingPolicy.MAX_BUFFERING_MS,
                        TimeUnit.MILLISECONDS);
            }
        }
        if (object instanceof HttpContent content && responseHead != null) {
            handleContent(content);
        }
        if (object instanceof LastHttpContent last) {
            releaseFields(last.trailingHeaders()); // trailers are not used
        }
    }

    private static void releaseFields(HttpHeaders headers) {
        CountedHeaders counted = CountedHeaders.of(headers);
        if (counted != null) {
            counted.release();
        }
    }

    /** Drops what the account counts, and ends the attempt as for a response that can't be read. */
    @Override
    public void giveUp() {
        node.recordMemoryRejection(MemoryUse.HOST_RESPONSE);
        decoder.discard();
        CountedHeaders head = responseHead == null ? null : CountedHeaders.of(responseHead.headers());
        if (head != null && completeResponse == null) {
            head.clear();
        }
        node.loop.execute(ErrorReport.contain("host connection not ended", this::endAfterGivingUp));
    }

    private void endAfterGivingUp() {
        if (exchange != null || transfer != null) {
            rejectResponse("no memory for its head");
        } else {
            channel.close();
        }
    }

    private void rejectResponse(String reason) {
        node.tally.note(Tally.Count.UNREADABLE, traceId(), pool.address.toString(), reason);
        connectionLost();
        channel.close();
    }

    private void handleContent(HttpContent content) {
        int bytes = content.content().readableBytes();
        int size = bufferedBody.readableBytes() + bytes;
        boolean tooLong =
                size > ResponseStreamingPolicy.MAX_BUFFERED_BYTES || bytes > 0 && node.memoryBudget.refuses(size);
        if (transfer == null && tooLong && !startTransfer()) {
            rejectResponse("response too long to be buffered");
            return;
        }
        if (transfer != null) {
            transfer.write(content.content().retain());
        } else if (bytes > 0) {
            buffer(content.content());
        }
        if (content instanceof LastHttpContent) {
            responseComplete();
        }
    }

    private void buffer(ByteBuf content) {
        if (bufferedBody == Unpooled.EMPTY_BUFFER) {
            bufferedBody = channel.alloc().buffer(content.readableBytes());
        }
        bufferedBody.writeBytes(content);
        node.memoryBudget.reserve(bufferedBody.capacity() - bufferedCapacity);
        bufferedCapacity = bufferedBody.capacity();
    }

    private ByteBuf takeBufferedBody() {
        ByteBuf body = bufferedBody;
        node.memoryBudget.release(bufferedCapacity);
        bufferedCapacity = 0;
        bufferedBody = Unpooled.EMPTY_BUFFER;
        return body;
    }

    /** Starts to stream the response if it is successful and a client waits for it. */
    private boolean startTransfer() {
        boolean success = requestWritten && ResponseReader.outcome(responseHead) == Outcome.OK;
        transfer = success && exchange != null ? exchange.responseStarted(responseHead, this) : null;
        if (transfer == null) {
            return false;
        }
        exchange.connection = null;
        exchange = null;
        if (bufferedBody.isReadable()) {
            transfer.write(takeBufferedBody());
        }
        return true;
    }

    /**
     * Starts to stream a response that is being received, at a time at which the exchange would otherwise be abandoned.
     * Returns false if there is none, or if it is not worth waiting for.
     */
    boolean passOnResponse() {
        boolean inProgress = responseHead != null && completeResponse == null && transfer == null;
        if (!inProgress
                || !ResponseStreamingPolicy.passesOn(
                        declaredBytes(), bufferedBody.readableBytes(), node.clock.now() - headReceivedAtMs)
                || !startTransfer()) {
            return false;
        }
        transfer.flush();
        return true;
    }

    /** Starts to stream a long response that has been on its way for a while, unless its client has sent more requests. */
    private void passOnSlowResponse(HttpResponse head) {
        if (responseHead == head && exchange != null && exchange.passesOnEarly()) {
            passOnResponse();
        }
    }

    private long declaredBytes() {
        return HttpUtil.getContentLength(responseHead, ResponseStreamingPolicy.UNKNOWN_LENGTH);
    }

    private void responseComplete() {
        if (transfer == null) {
            completeResponse = new DefaultFullHttpResponse(
                    responseHead.protocolVersion(),
                    responseHead.status(),
                    takeBufferedBody(),
                    responseHead.headers(),
                    EmptyHttpHeaders.INSTANCE);
            return;
        }
        ResponseTransfer done = transfer;
        transfer = null;
        transferComplete = true;
        done.finish();
    }

    /**
     * Ends the exchange only once all received bytes are processed. Bytes after the response, such as a duplicate
     * or a body that is longer than declared, would be read as the response to the next request on this connection.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        FullHttpResponse response = completeResponse;
        completeResponse = null;
        if (transfer != null) {
            transfer.flush();
        } else if (transferComplete) {
            transferComplete = false;
            setReading(true);
            reuseOrClose();
        } else if (response == null) {
            if (exchange == null && decoder.hasPartialMessage()) {
                channel.close();
            }
        } else {
            try {
                reuseOrClose();
                endExchange(ResponseReader.outcome(response), response);
            } finally {
                response.release();
            }
        }
    }

    private void reuseOrClose() {
        if (requestWritten
                && !unexpectedData
                && !decoder.hasPartialMessage()
                && !pool.closed
                && !account.closed()
                && HttpUtil.isKeepAlive(responseHead)) {
            idleSinceMs = node.clock.now();
            pool.idle.addLast(this);
        } else {
            channel.close();
        }
        releaseFields(responseHead.headers());
        responseHead = null;
    }

    @Override
    public void setReading(boolean reading) {
        if (channel.config().isAutoRead() != reading) {
            channel.config().setAutoRead(reading);
        }
    }

    @Override
    public void abandon() {
        transfer = null;
        channel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (pool.idle.remove(this)) {
            // Closed by the host: connections that this side closes leave the pool first.
            pool.lowerIdleLimit(node.clock.now() - idleSinceMs);
        }
        connectionLost();
        takeBufferedBody().release();
        account.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof Error) {
            ErrorReport.report("host connection closed", cause);
        }
        connectionLost();
        channel.close();
    }
}
