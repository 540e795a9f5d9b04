package deckfall.net;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;

/**
 * A request that is being received from its client: the head, and the part of the body that has arrived and was not
 * forwarded yet. A body that was received completely can be sent any number of times; one that was streamed while it
 * arrived can be sent only once.
 *
 * <p>Its memory counts in the account of its connection until the request is admitted, then as an admitted request's.
 */
final class IncomingRequest {
    static final int MAX_BODY_BYTES = 32 << 20;
    static final int MAX_SMALL_BODY_BYTES = 64 * 1024; // kept in full even when memory is short
    static final int MAX_KEPT_BODY_BYTES = 256 * 1024; // kept in full while there is enough memory
    // Read up to this size although it can't be sent on yet, as the end of the body, from which the client's time
    // counts, and a close by the client are only noticed once they are read
    private static final int MAX_BUFFERED_BYTES = 1 << 20;
    private static final int UNKNOWN_LENGTH = -1;

    /** Receives the body while it arrives. */
    interface BodyReceiver {
        /** Takes ownership of the buffer. */
        void writeBody(ByteBuf content);

        void finishBody();

        boolean writable();
    }

    final HttpRequest head;
    final String uri; // in origin form, null if it was improper
    final long declaredBytes; // -1 for a chunked body
    final double startedMs;
    private final MemoryBudget memoryBudget;
    private final MemoryBudget.Account account;
    private final CountedHeaders countedHeaders; // null if the message could not be read
    private long heldBytes; // of the head and the buffer
    private int countedCapacity; // of the buffer
    private int maxBufferedBytes = MAX_BUFFERED_BYTES;
    private boolean admitted;
    private final BodyBuffer buffered = new BodyBuffer();
    private BodyReceiver receiver;
    private Runnable acceptsMoreListener = () -> {};
    private long receivedBytes;
    private double readPauseMs;
    private double lastProgressMs;
    private boolean complete;
    private boolean streamed; // at least partly forwarded to a receiver
    private boolean finishSent; // the receiver knows that the body is complete
    private boolean released;
    private boolean dropped;

    IncomingRequest(HttpRequest head, String uri, MemoryBudget memoryBudget, MemoryBudget.Account account, double now) {
        this.head = head;
        this.uri = uri;
        this.memoryBudget = memoryBudget;
        this.account = account;
        this.countedHeaders = CountedHeaders.of(head.headers());
        this.heldBytes = countedHeaders == null ? 0 : countedHeaders.bytes();
        this.startedMs = now;
        this.lastProgressMs = now;
        this.declaredBytes = HttpUtil.getContentLength(head, (long) UNKNOWN_LENGTH);
    }

    boolean hasBody() {
        return declaredBytes > 0 || HttpUtil.isTransferEncodingChunked(head);
    }

    boolean tooLong() {
        return Math.max(declaredBytes, receivedBytes) > MAX_BODY_BYTES;
    }

    long receivedBytes() {
        return receivedBytes;
    }

    /** Records that the client was not read for some time, until now, so that it could not send. */
    void readPaused(double pausedMs, double now) {
        readPauseMs += pausedMs;
        lastProgressMs = now;
    }

    /** Records that a part of the body has arrived. */
    void madeProgress(double now) {
        lastProgressMs = now;
    }

    /** When the client last sent a part of this request, or could again. */
    double lastProgressMs() {
        return lastProgressMs;
    }

    /** The time for which the client was not read since this request began. */
    double readPauseMs() {
        return readPauseMs;
    }

    /** How much of the body has arrived, for the log. */
    String progress() {
        return receivedBytes + " of " + (declaredBytes < 0 ? "chunked" : Long.toString(declaredBytes))
                + " body bytes received, " + (complete ? "complete" : "incomplete");
    }

    boolean complete() {
        return complete;
    }

    boolean streamed() {
        return streamed;
    }

    /** The whole body, to be sent in a message of its own; the caller must release it. */
    ByteBuf retainedBody() {
        return buffered.retainedContent();
    }

