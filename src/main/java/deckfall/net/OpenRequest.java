package deckfall.net;

import deckfall.Gateway.Request;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;

/** A request in the table: its client, until answered or gone, and its attempts. */
final class OpenRequest {
    final Request request;
    final IncomingRequest message; // held until the entry leaves the table
    final String traceId;
    final List<Attempt> attempts = new ArrayList<>(2);
    private ClientConnection client;
    private boolean closed;
    int attemptsInFlight; // attempts that have not ended
    Future<?> deadlineTimer;
    double deadlineMs; // moves on while the body is still coming

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

    /** Whether the client that is still owed an answer has closed its connection by now. */
    boolean clientGone() {
        return client != null && client.closedByClient();
    }

    /** The client to answer, for the one caller that ends the request; null for all later ones (rule 1). */
    ClientConnection close() {
        ClientConnection waitingClient = client;
        closed = true;
        client = null;
        return waitingClient;
    }
}
