package deckfall.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Draws the faults of one gateway process: which system calls fail, when and how, in the format of {@code faults.c}. */
final class FaultPlan {
    private static final int MAX_FAULTS = 5;
    private static final long HOUR_MS = 3_600_000;
    private static final long SMALL_CLOCK_STEP_MS = 5000;
    private static final long MAX_CLOCK_STEP_DELAY_MS = 20_000; // after the start of the process

    /**
     * A kind of failure: the call that fails, the errors to draw from, the range of the failure window's length, the
     * minimum pause between two windows, and the side of the connection (empty for both).
     */
    private record FaultKind(
            String call, List<String> errors, int minWindowMs, int maxWindowMs, int minPauseMs, String scope) {}

    private static final List<FaultKind> FAULT_KINDS = List.of(
            new FaultKind("accept", List.of("ENFILE", "ECONNABORTED", "ENOBUFS", "EMFILE", "EINTR"), 5, 60, 1000, ""),
            new FaultKind("socket", List.of("ENFILE", "ENOBUFS"), 10, 150, 800, ""),
            new FaultKind("connect", List.of("EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS"), 20, 300, 900, ""),
            new FaultKind("read", List.of("EINTR"), 10, 150, 300, ""),
            new FaultKind("read", List.of("ETIMEDOUT", "EHOSTUNREACH"), 1, 20, 1500, "server"),
            new FaultKind("read", List.of("ENOMEM", "ENOBUFS"), 1, 60, 1000, ""),
            new FaultKind("write", List.of("EINTR"), 5, 60, 300, ""),
            new FaultKind("write", List.of("EHOSTUNREACH"), 1, 20, 1500, "server"),
            new FaultKind("write", List.of("ENOBUFS", "ENOMEM"), 1, 60, 1000, ""),
            new FaultKind("read", List.of("SHORT"), 50, 400, 500, ""),
            new FaultKind("write", List.of("SHORT"), 50, 400, 500, ""),
            new FaultKind("wait", List.of("EINTR"), 10, 100, 200, ""),
            new FaultKind("disk", List.of("ENOSPC", "EIO", "EROFS"), 200, 3000, 4000, ""),
            new FaultKind("config", List.of("EIO", "ENOMEM"), 50, 500, 2000, ""));

    private FaultPlan() {}

    /** Draws a plan, which may be empty. */
    static String draw(Random random) {
        List<String> entries = new ArrayList<>();
        int faultCount = random.nextInt(MAX_FAULTS + 1);
        for (int i = 0; i < faultCount; i++) {
            entries.add(drawFault(FAULT_KINDS.get(random.nextInt(FAULT_KINDS.size())), random));
        }
        if (random.nextInt(3) == 0) {
            long stepMs = (random.nextBoolean() ? 1 : -1) * (random.nextBoolean() ? HOUR_MS : SMALL_CLOCK_STEP_MS);
            entries.add("clock," + stepMs + "," + random.nextInt((int) MAX_CLOCK_STEP_DELAY_MS));
        }
        return String.join(";", entries);
    }

    private static String drawFault(FaultKind kind, Random random) {
        int windowMs = kind.minWindowMs + random.nextInt(kind.maxWindowMs - kind.minWindowMs + 1);
        int periodMs = kind.minPauseMs + windowMs + random.nextInt(2 * kind.minPauseMs);
        String error = kind.errors.get(random.nextInt(kind.errors.size()));
        String fault = kind.call + "," + error + "," + windowMs + "," + periodMs + "," + random.nextInt(periodMs);
        return kind.scope.isEmpty() ? fault : fault + "," + kind.scope;
    }
}
