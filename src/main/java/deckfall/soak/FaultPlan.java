package deckfall.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Which system calls of one gateway process fail, when and how, in the form that the preloaded library reads. */
final class FaultPlan {
    private static final int MOST_RULES = 5;
    private static final long HOUR_MS = 3_600_000;
    private static final long LATEST_STEP_MS = 20_000; // of the wall clock, from the process's start

    /** A kind of failure with the range of its spells; {@code errors} are drawn from. */
    private record Kind(String call, List<String> errors, int leastMs, int mostMs, int leastPeriodMs, String scope) {}

    private static final List<Kind> KINDS = List.of(
            new Kind("accept", List.of("ENFILE", "ECONNABORTED", "ENOBUFS", "EMFILE", "EINTR"), 5, 60, 1000, ""),
            new Kind("socket", List.of("ENFILE", "ENOBUFS"), 10, 150, 800, ""),
            new Kind("connect", List.of("EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS"), 20, 300, 900, ""),
            new Kind("read", List.of("EINTR"), 10, 150, 300, ""),
            new Kind("read", List.of("ETIMEDOUT", "EHOSTUNREACH"), 1, 20, 1500, "server"),
            new Kind("read", List.of("ENOMEM", "ENOBUFS"), 1, 60, 1000, ""),
            new Kind("write", List.of("EINTR"), 5, 60, 300, ""),
            new Kind("write", List.of("EHOSTUNREACH"), 1, 20, 1500, "server"),
            new Kind("write", List.of("ENOBUFS", "ENOMEM"), 1, 60, 1000, ""),
            new Kind("read", List.of("SHORT"), 50, 400, 500, ""),
            new Kind("write", List.of("SHORT"), 50, 400, 500, ""),
            new Kind("wait", List.of("EINTR"), 10, 100, 200, ""),
            new Kind("disk", List.of("ENOSPC", "EIO", "EROFS"), 200, 3000, 4000, ""),
            new Kind("config", List.of("EIO", "ENOMEM"), 50, 500, 2000, ""));

    private FaultPlan() {}

    /** A drawn plan; some processes have none. */
    static String draw(Random random) {
        List<String> rules = new ArrayList<>();
        int count = random.nextInt(MOST_RULES + 1);
        for (int i = 0; i < count; i++) {
            rules.add(rule(KINDS.get(random.nextInt(KINDS.size())), random));
        }
        if (random.nextInt(3) == 0) {
            long step = (random.nextBoolean() ? 1 : -1) * (random.nextBoolean() ? HOUR_MS : 5000);
            rules.add("clock," + step + "," + random.nextInt((int) LATEST_STEP_MS));
        }
        return String.join(";", rules);
    }

    private static String rule(Kind kind, Random random) {
        int spell = kind.leastMs + random.nextInt(kind.mostMs - kind.leastMs + 1);
        int period = kind.leastPeriodMs + spell + random.nextInt(2 * kind.leastPeriodMs);
        String error = kind.errors.get(random.nextInt(kind.errors.size()));
        String rule = kind.call + "," + error + "," + spell + "," + period + "," + random.nextInt(period);
        return kind.scope.isEmpty() ? rule : rule + "," + kind.scope;
    }
}
