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
 * Ordinary clients send one lookup at a time, while 300 unknown peers each send some 8 KB of one request and then stop in
 * the middle of its head and stay. Broken if the gateway's process ends, or if an ordinary request has no whole answer
 * half a second and 50 ms after its time.
 */
public final class Case2 {
    private static final int ORDINARY_CLIENTS = 15;
    private static final int THINK_MS = 20;
    private static final int EXPIRES_MS = 2500; // the class's deadline
    private static final double LATEST_MS = EXPIRES_MS + 500 + 50;
    private static final int GIVE_UP_MS = 9000; // how long a client waits in this test, to record when an answer comes
    private static final int SOCKETS = 1024;
    private static final int PEERS = 300; // below a third of the descriptors, with the ordinary clients
    private static final int HEAD_BYTES = 8100; // of each unfinished head
    private static final int TROUBLE_AT_MS = 3000;
    private static final int LENGTH_MS = 16_000;

    private Case2() {}

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
        Bench.SeatServer[] servers = new Bench.SeatServer[10];
        for (int i = 0; i < servers.length; i++) {
            servers[i] = b.new SeatServer("s-" + i);
            servers[i].work = m -> new Bench.Work(
                    ThreadLocalRandom.current().nextInt(100, 190), 200, "seat " + m.field("x-trace-id"));
        }
        Bench.Discovery discovery = b.new Discovery(servers);
        Bench.Gateway gateway = b.new Gateway(discovery, Bench.settings(), 192, SOCKETS);
        if (!gateway.awaitReady(30_000)) {
            b.note("the gateway is not ready");
            gateway.noteLog();
            return 2;
        }
        b.note("the gateway is ready");
        Bench.Pause pause = b.new Pause();
        List<Bench.Seen> ordinary = Collections.synchronizedList(new ArrayList<>());
        double endAt = b.now() + LENGTH_MS;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < ORDINARY_CLIENTS; i++) {
            int n = i;
            clients.add(Bench.thread("client-" + n, () -> client(b, gateway, n, endAt, ordinary)));
        }
        Bench.sleep(TROUBLE_AT_MS);
        AtomicInteger answered408 = new AtomicInteger();
        AtomicInteger closed = new AtomicInteger();
        if (b.trouble) {
            b.note(PEERS + " peers connect, with " + unfinishedHead().length + " bytes each");
            for (int i = 0; i < PEERS; i++) {
                Bench.thread("peer-" + i, () -> peer(gateway, answered408, closed));
            }
        }
        for (Thread t : clients) {
            t.join();
        }
        int late = 0;
        int ended = 0;
        int inTime = 0;
        for (Bench.Seen r : ordinary) {
            boolean isLate = r.ended - r.sent > LATEST_MS;
            boolean isEnded = !isLate && r.status == 0;
            late += isLate ? 1 : 0;
            ended += isEnded ? 1 : 0;
            inTime += !isLate && !isEnded ? 1 : 0;
            b.note((isLate ? "LOST  " : isEnded ? "ENDED " : "      ") + r);
        }
        boolean runs = gateway.alive();
        b.note("peers that got an error: " + answered408 + ", whose connection ended: " + closed);
        b.note("longest pause of the stand-ins themselves: " + (long) pause.longestMs() + " ms");
        b.note("ordinary requests " + ordinary.size() + ", answered in time " + inTime + ", late or never " + late
                + ", connection ended without an answer " + ended + "; the gateway's process "
                + (runs ? "runs" : "has ended"));
        gateway.noteLog();
        if (pause.longestMs() > 1000) {
            return 2;
        }
        return late > 0 || !runs ? 1 : 0;
    }

    private static void client(Bench b, Bench.Gateway gateway, int n, double endAt, List<Bench.Seen> all)
            throws IOException {
        Socket s = null;
        while (b.now() < endAt && gateway.alive()) {
            Bench.Seen r = new Bench.Seen(Bench.id());
            boolean close = true;
            r.sent = b.now();
            try {
                if (s == null) {
                    s = gateway.connect();
                    s.setSoTimeout(GIVE_UP_MS);
                }
                s.getOutputStream()
                        .write(Bench.request(
                                "GET", "/seat-lookup/" + n, r.id, "wholesale", n, EXPIRES_MS, new byte[0]));
                r.sent = b.now();
                Bench.Message m = Bench.read(s.getInputStream());
                if (m == null || !m.whole) {
                    r.end = "the connection ended";
                } else {
                    r.status = m.status();
                    close = m.field("connection").equals("close");
                }
            } catch (java.net.SocketTimeoutException e) {
                r.end = "nothing came, and the connection stayed open";
            } catch (IOException e) {
                r.end = "the connection ended: " + e.getMessage();
            }
            r.ended = b.now();
            all.add(r);
            if (close && s != null) {
                s.close();
                s = null;
            }
            Bench.sleep(THINK_MS);
        }
    }

    /** The start of a request with many short header fields; the empty line at its end is missing. */
    private static byte[] unfinishedHead() {
        StringBuilder text = new StringBuilder("GET /seat-lookup/x HTTP/1.1\r\nHost: backend.local\r\n");
        while (text.length() < HEAD_BYTES) {
            text.append("a:\r\n");
        }
        return text.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Sends a part of a request, then nothing more, and waits for an error or a close. */
    private static void peer(Bench.Gateway gateway, AtomicInteger answered408, AtomicInteger closed) {
        try (Socket s = gateway.connect()) {
            s.getOutputStream().write(unfinishedHead());
            Bench.Message m = Bench.read(s.getInputStream());
            (m == null ? closed : answered408).incrementAndGet();
        } catch (IOException e) {
            closed.incrementAndGet();
        }
    }
}
