package deckfall.net;

/**
 * SIGHUP from the first moment of a process on: left alone it ends the process, and one that comes during the start is
 * acted on once the start is over.
 */
final class ReloadSignal {
    private Runnable action; // null during the start
    private boolean pending;

    /** Begins to hear the signal. */
    static ReloadSignal heard() {
        ReloadSignal signal = new ReloadSignal();
        Hangup.onSignal(signal::raised);
        return signal;
    }

    synchronized void raised() {
        if (action == null) {
            pending = true;
        } else {
            action.run();
        }
    }

    /** The start is over: {@code reload} is called for each signal from here on, and at once for one before. */
    synchronized void actsBy(Runnable reload) {
        action = reload;
        if (pending) {
            reload.run();
        }
    }
}
