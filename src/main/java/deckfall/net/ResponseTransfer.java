package deckfall.net;

import io.netty.buffer.ByteBuf;

/**
 * Streams a response from a host to a client. As its first bytes have already been sent, the request can't be retried.
 */
final class ResponseTransfer {
    /** The host's side of a transfer. */
    interface Source {
        /** Resumes or pauses reading the response. */
        void setReading(boolean reading);

        /** Abandons the response, as the client needs no more of it. */
        void abandon();
    }

    private final Node node;
    private final String requestClass;
    private final ClientConnection client;
    private final Source source;
    private final long declaredBytes;
    private long receivedBytes; // from the host
    private double lastProgressMs; // when the host last sent a byte, or the client's write buffer last had room again
    private boolean finished;

    ResponseTransfer(Node node, String requestClass, ClientConnection client, Source source, long declaredBytes) {
        this.node = node;
        this.requestClass = requestClass;
        this.client = client;
        this.source = source;
        this.declaredBytes = declaredBytes;
        this.lastProgressMs = node.clock.now();
    }

    /** Writes a part of the body to the client and takes ownership of the buffer. */
    void write(ByteBuf content) {
        lastProgressMs = node.clock.now();
        receivedBytes += content.readableBytes();
        if (finished) {
            content.release();
        } else {
            client.writeContent(content);
            if (!client.writable()) {
                client.flush(); // not only once the host's connection has been read: many short parts take much memory
                if (node.memoryBudget.underPressure()) { // not only once all has been read that has come
                    source.setReading(client.writable());
                }
            }
        }
    }

    /** Flushes what was written, and pauses reading from the host while the client's write buffer is full. */
    void flush() {
        if (!finished) {
            client.flush();
            source.setReading(client.writable());
        }
    }

    void finish() {
        if (markFinished()) {
            client.finishResponse(f -> node.transferEnded(requestClass, f.isSuccess() ? Metrics.Result.SUCCESS : null));
        }
    }

    /** Ends the transfer because the host failed. The client must notice that its response is incomplete. */
    void abort() {
        if (markFinished()) {
            node.transferEnded(requestClass, Metrics.Result.ERROR);
            client.reset();
        }
    }

    void clientDisconnected() {
        if (markFinished()) {
            node.transferEnded(requestClass, null);
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
        double timeoutMs = client.writable()
                ? ResponseStreamingPolicy.stallTimeoutMs(declaredBytes, receivedBytes)
                : ResponseStreamingPolicy.STALL_TIMEOUT_MS;
        if (!finished && now - lastProgressMs > timeoutMs) {
            cutOff();
        }
    }

    /** Ends the transfer on this side. The client must notice that its response is incomplete. */
    void cutOff() {
        source.abandon();
        abort();
    }

    private boolean markFinished() {
        boolean first = !finished;
        finished = true;
        return first;
    }
}
