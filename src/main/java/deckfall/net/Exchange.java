package deckfall.net;

import deckfall.Gateway.Outcome;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;

/** One request to a host. Its first end counts; implementations of {@link #onEnd} ignore later calls. */
abstract class Exchange {
    HostConnection connection;
    boolean started;

    /** Whether bytes of the request may have been sent. Until then it waits for a connection. */
    final boolean started() {
        return started;
    }

    /**
     * Whether the request may still be sent. Called in the loop iteration that would write its first byte. If it
     * returns false, the exchange has ended.
     */
    boolean maySend() {
        return true;
    }

    /** Whether the last byte of the request was sent. */
    final boolean requestWritten() {
        return connection != null && connection.requestWritten;
    }

    /**
     * Passes on the response as it comes, if a part of it has been received and it is not to be cut off. The exchange has
     * ended then. Returns false otherwise.
     */
    final boolean passOnResponse() {
        return connection != null && connection.passOnResponse();
    }

    /**
     * Whether a long response is passed on although it need not be yet. Not if its client has sent further requests, which
     * would be lost with the connection if the response broke off.
     */
    boolean passesOnEarly() {
        return false;
    }

    /** How much of the response has been received, for the log; null if nothing has. */
    final String responseProgress() {
        return connection == null ? null : connection.responseProgress();
    }

    /** Called just before the first byte is written. */
    void beforeWrite() {}

    /**
     * Ends the exchange as {@code FULL} if it still waits for a connection, as its host takes no more new
     * requests.
     */
    void rejectIfWaiting() {
        if (connection != null && !started) {
            abandon();
            onEnd(Outcome.FULL, null);
        }
    }

    /** Called at the end. The response, if there is one, is released after the call. */
    abstract void onEnd(Outcome outcome, FullHttpResponse response);

    /** The message whose body is streamed if only its head is sent at first; else null. */
    IncomingRequest requestBody() {
        return null;
    }

    /**
     * Called when a response starts that is too long to be buffered. Returns null if nothing waits for a streamed
     * response.
     */
    ResponseTransfer responseStarted(HttpResponse head, ResponseTransfer.Source source) {
        return null;
    }

    /** Abandons the exchange and closes its connection, so that late bytes never reach another request. */
    final void abandon() {
        HostConnection c = connection;
        connection = null;
        if (c != null) {
            c.discard();
        }
    }
}
