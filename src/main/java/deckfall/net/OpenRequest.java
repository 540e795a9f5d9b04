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
    double deadlineMs; // extended while the body is still arriving

    OpenRequest(Request request, IncomingRequest message, String traceId, ClientConnection client) {
        this.request = request;
        this.deadlineMs = request.deadlineMs();
        this.message = message;
        this.traceId = traceId;
        this.client = client;
    }

    boolean closed() {
        return closed;
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