    /** The whole body, or the part of it that waits to be sent. */
    BodyBuffer body() {
        return buffered;
    }

    void add(ByteBuf content) {
        int bytes = content.readableBytes();
        receivedBytes += bytes;
        boolean kept = !released && (receiver != null || !streamed);
        if (kept && bytes > 0 && countBuffer(buffered.capacityWith(bytes))) {
            buffered.append(content);
            countBuffer(buffered.capacity()); // which may be less than was reserved
            send();
        }
    }

    /** Counts the buffer with this capacity. Returns false if it must not be held, as the account has given up. */
    private boolean countBuffer(int capacity) {
        int change = capacity - countedCapacity;
        if (change > 0 && !admitted && !account.reserve(change)) {
            return false;
        }
        if (change > 0 && admitted) {
            memoryBudget.reserve(change);
        }
        if (change < 0) {
            release(-change);
        } else {
            heldBytes += change;
        }
        countedCapacity = capacity;
        return true;
    }

    private void release(long less) {
        heldBytes -= less;
        if (admitted) {
            memoryBudget.release(less);
        } else {
            account.release(less);
        }
    }

    /** The memory that this request takes. */
    long heldBytes() {
        return heldBytes;
    }

    /** From now on the memory counts as that of an admitted request, until {@link #release}. */
    void admit() {
        admitted = true;
        account.moveToAdmitted(heldBytes);
    }

    boolean admitted() {
        return admitted;
    }

    boolean dropped() {
        return dropped;
    }

    /** Drops what is held of a request that was not admitted, as its connection has to give up its memory. */
    void drop() {
        dropped = true;
        if (countedHeaders != null) {
            countedHeaders.clear();
        }
        release();
    }

    void markComplete() {
        complete = true;
        send();
    }

    /** Whether more of the body is buffered than is kept while it is still arriving. */
    boolean exceedsKeptSize() {
        int bytes = buffered.size();
        return bytes >= MAX_KEPT_BODY_BYTES || bytes >= MAX_SMALL_BODY_BYTES && memoryBudget.nearlyExhausted();
    }

    /** Whether more of the body can be read from the client now. */
    boolean acceptsMore() {
        if (released || streamed && receiver == null) { // the rest is dropped
            return true;
        }
        if (memoryBudget.nearlyExhausted()) {
            return receiver == null ? buffered.size() < MAX_SMALL_BODY_BYTES : buffered.size() == 0;
        }
        return buffered.size() < maxBufferedBytes;
    }

    /** Lets this many bytes be read beyond what is buffered now, if there is enough memory. */
    void allowReadAhead(int bytes) {
        maxBufferedBytes = Math.max(maxBufferedBytes, buffered.size() + bytes);
    }

    /** Sets the listener that is called when more can be read after it could not. */
    void onAcceptsMore(Runnable listener) {
        acceptsMoreListener = listener;
    }

    /** Streams the body to the receiver from now on, starting with what is buffered. */
    void streamTo(BodyReceiver bodyReceiver) {
        streamed = true;
        receiver = bodyReceiver;
        send();
    }

    /** Sends on what is buffered, as far as the receiver takes it now, and reads on if there is room again. */
    void send() {
        if (receiver == null || finishSent) {
            return;
        }
        while (buffered.size() > 0 && receiver.writable()) {
            ByteBuf block = buffered.takeBlock();
            countBuffer(buffered.capacity());
            receiver.writeBody(block);
        }
        if (complete && buffered.size() == 0) {
            finishSent = true;
            receiver.finishBody();
        }
        acceptsMoreListener.run();
    }

    /** Detaches the receiver; the rest of the body is dropped. */
    void detach(BodyReceiver bodyReceiver) {
        if (receiver == bodyReceiver) {
            receiver = null;
            buffered.clear();
            countBuffer(0);
            acceptsMoreListener.run();
        }
    }

    void release() {
        if (!released) {
            released = true;
            release(heldBytes);
            countedCapacity = 0;
            buffered.clear();
        }
    }
}
