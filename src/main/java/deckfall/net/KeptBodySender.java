package deckfall.net;

/**
 * Sends a body that was received completely, block by block as its host takes it: a connection copies what is written to
 * it, and must not hold a copy of a whole body that its host does not read.
 */
final class KeptBodySender {
    private final BodyBuffer body;
    private final IncomingRequest.BodyReceiver receiver;
    private int nextBlock;
    private boolean finished;

    KeptBodySender(BodyBuffer body, IncomingRequest.BodyReceiver receiver) {
        this.body = body;
        this.receiver = receiver;
    }

    /** Sends as much as the receiver takes now. */
    void send() {
        while (nextBlock < body.blockCount() && receiver.writable()) {
            receiver.writeBody(body.retainedBlock(nextBlock++));
        }
        if (nextBlock == body.blockCount() && !finished) {
            finished = true;
            receiver.finishBody();
        }
    }
}
