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
final class Incoming {
    static final int MOST_BODY = 32 << 20;
    static final int SMALL = 64 * 1024; // kept whole even where room is short
    static final int KEPT = 256 * 1024; // kept whole where there is room
    private static final int MOST_HELD = 1 << 20; // read on until it is passed on, as behind it a close may come
    private static final int NO_LENGTH = -1;

    /** Where the body goes while it comes. */
    interface Receiver {
        /** Takes over what it is given. */
        void part(ByteBuf content);

        void last();

        boolean writable();
    }

    final HttpRequest head;
    final String uri; // in origin form
    final long declaredBytes; // -1 where chunks tell
    final double sinceMs;
    private final MemoryBudget room;
    private ByteBuf held = Unpooled.EMPTY_BUFFER;
    private Receiver receiver;
    private Runnable onRoom = () -> {};
    private long receivedBytes;
    private boolean whole;
    private boolean spent; // passed on at least in part
    private boolean released;

    Incoming(HttpRequest head, String uri, MemoryBudget room, double now) {
        this.head = head;
        this.uri = uri;
        this.room = room;
        this.sinceMs = now;
        this.declaredBytes = HttpUtil.getContentLength(head, (long) NO_LENGTH);
    }

    boolean hasBody() {
        return declaredBytes > 0 || HttpUtil.isTransferEncodingChunked(head);
    }

    boolean tooLong() {
        return Math.max(declaredBytes, receivedBytes) > MOST_BODY;
    }

    long receivedBytes() {
        return receivedBytes;
    }

    /** What may still come, where nothing tells how much. */
    long dueBytes() {
        return whole ? 0 : (declaredBytes >= 0 ? declaredBytes : MOST_BODY) - receivedBytes;
    }

    boolean whole() {
        return whole;
    }

    boolean spent() {
        return spent;
    }

    /** All of the body, for a message of its own. */
    ByteBuf body() {
        return held.retainedDuplicate();
    }

    void add(ByteBuf content) {
        int bytes = content.readableBytes();
        receivedBytes += bytes;
        if (receiver != null) {
            receiver.part(content.retain());
        } else if (!spent && !released && bytes > 0) {
            if (held == Unpooled.EMPTY_BUFFER) {
                held = PooledByteBufAllocator.DEFAULT.heapBuffer(bytes);
            }
            held.writeBytes(content);
            room.reserve(bytes);
        }
    }

    void end() {
        whole = true;
        if (receiver != null) {
            receiver.last();
        }
    }

    /** More is held than is kept of a body that is still coming. */
    boolean outgrown() {
        int bytes = held.readableBytes();
        return bytes >= KEPT || bytes >= SMALL && room.nearlyExhausted();
    }

    /** Whether more of it can be taken from the client now. */
    boolean wanted() {
        return receiver != null
                ? receiver.writable()
                : spent || released || !outgrown() || held.readableBytes() < MOST_HELD && !room.nearlyExhausted();
    }

    /** Calls back when more can be taken after it could not. */
    void whenWanted(Runnable action) {
        onRoom = action;
    }

    void resumed() {
        onRoom.run();
    }

    /** From here on the body goes there, first what is held. */
    void passTo(Receiver to) {
        spent = true;
        receiver = to;
        room.release(held.readableBytes());
        ByteBuf first = held;
        held = Unpooled.EMPTY_BUFFER;
        if (first.isReadable()) {
            to.part(first);
        } else {
            first.release();
        }
        if (whole) {
            to.last();
        }
        resumed();
    }

    /** What still comes is dropped. */
    void detach(Receiver from) {
        if (receiver == from) {
            receiver = null;
            resumed();
        }
    }

    void release() {
        if (!released) {
            released = true;
            room.release(held.readableBytes());
            held.release();
            held = Unpooled.EMPTY_BUFFER;
        }
    }
}
