package deckfall.scale;

import java.util.Arrays;

/**
 * The virtual clock of a run with its events. Events run in order of time, and in scheduling order where times are
 * equal, so that the same arguments give the same run. The heap uses plain arrays because a run holds millions of
 * events.
 */
final class EventQueue {
    private static final int INITIAL_CAPACITY = 1 << 12;

    private double[] timesMs = new double[INITIAL_CAPACITY];
    private long[] sequenceNumbers = new long[INITIAL_CAPACITY];
    private Runnable[] events = new Runnable[INITIAL_CAPACITY];
    private int size;
    private long nextSequenceNumber;
    private double nowMs;

    double now() {
        return nowMs;
    }

    /** Schedules an event; one with a time in the past runs next, at the current time. */
    void scheduleAt(double timeMs, Runnable event) {
        if (size == timesMs.length) {
            timesMs = Arrays.copyOf(timesMs, 2 * size);
            sequenceNumbers = Arrays.copyOf(sequenceNumbers, 2 * size);
            events = Arrays.copyOf(events, 2 * size);
        }
        siftUp(size++, Math.max(nowMs, timeMs), nextSequenceNumber++, event);
    }

    void scheduleAfter(double delayMs, Runnable event) {
        scheduleAt(nowMs + delayMs, event);
    }

    /** Runs all events that are due up to the given time and sets the clock to it. */
    void runUntil(double endMs) {
        while (size > 0 && timesMs[0] <= endMs) {
            nowMs = timesMs[0];
            Runnable next = events[0];
            size--;
            double lastTimeMs = timesMs[size];
            long lastSequenceNumber = sequenceNumbers[size];
            Runnable lastEvent = events[size];
            events[size] = null;
            if (size > 0) {
                siftDown(lastTimeMs, lastSequenceNumber, lastEvent);
            }
            next.run();
        }
        nowMs = endMs;
    }

    private boolean isBefore(double timeMs, long sequenceNumber, int other) {
        return timeMs < timesMs[other] || timeMs == timesMs[other] && sequenceNumber < sequenceNumbers[other];
    }

    private void put(int index, double timeMs, long sequenceNumber, Runnable event) {
        timesMs[index] = timeMs;
        sequenceNumbers[index] = sequenceNumber;
        events[index] = event;
    }

    private void move(int from, int to) {
        put(to, timesMs[from], sequenceNumbers[from], events[from]);
    }

    private void siftUp(int start, double timeMs, long sequenceNumber, Runnable event) {
        int index = start;
        while (index > 0 && isBefore(timeMs, sequenceNumber, (index - 1) / 2)) {
            move((index - 1) / 2, index);
            index = (index - 1) / 2;
        }
        put(index, timeMs, sequenceNumber, event);
    }

    private void siftDown(double timeMs, long sequenceNumber, Runnable event) {
        int index = 0;
        for (int child = 1; child < size; child = 2 * index + 1) {
            int right = child + 1;
            int earliest = right < size && isBefore(timesMs[right], sequenceNumbers[right], child) ? right : child;
            if (isBefore(timeMs, sequenceNumber, earliest)) {
                break;
            }
            move(earliest, index);
            index = earliest;
        }
        put(index, timeMs, sequenceNumber, event);
    }
}
