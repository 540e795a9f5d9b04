package deckfall.net;

import java.nio.charset.StandardCharsets;

/**
 * Reports unexpected exceptions and errors, and never fails itself.
 *
 * <p>What caused an error may still be there when it is reported: with an exhausted heap, building the log line fails as
 * well. An error that leaves the code that handles an error ends the event loop, and with it the gateway for all
 * clients. So part of the heap is kept in reserve for the code that handles an OutOfMemoryError, and a report that can't
 * be built is replaced by a fixed line.
 */
final class ErrorReport {
    private static final int RESERVE_BYTES = 512 * 1024; // enough to report errors and to close their connections
    private static final byte[] UNREADABLE =
            "defect: an error that can't be reported\n".getBytes(StandardCharsets.US_ASCII);

    private static volatile byte[] reserve = new byte[RESERVE_BYTES];

    private ErrorReport() {}

    /** Logs what happened and its cause. */
    static void report(String what, Throwable cause) {
        try {
            if (cause instanceof OutOfMemoryError) {
                reserve = null;
            }
            Node.log("defect: " + what + ": " + cause);
            if (!(cause instanceof OutOfMemoryError)) {
                cause.printStackTrace();
            }
        } catch (Throwable e) { // whatever it is, the code that handles the first error has to go on
            reportUnreadable();
        }
    }

    private static void reportUnreadable() {
        try {
            System.err.write(UNREADABLE, 0, UNREADABLE.length);
        } catch (Throwable e) { // nothing is left to be done
            return;
        }
    }

    /** Returns an action that reports what the given one throws, so that it is run again where it is run repeatedly. */
    static Runnable contain(String what, Runnable action) {
        return () -> {
            try {
                action.run();
            } catch (Throwable e) {
                report(what, e);
            }
        };
    }

    /** Takes the reserve again after it was used, if there is memory for it. Call from time to time. */
    static void refillReserve() {
        if (reserve == null) {
            try {
                reserve = new byte[RESERVE_BYTES];
            } catch (OutOfMemoryError e) { // the next call tries again
                reserve = null;
            }
        }
    }
}
