package deckfall.net;

import io.netty.buffer.ByteBuf;

/** An answer on its way from a host to a client, once its first bytes have gone out: it can't be tried again. */
final class Transfer {
    private static final double STALL_MS = 20_000; // without a byte from the one or room at the other

    /** The host's side. */
    interface Source {
        /** Whether the answer is to be read on. */
        void read(boolean on);

        /** The client wants no more of it. */
        void abandon();
    }

    private final Node node;
    private final String requestClass;
    private final ClientConnection client;
    private final Source source;
    private double movedAt;
    private boolean over;

    Transfer(Node node, String requestClass, ClientConnection client, Source source) {
        this.node = node;
        this.requestClass = requestClass;
        this.client = client;
        this.source = source;
        this.movedAt = node.clock.now();
    }

    /** Takes over what it is given. */
    void more(ByteBuf content) {
        movedAt = node.clock.now();
        if (over) {
            content.release();
        } else {
            client.pass(content);
        }
    }

    /** What was passed leaves, and the host is read on as the client takes it. */
    void flush() {
        if (!over) {
            client.flush();
            source.read(client.writable());
        }
    }

    void end() {
        if (close()) {
            client.passed(f -> node.transferred(requestClass, f.isSuccess() ? Metrics.Result.SUCCESS : null));
        }
    }

    /** The host failed: the client must see that its answer is not whole. */
    void cut() {
        if (close()) {
            node.transferred(requestClass, Metrics.Result.ERROR);
            client.cut();
        }
    }

    void clientLeft() {
        if (close()) {
            node.transferred(requestClass, null);
            source.abandon();
        }
    }

    void clientWritable() {
        if (!over && client.writable()) {
            movedAt = node.clock.now();
            source.read(true);
        }
    }

    void cutIfStalled(double now) {
        if (!over && now - movedAt > STALL_MS) {
            source.abandon();
            cut();
        }
    }

    private boolean close() {
        boolean first = !over;
        over = true;
        return first;
    }
}
