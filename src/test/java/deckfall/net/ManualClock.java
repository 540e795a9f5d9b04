package deckfall.net;

/** A clock that advances by itself unless a test has frozen it at an offset from its start. */
final class ManualClock extends Clock {
    private final double startMs = super.now();
    volatile boolean frozen;
    volatile double offsetMs;

    @Override
    double now() {
        return frozen ? startMs + offsetMs : super.now();
    }
}
