package deckfall.net;

/** A clock that goes on by itself, or stands where the test has put it. */
final class Hand extends Clock {
    private final double startMs = super.now();
    volatile boolean stands;
    volatile double aheadMs;

    @Override
    double now() {
        return stands ? startMs + aheadMs : super.now();
    }
}
