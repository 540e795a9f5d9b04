package deckfall.net;

import io.netty.buffer.ByteBuf;

/** An answer on its way from a host to a client, once its first bytes have gone out: it can't be tried again. */
final class ResponseTransfer {
    private static final double STALL_TIMEOUT_MS = 20_000; // without a byte from the one or room at the other

    /** The host's side. */
    interface Source {
        /** Whether the answer is to be read on. */
        void setReading(boolean reading);

        /** The client wants no more of it. */
        void abandon();
    }

    private final Node node;
    private final String requestClass;
    private final ClientConnection client;
    private final Source source;
    private double lastProgressMs;
    private boolean finished;

    ResponseTransfer(Node node, String requestClass, ClientConnection client, Source source) {
        this.node = node;
        this.requestClass = requestClass;
        this.client = client;
        this.source = source;
        this.lastProgressMs = node.clock.now();
    }

    /** Takes over what it is given. */
    void write(ByteBuf content) {
        lastProgressMs = node.clock.now();
        if (finished) {
            content.release();
        } else {
            client.writeContent(content);
        }
    }

    /** What was passed leaves, and the host is read on as the client takes it. */
    void flush() {
        if (!finished) {
            client.flush();
            source.setReading(client.writable());
        }
    }

    void finish() {
        if (markFinished()) {
            client.finishResponse(f -> node.transferred(requestClass, f.isSuccess() ? Metrics.Result.SUCCESS : null));
        }
    }

    /** The host failed: the client must see that its answer is not whole. */
    void abort() {
        if (markFinished()) {
            node.transferred(requestClass, Metrics.Result.ERROR);
            client.reset();
        }
    }

    void clientLeft() {
        if (markFinished()) {
            node.transferred(requestClass, null);
            source.abandon();
        }
    }

    void clientWritable() {
        if (!finished && client.writable()) {
            lastProgressMs = node.clock.now();
            source.setReading(true);
        }
    }

    void abortIfStalled(double now) {
        if (!finished && now - lastProgressMs > STALL_TIMEOUT_MS) {
            source.abandon();
            abort();
        }
    }

    private boolean markFinished() {
        boolean first = !finished;
        finished = true;
        return first;
    }
}
