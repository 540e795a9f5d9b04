package deckfall.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;

/**
 * A request as it comes from its client: the head, and of the body what has come and has not been passed on. A body
 * that has come whole can be sent any number of times; one that was passed on while it came, once.
 */
final class IncomingRequest {
    static final int MAX_BODY_BYTES = 32 << 20;
    static final int MAX_SMALL_BODY_BYTES = 64 * 1024; // kept whole even where room is short
    static final int MAX_KEPT_BODY_BYTES = 256 * 1024; // kept whole where there is room
    private static final int MAX_BUFFERED_BYTES =
            1 << 20; // read on until it is passed on, as behind it a close may come
    private static final int UNKNOWN_LENGTH = -1;

    /** Where the body goes while it comes. */
    interface BodyReceiver {
        /** Takes over what it is given. */
        void writeBody(ByteBuf content);

        void finishBody();

        boolean writable();
    }

    final HttpRequest head;
    final String uri; // in origin form
    final long declaredBytes; // -1 where chunks tell
    final double startedMs;
    private final MemoryBudget memoryBudget;
    private ByteBuf buffered = Unpooled.EMPTY_BUFFER;
    private BodyReceiver receiver;
    private Runnable acceptsMoreListener = () -> {};
    private long receivedBytes;
    private boolean complete;
    private boolean streamed; // passed on at least in part
    private boolean released;

    IncomingRequest(HttpRequest head, String uri, MemoryBudget memoryBudget, double now) {
        this.head = head;
        this.uri = uri;
        this.memoryBudget = memoryBudget;
        this.startedMs = now;
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

    /** What may still come, where nothing tells how much. */
    long remainingBytes() {
        return complete ? 0 : (declaredBytes >= 0 ? declaredBytes : MAX_BODY_BYTES) - receivedBytes;
    }

    boolean complete() {
        return complete;
    }

    boolean streamed() {
        return streamed;
    }

    /** All of the body, for a message of its own. */
    ByteBuf retainedBody() {
        return buffered.retainedDuplicate();
    }

    void add(ByteBuf content) {
        int bytes = content.readableBytes();
        receivedBytes += bytes;
        if (receiver != null) {
            receiver.writeBody(content.retain());
        } else if (!streamed && !released && bytes > 0) {
            if (buffered == Unpooled.EMPTY_BUFFER) {
                buffered = PooledByteBufAllocator.DEFAULT.heapBuffer(bytes);
            }
            buffered.writeBytes(content);
            memoryBudget.reserve(bytes);
        }
    }

    void markComplete() {
        complete = true;
        if (receiver != null) {
            receiver.finishBody();
        }
    }

    /** More is held than is kept of a body that is still coming. */
    boolean exceedsKeptSize() {
        int bytes = buffered.readableBytes();
        return bytes >= MAX_KEPT_BODY_BYTES || bytes >= MAX_SMALL_BODY_BYTES && memoryBudget.nearlyExhausted();
    }

    /** Whether more of it can be taken from the client now. */
    boolean acceptsMore() {
        return receiver != null
                ? receiver.writable()
                : streamed
                        || released
                        || !exceedsKeptSize()
                        || buffered.readableBytes() < MAX_BUFFERED_BYTES && !memoryBudget.nearlyExhausted();
    }

    /** Calls back when more can be taken after it could not. */
    void onAcceptsMore(Runnable listener) {
        acceptsMoreListener = listener;
    }

    void fireAcceptsMore() {
        acceptsMoreListener.run();
    }

    /** From here on the body goes there, first what is held. */
    void streamTo(BodyReceiver bodyReceiver) {
        streamed = true;
        receiver = bodyReceiver;
        memoryBudget.release(buffered.readableBytes());
        ByteBuf first = buffered;
        buffered = Unpooled.EMPTY_BUFFER;
        if (first.isReadable()) {
            bodyReceiver.writeBody(first);
        } else {
            first.release();
        }
        if (complete) {
            bodyReceiver.finishBody();
        }
        fireAcceptsMore();
    }

    /** What still comes is dropped. */
    void detach(BodyReceiver bodyReceiver) {
        if (receiver == bodyReceiver) {
            receiver = null;
            fireAcceptsMore();
        }
    }

    void release() {
        if (!released) {
            released = true;
            memoryBudget.release(buffered.readableBytes());
            buffered.release();
            buffered = Unpooled.EMPTY_BUFFER;
        }
    }
}
