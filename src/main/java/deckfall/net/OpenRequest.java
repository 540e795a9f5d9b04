package deckfall.net;

import deckfall.Gateway.Request;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;

/** An entry in the table of open requests: the client, until it is answered or has left, and the attempts. */
final class OpenRequest {
    final Request request;
    final IncomingRequest message; // released when the entry is removed from the table
    final String traceId;
    final List<Attempt> attempts = new ArrayList<>(2);
    private ClientConnection client;
    private boolean closed;
    int attemptsInFlight;
    Future<?> deadlineTimer;
    private double deadlineMs;
    private double waitMs; // from the last byte of the request until the client's deadline

    OpenRequest(Request request, IncomingRequest message, String traceId, ClientConnection client) {
        this.request = request;
        this.deadlineMs = request.deadlineMs();
        this.message = message;
        this.traceId = traceId;
        this.client = client;
    }

    /** Sets when the last byte was received that belongs to the request so far; the client's time counts from there. */
    void countFrom(double receivedMs) {
        waitMs = deadlineMs - receivedMs;
    }

    /**
     * The client's deadline, by what is known now. Its time counts from when it has sent the last byte of its body, which
     * is not before the bytes that wait to be read arrived.
     */
    double deadlineMs() {
        if (!message.complete() && client != null) {
            extendDeadline(client.receiveTimeMs());
        }
        return deadlineMs;
    }

    /** Reads on, to find out whether the last byte of the request has arrived. */
    void readBodyAhead() {
        if (client != null) {
            client.readBodyAhead();
        }
    }

    /** Extends the deadline, as the last byte of the request was not sent before this time. */
    void extendDeadline(double lastByteMs) {
        deadlineMs = Math.max(deadlineMs, lastByteMs + waitMs);
    }

    boolean closed() {
        return closed;
    }

    /** Whether a host may have run the request, or may yet. */
    boolean mayHaveRun() {
        return attempts.stream().anyMatch(Attempt::mayHaveRun);
    }

    /** Whether it is unknown if the client still awaits a response. */
    boolean clientMayHaveLeft() {
        return client != null && client.mayHaveLeft();
    }

    /** Whether the client has sent further requests on the same connection. */
    boolean moreRequestsFollow() {
        return client != null && client.hasReadAhead();
    }

    /** Whether the client still awaits a response, but has closed its connection by now. */
    boolean clientGone() {
        return client != null && client.closedByClient();
    }

    /**
     * Ends the request. The first call returns the client to respond to, unless it has left; all later calls return
     * null, so that each request gets one response at most.
     */
    ClientConnection close() {
        ClientConnection waitingClient = client;
        closed = true;
        client = null;
        return waitingClient;
    }
}
