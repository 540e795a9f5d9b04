package deckfall.net;

import deckfall.Gateway.Outcome;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;

/** One attempt to get an open request served by one host. */
final class Attempt extends Exchange {
    final OpenRequest openRequest;
    final int number;
    final String host;
    double sentAtMs; // for a streamed request, when the last byte of its body was sent
    private final Node node;
    boolean ended;
    private boolean neverRan;

    Attempt(Node node, OpenRequest openRequest, String host, double sentAtMs) {
        this.node = node;
        this.openRequest = openRequest;
        this.number = openRequest.attempts.size();
        this.host = host;
        this.sentAtMs = sentAtMs;
    }

    /** Records that the host has certainly not run the request. */
    void markNeverRan() {
        neverRan = true;
    }

    /** Whether the host may have run the request, or may yet. */
    boolean mayHaveRun() {
        return started() && !neverRan;
    }

    String traceId() {
        return openRequest.traceId;
    }

    @Override
    void onEnd(Outcome outcome, FullHttpResponse response) {
        node.attemptEnded(this, outcome, response);
    }

    @Override
    boolean maySend() {
        return node.maySend(this);
    }

    @Override
    void beforeWrite() {
        node.beforeWrite(this);
    }

    @Override
    boolean passesOnEarly() {
        return !openRequest.closed() && !openRequest.moreRequestsFollow();
    }

    @Override
    IncomingRequest requestBody() {
        return openRequest.message;
    }

    @Override
    ResponseTransfer responseStarted(HttpResponse head, ResponseTransfer.Source source) {
        return node.responseStarted(this, head, source);
    }
}
