package deckfall.scale;

import java.util.Arrays;

/**
 * The one clock of a run: events in order of time, and of their scheduling where times are equal, so that the same
 * arguments give the same run. A heap over plain arrays, since a run holds millions of events.
 */
final class EventQueue {
    private static final int FIRST_SIZE = 1 << 12;

    private double[] times = new double[FIRST_SIZE];
    private long[] orders = new long[FIRST_SIZE];
    private Runnable[] events = new Runnable[FIRST_SIZE];
    private int size;
    private long order;
    private double nowMs;

    double now() {
        return nowMs;
    }

    /** Runs an event at a time; one in the past runs next. */
    void at(double timeMs, Runnable event) {
        if (size == times.length) {
            times = Arrays.copyOf(times, 2 * size);
            orders = Arrays.copyOf(orders, 2 * size);
            events = Arrays.copyOf(events, 2 * size);
        }
        rise(size++, Math.max(nowMs, timeMs), order++, event);
    }

    void after(double delayMs, Runnable event) {
        at(nowMs + delayMs, event);
    }

    /** Runs all that is due up to a time, which is the time of now then. */
    void runTo(double endMs) {
        while (size > 0 && times[0] <= endMs) {
            nowMs = times[0];
            Runnable next = events[0];
            size--;
            double time = times[size];
            long last = orders[size];
            Runnable moved = events[size];
            events[size] = null;
            if (size > 0) {
                sink(time, last, moved);
            }
            next.run();
        }
        nowMs = endMs;
    }

    private boolean before(double time, long placed, int other) {
        return time < times[other] || time == times[other] && placed < orders[other];
    }

    private void put(int place, double time, long placed, Runnable event) {
        times[place] = time;
        orders[place] = placed;
        events[place] = event;
    }

    private void move(int from, int to) {
        put(to, times[from], orders[from], events[from]);
    }

    private void rise(int from, double time, long placed, Runnable event) {
        int place = from;
        while (place > 0 && before(time, placed, (place - 1) / 2)) {
            move((place - 1) / 2, place);
            place = (place - 1) / 2;
        }
        put(place, time, placed, event);
    }

    private void sink(double time, long placed, Runnable event) {
        int place = 0;
        for (int child = 1; child < size; child = 2 * place + 1) {
            int right = child + 1;
            int least = right < size && before(times[right], orders[right], child) ? right : child;
            if (before(time, placed, least)) {
                break;
            }
            move(least, place);
            place = least;
        }
        put(place, time, placed, event);
    }
}
