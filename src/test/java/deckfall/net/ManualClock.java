package deckfall.net;

/** A clock that goes on by itself, or stands where the test has put it. */
final class ManualClock extends Clock {
    private final double startMs = super.now();
    volatile boolean frozen;
    volatile double offsetMs;

    @Override
    double now() {
        return frozen ? startMs + offsetMs : super.now();
    }
}
