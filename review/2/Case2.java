import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Seat servers write half of their answers a second time some milliseconds later, and the gateway is held up now and then
 * for less than 0.15 s. It is started several times, each time with clients that send as soon as it is ready. Broken if a
 * client gets an answer 200 that no seat server made for its request.
 */
public final class Case2 {
    private static final int ROUNDS = 8;
    private static final int ROUND_MS = 6000;
    private static final int CLIENTS = 100;
    private static final int THINK_MS = 5; // at most, between two requests of a client
    private static final int WORK_MS = 10;
    private static final int EXPIRES_MS = 2500;
    private static final int SECOND_ANSWER_MS = 8;
    private static final double SECOND_ANSWER_SHARE = 0.5;
    private static final int HOLD_MS = 120;
    private static final double MAX_HOLD_MS = 150; // by the page
    private static final int HOLD_GAP_MS = 250;

    private Case2() {}

    private record Foreign(double at, String id, String body) {}

    private record Hold(double from, double to) {}

    public static void main(String[] args) throws Exception {
        int code = 2;
        try (Bench b = new Bench(Path.of(args[0]), Path.of(args[1]))) {
            try {
                code = run(b);
            } catch (Exception | Error e) {
                b.note("the case could not run: " + e);
            }
            b.note("exit code " + code);
        }
        System.exit(code);
    }

    private static int run(Bench b) throws Exception {
        List<Bench.SeatServer> servers = new ArrayList<>();
        for (String name : List.of("s-1", "s-2", "s-3", "s-4")) {
            Bench.SeatServer s = b.new SeatServer(name);
            s.work = m -> new Bench.Work(WORK_MS, 200, "seat " + m.field("x-trace-id"));
            s.secondShare = SECOND_ANSWER_SHARE;
            s.secondAnswerMs = b.trouble ? SECOND_ANSWER_MS : 0;
            servers.add(s);
        }
        Bench.Discovery discovery = b.new Discovery(servers.toArray(new Bench.SeatServer[0]));
        int broken = 0;
        for (int round = 0; round < ROUNDS; round++) {
            Bench.Gateway gateway = b.new Gateway(discovery, Bench.settings(), 192, 1024);
            if (!gateway.awaitReady(30_000)) {
                b.note("the gateway is not ready");
                gateway.noteLog();
                return 2;
            }
            broken += round(b, servers, gateway, round);
            gateway.noteLog();
            gateway.kill();
        }
        b.note("answers of other requests in all rounds: " + broken);
        return broken > 0 ? 1 : 0;
    }

    private static int round(Bench b, List<Bench.SeatServer> servers, Bench.Gateway gateway, int round)
            throws Exception {
        double startAt = b.now();
        b.note("round " + round + ": the gateway is ready");
        List<Foreign> foreign = Collections.synchronizedList(new ArrayList<>());
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int n = i;
            clients.add(Bench.thread(
                    "client-" + n, () -> client(b, gateway, n, startAt + ROUND_MS, sent, served, foreign)));
        }
        List<Hold> holds = b.trouble ? hold(b, gateway, startAt + ROUND_MS) : List.of();
        for (Thread t : clients) {
            t.join();
        }
        int broken = 0;
        for (Foreign f : foreign) {
            broken += judge(b, servers, holds, f, startAt) ? 1 : 0;
        }
        b.note("round " + round + ": requests " + sent + ", served " + served + ", with the answer of another request "
                + foreign.size() + ", of these within the limits " + broken + "; holds " + holds.size());
        return broken;
    }

    /** Holds the gateway up again and again, by the signals STOP and CONT. */
    private static List<Hold> hold(Bench b, Bench.Gateway gateway, double endAt) throws IOException {
        List<Hold> holds = new ArrayList<>();
        while (b.now() < endAt - 1000) {
            Bench.sleep(HOLD_GAP_MS + ThreadLocalRandom.current().nextInt(HOLD_GAP_MS));
            double from = b.now();
            gateway.signalNow("STOP");
            Bench.sleep(Math.max(1, HOLD_MS - (long) (b.now() - from)));
            gateway.signalNow("CONT");
            holds.add(new Hold(from, b.now()));
        }
        return holds;
    }

    /** Whether the second answer and the holds kept to their limits: the stand-ins may be held up themselves. */
    private static boolean judge(
            Bench b, List<Bench.SeatServer> servers, List<Hold> holds, Foreign f, double startAt) {
        String other = f.body.startsWith("seat ") ? f.body.substring(5) : "";
        double secondMs = -1;
        for (Bench.SeatServer s : servers) {
            secondMs = Math.max(secondMs, s.secondAnswers.getOrDefault(other, -1.0));
        }
        double longestHold = 0;
        for (Hold h : holds) {
            if (h.to > f.at - 1000 && h.from < f.at) {
                longestHold = Math.max(longestHold, h.to - h.from);
            }
        }
        boolean counts =
                secondMs >= 0 && secondMs <= Bench.MAX_SECOND_ANSWER_MS && longestHold <= MAX_HOLD_MS;
        b.note((counts ? "FOREIGN: " : "not counted: ") + f.id + " got, " + (long) (f.at - startAt)
                + " ms after the gateway was ready, the answer to " + other + ", whose second copy was written "
                + (long) secondMs + " ms after the first; longest hold in the second before: " + (long) longestHold
                + " ms");
        return counts;
    }

    private static void client(
            Bench b,
            Bench.Gateway gateway,
            int n,
            double endAt,
            AtomicInteger sent,
            AtomicInteger served,
            List<Foreign> foreign)
            throws IOException {
        Socket s = null;
        while (b.now() < endAt) {
            if (s == null) {
                s = gateway.connect();
                s.setSoTimeout(10_000);
            }
            String id = Bench.id();
            boolean close = true;
            try {
                s.getOutputStream()
                        .write(Bench.request("GET", "/seat-lookup/" + n, id, "wholesale", n, EXPIRES_MS, new byte[0]));
                sent.incrementAndGet();
                Bench.Message m = Bench.read(s.getInputStream());
                if (m != null && m.whole) {
                    close = m.field("connection").equals("close");
                    String body = new String(m.body, StandardCharsets.ISO_8859_1);
                    if (m.status() == 200) {
                        served.incrementAndGet();
                        if (!body.equals("seat " + id)) {
                            foreign.add(new Foreign(b.now(), id, body));
                        }
                    }
                }
            } catch (IOException e) {
                // a failed request is not what this case looks for
            }
            if (close) {
                s.close();
                s = null;
            }
            Bench.sleep(ThreadLocalRandom.current().nextInt(THINK_MS));
        }
    }
}
