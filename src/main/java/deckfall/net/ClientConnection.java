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

/**
 * One client connection. It serves one request at a time, in order; pipelined requests wait as they were received.
 *
 * <p>What the connection holds for requests that are not admitted, and responses that its client does not take, counts
 * in its account of the memory budget. If the account has to give up, the connection drops it, answers the admitted
 * request that it may have, otherwise with an error, and closes.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter
        implements StrictRequestDecoder.Receiver, MemoryBudget.Holder {
    private static final int MAX_READ_AHEAD_BYTES = 512 * 1024; // per connection; beyond this, reading is paused
    private static final int MAX_UNDECODED_BYTES = 64 * 1024; // the same while no response is awaited
    // After this much work other connections have their turn. The unit is the time that a byte of a head takes, by the
    // memory that its fields need
    private static final int MAX_WORK_PER_TURN = 32 * 1024;
    private static final int REQUEST_WORK = 2 * 1024; // of a request, in addition to its head
    private static final int CONTENT_WORK = 512; // of a part of a body
    private static final int MAX_IMMEDIATE_BYTES = 4 * 1024; // an ordinary request is processed when it has been read
    private static final int MAX_UNSENT_BYTES_UNDER_PRESSURE = 4 * 1024; // of a response, while much memory is held
    private static final int MAX_READS_FOR_CLOSE = 8; // to find a close by the client behind what it has sent
    private static final int MAX_UNSENT_WRITES = 512; // with more, no request is processed until some are sent
    private static final int MAX_IMPROPER_REQUESTS = 8; // a connection is closed with the response to the last one
    private static final int MAX_DECODED_BYTES = 16 * 1024; // decoded parts of a body that wait to be processed
    // Only what follows a request is taken back if all memory together is at least this multiple of the request's
    private static final int MIN_READ_AHEAD_RATIO = 4;
    private static final int CONTENT_OBJECT_BYTES = 192; // the objects of a queued part of a message
    // Below the 100 ms within which an attempt may still start after its client has left: a pause hides the close
    private static final long MAX_READ_PAUSE_MS = 80;
    // A client that has sent no complete head, or too little of its body, by then gets a 408 response
    private static final long REQUEST_TIMEOUT_MS = 2500;
    private static final double MIN_BODY_BYTES_PER_MS = 32; // a slower body is then rejected
    private static final long DISCARD_TIMEOUT_MS = 2000; // how long the rest of an unwanted body is read
    private static final double RESPONSE_STALL_TIMEOUT_MS = 20_000; // how long a client may leave a response unread
    private static final double MS_PER_SECOND = 1000;
    private static final int DEADLINE_READ_AHEAD_BYTES = 1 << 20; // at the deadline, to find the end of a body
    private static final String READINESS_PATH = "/healthz";

    /** A part of a request, and when it was received. */
    private record QueuedMessage(HttpObject message, double receivedMs) {}

    private final ClientServer server;
    private final Node node;
    private final RetryingSocketChannel channel;
    private final MemoryBudget.Account account; // of what was received and is not admitted
    private final UnsentResponses unsentResponses;
    private final StrictRequestDecoder decoder;
    private final ArrayDeque<QueuedMessage> queue = new ArrayDeque<>();
    private final UnreadBytes unreadBytes = new UnreadBytes();
    private CloseReason closeReason; // null until this side decides to close
    private int queuedBytes;
    private Future<?> readPauseTimeout; // ends a read pause, in which a close by the client is not noticed
    private boolean mayHaveLeft; // reading is paused for so long that the client may have left unnoticed
    private boolean closeAfterTransfer; // the connection is closed after the response that is being streamed
    private IncomingRequest incoming; // null once its last byte has been received
    private OpenRequest openRequest;
    private ResponseTransfer transfer;
    private boolean hasSentRequest; // a complete request has been received
    private boolean busy;
    private boolean keepAlive = true;
    private boolean http10; // of the current request: its client does not support chunked encoding
    private boolean closeDelimited; // the close of the connection ends the response
    private boolean closing; // the last response is on its way
    private boolean discarding; // the rest of an unwanted body is being read
    private long workInTurn; // work done in the current turn
    private boolean inTurn; // responses are flushed together at the end of the turn
    private boolean awaitsTurn; // the server will give it a further turn
    private boolean unflushed; // responses of the current turn
    private int improperRequests;
    private boolean gaveUp; // the account has given up: the connection is closed with its last response
    private double partialHeadSinceMs; // since when a head is awaited or incomplete, 0 if neither
    private double readPausedAtMs; // when reading was last paused
    private double lastUsedMs;
    private double messageReceivedMs; // of the message being processed; the client's time runs from there

    ClientConnection(ClientServer server, Node node, RetryingSocketChannel channel) {
        this.server = server;
        this.node = node;
        this.channel = channel;
        this.account = node.memoryBudget.openAccount(this);
        this.unsentResponses = new UnsentResponses(
                channel, node.memoryBudget.openAccount(this::giveUpUnsent), () -> executeLater(this::afterAllSent));
        this.decoder = new StrictRequestDecoder(this, account);
    }

    /** The decoder whose requests this connection serves. */
    StrictRequestDecoder decoder() {
        return decoder;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        node.eventLoopLag.observeDelayMs();
        server.connectionOpened(this);
        lastUsedMs = node.clock.now();
        partialHeadSinceMs = lastUsedMs; // before the first complete request, time counts from the connect
        if (!server.makeRoomFor(this) && safeToClose()) {
            close(CloseReason.NO_DESCRIPTOR);
        }
    }

    /** Closes the connection without a further response. If the client closes it first, that is the recorded reason. */
    void close(CloseReason reason) {
        server.connectionClosed(this); // now, as channelInactive is called only later
        if (closeReason == null && channel.isActive()) {
            closeReason = reason;
        }
        channel.close();
    }

    /** Whether a close would lose nothing, not even data that has arrived and that the event loop has not read yet. */
    boolean safeToClose() {
        readNow();
        return !busy
                && !closing
                && incoming == null
                && queue.isEmpty()
                && !decoder.hasPartialMessage()
                && !channel.readFailing()
                && channel.allWritten();
    }

    private void readNow() {
        if (channel.isActive() && channel.config().isAutoRead()) {
            ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
        }
    }

    /**
     * Closes the connection if its client is silent or never completes its request. The client gets a response, as it
     * may be waiting for one.
     */
    void closeIfTooSlow(double now) {
        if (transfer != null) {
            transfer.abortIfStalled(now);
        } else if (discarding) {
            if (now - lastUsedMs > DISCARD_TIMEOUT_MS) {
                close(gaveUp ? CloseReason.MEMORY : CloseReason.SLOW);
            }
        } else if (!busy && unsentResponses.countedBytes() > 0 && now - lastUsedMs > RESPONSE_STALL_TIMEOUT_MS) {
            reset(CloseReason.SLOW);
        } else if (incoming != null) {
            double elapsedMs = now - incoming.startedMs - incoming.readPauseMs();
            // Before the first complete request, time counts from the connect
            double waitedMs = hasSentRequest ? elapsedMs : now - partialHeadSinceMs;
            boolean slow =
                    waitedMs > REQUEST_TIMEOUT_MS && incoming.receivedBytes() < elapsedMs * MIN_BODY_BYTES_PER_MS;
            boolean stopped = now - incoming.lastProgressMs() > REQUEST_TIMEOUT_MS;
            if ((slow || stopped) && channel.config().isAutoRead()) {
                respondAndClose(HttpResponseStatus.REQUEST_TIMEOUT);
            }
        } else if (!busy
                && !closing
                && queue.isEmpty()
                && partialHeadSinceMs > 0
                && now - partialHeadSinceMs > REQUEST_TIMEOUT_MS) {
            respondAndClose(HttpResponseStatus.REQUEST_TIMEOUT);
        }
    }

    /**
     * Closes the connection at the end of a drain, once the responses on their way have been written. A partial request
     * is refused.
     */
    void closeAtDrainEnd() {
        readNow();
        do { // what has been read may be requests
            workInTurn = 0;
            processHeld();
        } while (turnIsOver() && hasUnprocessed() && !closing && channel.isActive());
        if (incoming != null && !closing) {
            respond(HttpResponseStatus.SERVICE_UNAVAILABLE, 0);
        } else if (!busy && !closing) {
            closing = true;
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER) // after all responses that are still queued
                    .addListener(f -> close(CloseReason.DRAINED));
        }
    }

    private void respondAndClose(HttpResponseStatus status) {
        keepAlive = false;
        busy = true;
        server.setIdle(this, false);
        OpenRequest unfinished = openRequest;
        if (unfinished != null) {
            // Its body will not be completed, or it is unknown whether its client still waits
            node.clientDisconnected(unfinished);
        }
        respond(status, 0);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        server.connectionClosed(this);
        node.connectionClosed(closeReason == null ? CloseReason.CLIENT : closeReason, unansweredRequests());
        discardQueue();
        closing = true;
        if (readPauseTimeout != null) {
            readPauseTimeout.cancel(false);
        }
        OpenRequest unfinished = openRequest;
        openRequest = null;
        if (unfinished != null) {
            node.clientDisconnected(unfinished);
        }
        if (transfer != null) {
            transfer.clientDisconnected();
        }
        if (incoming != null) {
            incoming.release();
            incoming = null;
        }
        account.close();
        unsentResponses.close();
    }

    @Override
    public boolean takesNext(boolean insideRequest) {
        if (closing) {
            return discarding;
        }
        if (!inTurn && waitsForTurn()) {
            return false;
        }
        return insideRequest
                ? queuedBytes < MAX_DECODED_BYTES && !turnIsOver()
                : !busy && queue.isEmpty() && !mustWait();
    }

    @Override
    public void received(int bytes) {
        unreadBytes.read(bytes, node.clock.now());
    }

    @Override
    public double receiveTimeMs() {
        return unreadBytes.earliestMs(node.clock.now(), maxWaitMs());
    }

    /** How long bytes that are read now may have waited at most, if nothing was left unread before. */
    private double maxWaitMs() {
        return Math.max(node.eventLoopLag.observeDelayMs(), channel.readDelayMs());
    }

    /**
     * Reads what has arrived of a body, beyond what is usually read ahead, to see whether its end has. If all is read and
     * the end is not among it, the client has not sent it yet.
     */
    void readBodyAhead() {
        IncomingRequest message = incoming;
        if (message == null) {
            return;
        }
        message.allowReadAhead(DEADLINE_READ_AHEAD_BYTES);
        processHeld();
        long before = -1;
        while (incoming == message && !unreadBytes.foundEmpty() && message.receivedBytes() > before) {
            before = message.receivedBytes();
            readNow();
            processHeld();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (discarding && message instanceof LastHttpContent) {
            close(CloseReason.ANSWERED);
        }
        if (closing) {
            ReferenceCountUtil.release(message);
            return;
        }
        queue.add(new QueuedMessage((HttpObject) message, decoder.receiveTimeMs()));
        addQueuedBytes(sizeBytes(message));
    }

    /** The number of complete requests that were read and whose response has not begun. */
    private int unansweredRequests() {
        long completeRequests = queue.stream()
                .filter(queued -> queued.message() instanceof LastHttpContent)
                .count();
        boolean undecoded = busy && !closing && decoder.undecodedBytes() > 0;
        return (int) completeRequests
                + (undecoded ? 1 : 0)
                + (openRequest != null && openRequest.message.complete() ? 1 : 0);
    }

    /**
     * Processes what has been read in a separate task, as the first attempt reads the connection once more, which can't
     * be done inside a read.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        server.setIdle(this, false); // a close would lose what has been read
        if (channel.allRead()) {
            unreadBytes.readInFull(node.clock.now());
            mayHaveLeft = false; // a close would have been read
        } else {
            unreadBytes.leftUnread(node.clock.now(), maxWaitMs());
        }
        channel.resetReadDelay();
        if (waitsForTurn()) {
            scheduleTurn();
        } else {
            executeLater(this::processRead);
        }
    }

    /** Runs an action of this connection in a task of its own, for which exceptionCaught is not called. */
    private void executeLater(Runnable action) {
        node.loop.execute(() -> contain(action));
    }

    /** Runs an action of this connection. What it throws closes this connection. */
    void contain(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException | Error e) {
            closeOnError(e);
        }
    }

    /**
     * Processes what has been read, up to the work of a turn, so that a client that sends much at once does not hold up
     * others.
     */
    void processRead() {
        awaitsTurn = false;
        if (!channel.isActive()) {
            return;
        }
        workInTurn = 0;
        processHeld();
        if (turnIsOver() && hasUnprocessed() && !closing) {
            scheduleTurn();
            return;
        }
        boolean partial = !busy && decoder.hasPartialMessage();
        if (!partial && hasSentRequest) {
            partialHeadSinceMs = 0;
        } else if (partialHeadSinceMs == 0) {
            partialHeadSinceMs = node.clock.now();
        }
        if (partial) {
            server.setIdle(this, false); // a close would lose the part of a request that has been read
        } else if (!busy && !closing && queue.isEmpty()) {
            server.setIdle(this, true);
        }
    }

    /** The memory of a queued object, without the fields of a head or trailer, which are counted by themselves. */
    private static int sizeBytes(Object message) {
        return CONTENT_OBJECT_BYTES
                + (message instanceof HttpContent c ? c.content().readableBytes() : 0);
    }

    private void addQueuedBytes(int bytes) {
        queuedBytes += bytes;
        account.change(bytes);
    }

    private void discardQueue() {
        queue.forEach(queued -> ReferenceCountUtil.release(queued.message()));
        queue.clear();
        addQueuedBytes(-queuedBytes);
    }

    /** Whether so much is to be processed that others go first. */
    private boolean waitsForTurn() {
        return awaitsTurn || decoder.undecodedBytes() > MAX_IMMEDIATE_BYTES;
    }

    private void scheduleTurn() {
        if (!awaitsTurn) {
            awaitsTurn = true;
            server.scheduleTurn(this);
        }
    }

    private boolean turnIsOver() {
        return workInTurn >= MAX_WORK_PER_TURN;
    }

    private boolean hasUnprocessed() {
        return !queue.isEmpty() || decoder.undecodedBytes() > 0;
    }

    /** Processes what has been decoded, and decodes what was received as far as this connection takes it now. */
    private void processHeld() {
        inTurn = true;
        try {
            processQueue();
            for (decoder.decodeHeld(); !queue.isEmpty() && !mustWait(); decoder.decodeHeld()) {
                processQueue();
            }
        } catch (Exception e) { // the decoder reports improper messages as such
            closeOnError(e);
            return;
        } finally {
            inTurn = false;
            flushTurn();
        }
        updateAutoRead();
    }

    private void flushTurn() {
        if (unflushed) {
            unflushed = false;
            flush();
        }
    }

    /** Whether nothing more is processed for now. */
    private boolean mustWait() {
        boolean awaitsResponse = busy && incoming == null;
        boolean takesNoResponses = !busy && !channel.isWritable() && channel.unsentWrites() >= MAX_UNSENT_WRITES;
        boolean endsRequest = busy && !queue.isEmpty() && queue.peek().message() instanceof LastHttpContent;
        return closing || awaitsResponse || takesNoResponses || turnIsOver() && !endsRequest;
    }

    private void processQueue() {
        while (!queue.isEmpty() && !mustWait()) {
            QueuedMessage next = queue.poll();
            HttpObject message = next.message();
            messageReceivedMs = next.receivedMs();
            addQueuedBytes(-sizeBytes(message));
            try {
                if (message instanceof HttpRequest head) {
                    startRequest(head);
                }
                if (message instanceof HttpContent content && incoming != null) {
                    handleContent(content);
                }
            } finally {
                releaseTrailer(message);
                ReferenceCountUtil.release(message);
            }
        }
    }

    /** Trailers are not used. */
    private static void releaseTrailer(HttpObject message) {
        CountedHeaders trailer =
                message instanceof LastHttpContent last ? CountedHeaders.of(last.trailingHeaders()) : null;
        if (trailer != null) {
            trailer.release();
        }
    }

    /**
     * Reads on only while there is room for more data. Requests that were read ahead stay queued as they were received.
     */
    private void updateAutoRead() {
        boolean bodyAcceptsMore = incoming == null || closing || incoming.acceptsMore();
        boolean autoRead = bodyAcceptsMore && queuedBytes + decoder.undecodedBytes() < maxReadAheadBytes();
        if (channel.config().isAutoRead() != autoRead) {
            recordReadPause(autoRead);
            channel.config().setAutoRead(autoRead);
        }
        boolean mayHideClose = !autoRead && !closing && !awaitsTurn && !(incoming != null && incoming.streamed());
        if (!mayHideClose && readPauseTimeout != null) {
            readPauseTimeout.cancel(false);
            readPauseTimeout = null;
        } else if (mayHideClose && readPauseTimeout == null) {
            readPauseTimeout = node.loop.schedule(
                    () -> contain(this::onReadPauseTimeout), MAX_READ_PAUSE_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** The bound of what is read ahead: half as much once reading is paused, so that it is not paused at each request. */
    private int maxReadAheadBytes() {
        boolean awaitsResponse = busy && incoming == null;
        int bound = awaitsResponse ? MAX_READ_AHEAD_BYTES : MAX_UNDECODED_BYTES;
        return channel.config().isAutoRead() ? bound : bound / 2;
    }

    private void recordReadPause(boolean ends) {
        double now = node.clock.now();
        if (!ends) {
            readPausedAtMs = now;
            unreadBytes.leftUnread(now, maxWaitMs());
            return;
        }
        executeLater(this::readNow); // without a read it would be unknown whether anything has arrived
        if (incoming != null) {
            incoming.readPaused(now - readPausedAtMs, now);
            node.metrics.recordReadPause(now - readPausedAtMs);
        }
    }

    /**
     * Handles a read pause that takes too long. A close by the client can't be noticed behind unread data, and nothing
     * may be sent to a host for a client that has left. A request that a host may be running is not refused, as its
     * client would send it again.
     */
    private void onReadPauseTimeout() {
        readPauseTimeout = null;
        updateAutoRead(); // memory may have become free
        if (readPauseTimeout == null) {
            return;
        }
        if (mayHaveLeft || transfer != null || openRequest != null && openRequest.mayHaveRun()) {
            mayHaveLeft = true; // its response is still awaited, but nothing more is sent to a host for this client
        } else {
            respondAndClose(HttpResponseStatus.SERVICE_UNAVAILABLE);
        }
    }

    /** Whether it is unknown if the client has closed its connection, as what it has sent could not be read so far. */
    boolean mayHaveLeft() {
        return mayHaveLeft;
    }

    /** Whether the client has closed its connection, even if the event loop has been too busy to notice. */
    boolean closedByClient() {
        for (int i = 0; i < MAX_READS_FOR_CLOSE; i++) {
            readNow();
            if (unreadBytes.foundEmpty()) {
                break;
            }
        }
        return !channel.isActive();
    }

    private void startRequest(HttpRequest head) {
        busy = true;
        CountedHeaders fields = CountedHeaders.of(head.headers());
        workInTurn += REQUEST_WORK + (fields == null ? 0 : fields.bytes());
        server.setIdle(this, false);
        http10 = head.protocolVersion().compareTo(HttpVersion.HTTP_1_1) < 0;
        if (head.decoderResult().isFailure() || !SingleFields.hasProperHost(head)) {
            keepAlive = false; // it may be unknown where the next request would start
            respond(HttpResponseStatus.BAD_REQUEST, 0);
            return;
        }
        keepAlive = HttpUtil.isKeepAlive(head) && !gaveUp;
        incoming = new IncomingRequest(
                head, RequestTarget.originForm(head.uri()), node.memoryBudget, account, node.clock.now());
        incoming.onAcceptsMore(this::updateAutoRead);
        if (incoming.tooLong()) {
            respond(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, 0);
        } else if (!http10 && head.headers().contains(HttpHeaderNames.EXPECT)) {
            handleExpect(head);
        }
    }

    /** Responds to an Expect header before the body arrives, with a final response or with 100 Continue. */
    private void handleExpect(HttpRequest head) {
        if (!HttpUtil.is100ContinueExpected(head)) {
            respond(HttpResponseStatus.EXPECTATION_FAILED, 0);
            return;
        }
        Request request = server.requestReader().read(incoming, messageReceivedMs);
        if (request == null) {
            respondInvalid(incoming);
        } else if (refusesNewRequest(incoming)) {
            refuseOverload(request);
        } else if (incoming.hasBody()) {
            channel.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER),
                    channel.voidPromise());
        }
    }

    private void handleContent(HttpContent content) {
        IncomingRequest message = incoming;
        workInTurn += CONTENT_WORK;
        if (content.decoderResult().isFailure()) {
            rejectMalformed();
            return;
        }
        message.madeProgress(node.clock.now());
        message.add(content.content());
        if (message.dropped()) {
            return;
        }
        if (message.tooLong()) {
            rejectMalformed();
        } else if (content instanceof LastHttpContent) {
            incoming = null;
            hasSentRequest = true;
            requestComplete(message);
        } else if (openRequest == null && message.exceedsKeptSize()) {
            admit(message);
        }
    }

    /**
     * Rejects a request whose end is unknown, so that the rest of its body can't be told apart from what follows it.
     */
    private void rejectMalformed() {
        keepAlive = false;
        OpenRequest unfinished = openRequest;
        if (unfinished != null) {
            node.clientDisconnected(unfinished);
        }
        respond(HttpResponseStatus.BAD_REQUEST, 0);
    }

    private void requestComplete(IncomingRequest message) {
        message.markComplete();
        if (openRequest != null) { // admitted before it was complete
            node.bodyReceived(openRequest, messageReceivedMs);
        } else if (READINESS_PATH.equals(message.uri)) {
            message.release();
            respond(node.ready() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, 0);
        } else {
            admit(message);
        }
    }

    private void admit(IncomingRequest message) {
        Request request = server.requestReader().read(message, messageReceivedMs);
        if (request == null) {
            message.release();
            respondInvalid(message);
        } else if (refusesNewRequest(message) || node.clock.now() >= request.deadlineMs()) {
            message.release();
            refuseOverload(request);
        } else {
            message.admit();
            node.requestReceived(request, messageReceivedMs, message, this);
        }
    }

    private void respondInvalid(IncomingRequest message) {
        improperRequests++;
        keepAlive &= improperRequests < MAX_IMPROPER_REQUESTS;
        respond(
                message.head.headers().contains(HeaderNames.TRACE_ID)
                        ? HttpResponseStatus.BAD_REQUEST
                        : HttpResponseStatus.NOT_FOUND,
                0);
    }

    private boolean refusesNewRequest(IncomingRequest message) {
        return mayHaveLeft
                || node.openLimitReached()
                || node.memoryBudget.refuses(message.heldBytes())
                || node.drainExpired();
    }

    private void refuseOverload(Request request) {
        node.metrics.recordResult(request.requestClass(), Metrics.Result.OVERLOAD);
        respond(
                HttpResponseStatus.SERVICE_UNAVAILABLE,
                node.config.settings().limits().maxRetryAfterMs());
    }

    /** When the connection was last used, on the node's clock. */
    double lastUsedMs() {
        return lastUsedMs;
    }

    /** Whether a complete request has been received on this connection. */
    boolean hasSentRequest() {
        return hasSentRequest;
    }

    void setOpenRequest(OpenRequest request) {
        openRequest = request;
    }

    /** Forwards a host's complete response. */
    void sendResponse(FullHttpResponse hostResponse) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.OK,
                hostResponse.content().retain());
        String type = hostResponse.headers().get(HttpHeaderNames.CONTENT_TYPE);
        if (type != null) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
        }
        write(response);
    }

    /** Forwards the head of a response whose body is streamed. */
    void beginResponse(HttpResponse hostResponse, ResponseTransfer responseTransfer) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        for (CharSequence name : List.of(HttpHeaderNames.CONTENT_TYPE, HttpHeaderNames.CONTENT_LENGTH)) {
            String value = hostResponse.headers().get(name);
            if (value != null) {
                response.headers().set(name, value);
            }
        }
        if (!HttpUtil.isContentLengthSet(response)) {
            closeDelimited = http10;
            HttpUtil.setTransferEncodingChunked(response, !closeDelimited);
        }
        transfer = responseTransfer;
        openRequest = null;
        setConnectionHeader(response);
        channel.write(response, channel.voidPromise());
    }

    /** Writes a part of the streamed body and takes ownership of the buffer. */
    void writeContent(ByteBuf content) {
        channel.write(new DefaultHttpContent(content), channel.voidPromise());
    }

    void flush() {
        channel.flush();
        unsentResponses.count();
    }

    private void afterAllSent() {
        unsentResponses.countAgain();
        if (transfer != null) {
            transfer.clientWritable();
        }
    }

    /** Whether more of a streamed response can be written. With many slow readers, little is held for each. */
    boolean writable() {
        return channel.isWritable()
                && (!node.memoryBudget.underPressure() || channel.unsentBytes() <= MAX_UNSENT_BYTES_UNDER_PRESSURE);
    }

    /** Ends the streamed response, which is complete. */
    void finishResponse(ChannelFutureListener listener) {
        transfer = null;
        ChannelFuture lastWrite = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        lastWrite.addListener(listener);
        unsentResponses.count();
        responseWritten(lastWrite);
    }

    /**
     * Resets the connection, as the rest of the response will not arrive. Only a reset can't be mistaken for the end of
     * a complete response.
     */
    void reset() {
        transfer = null;
        reset(CloseReason.CUT_OFF);
    }

    private void reset(CloseReason reason) {
        if (channel.isActive()) {
            channel.config().setSoLinger(0);
        }
        close(reason);
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
        response.headers()
                .setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        setConnectionHeader(response);
        ChannelFuture sent = null;
        if (closing) {
            sent = channel.write(response);
        } else {
            channel.write(response, channel.voidPromise());
        }
        if (inTurn) {
            unflushed = true;
        } else {
            flush();
        }
        responseWritten(sent);
    }

    /** Decides whether the connection stays open after this response, and sets the Connection header. */
    private void setConnectionHeader(HttpResponse response) {
        boolean mustClose = !keepAlive || closeDelimited || incoming != null;
        closing = mustClose || (node.draining() || server.aboveKeepAliveLimit()) && !hasReadAhead();
        if (closing) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        } else if (http10) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
        }
    }

    /**
     * Whether a part of a further request has been read already, which would get no response if this one were the last.
     */
    boolean hasReadAhead() {
        readNow();
        return !queue.isEmpty() || decoder.hasPartialMessage();
    }

    /** Continues after a response was written; {@code sent} is required if it is the last one. */
    private void responseWritten(ChannelFuture sent) {
        openRequest = null;
        busy = false;
        lastUsedMs = node.clock.now();
        closing |= closeAfterTransfer;
        if (closing) {
            closeAfter(sent);
            return;
        }
        if (!hasUnprocessed()) {
            server.setIdle(this, true);
        } else if (!inTurn) {
            executeLater(this::processRead);
        }
    }

    /**
     * Closes the connection once the last response was sent. A client that is still sending would lose the response to
     * a close, so the rest of its body is read for a while first.
     */
    private void closeAfter(ChannelFuture sent) {
        discardQueue();
        discarding = incoming != null || gaveUp;
        if (incoming == null) {
            decoder.discard();
        } else {
            incoming.release();
            incoming = null;
        }
        if (discarding) {
            sent.addListener(f -> channel.shutdownOutput());
            channel.config().setAutoRead(true);
        } else {
            sent.addListener(f -> close(CloseReason.ANSWERED));
        }
    }

    /**
     * Drops what the account counts. Where a response is needed for that, it is sent in a task of its own, as this is
     * called while this connection or another one handles what it has received.
     */
    @Override
    public void giveUp() {
        MemoryUse use = receivedMemoryUse();
        node.recordMemoryRejection(use);
        gaveUp = true;
        keepAlive = false;
        closeAfterTransfer = true;
        if (use != MemoryUse.READ_AHEAD || busy) {
            discardQueue();
        }
        decoder.discard();
        if (incoming != null && !incoming.admitted()) {
            incoming.drop();
        }
        executeLater(() -> endAfterGivingUp(use));
    }

    /** What most of the memory that was received is used for. */
    private MemoryUse receivedMemoryUse() {
        if (busy ? incoming == null : readAheadOfSmallRequest()) {
            return MemoryUse.READ_AHEAD;
        }
        boolean moreThanAHead = decoder.undecodedBytes() > MAX_DECODED_BYTES;
        return busy || moreThanAHead ? MemoryUse.BODY : MemoryUse.HEAD;
    }

    /** Whether a complete request waits to be processed, and most of the memory is used for what follows it. */
    private boolean readAheadOfSmallRequest() {
        long decodedBytes = account.bytes() - decoder.undecodedMemory();
        return !queue.isEmpty()
                && queue.peekLast().message() instanceof LastHttpContent
                && decodedBytes < account.bytes() / MIN_READ_AHEAD_RATIO;
    }

    private void endAfterGivingUp(MemoryUse use) {
        if (!channel.isActive() || closing || use == MemoryUse.READ_AHEAD) {
            return; // the last response, or that of the admitted request, closes the connection
        }
        respondAndClose(
                use == MemoryUse.BODY
                        ? HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE
                        : HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE);
    }

    /** Resets the connection, as its client does not take its responses. */
    private void giveUpUnsent() {
        node.recordMemoryRejection(MemoryUse.UNSENT_RESPONSE);
        executeLater(() -> {
            if (transfer != null) {
                transfer.cutOff();
            } else {
                reset(CloseReason.MEMORY);
            }
        });
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (transfer != null) {
            transfer.clientWritable();
        } else if (!busy && channel.isWritable()) {
            executeLater(this::processRead);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        closeOnError(cause);
    }

    void closeOnError(Throwable cause) {
        boolean ioError = cause instanceof IOException;
        if (!ioError) {
            ErrorReport.report("client connection closed", cause);
        }
        close(ioError ? CloseReason.BROKEN : CloseReason.DEFECT);
    }
}
