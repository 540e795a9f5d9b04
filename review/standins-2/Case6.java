import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.zip.GZIPOutputStream;

/** Some answers of seat servers can't be read as the protocol describes. None of them may reach a client as served. */
public final class Case6 {
    private static final int REQUESTS = 60;
    private static final int SPOILT_EVERY = 5; // one answer in five is spoilt

    public static void main(String[] args) throws Exception {
        Rig.main(args, Case6::run);
    }

    private static int run(Rig rig) throws Exception {
        Map<String, List<String>> whole = new ConcurrentHashMap<>(); // the bodies of proper 200 answers, by id
        Map<String, String> spoilt = new ConcurrentHashMap<>(); // the form of the spoilt answer, by id
        Map<String, Integer> toSpoil = new ConcurrentHashMap<>();
        Rig.Discovery discovery = new Rig.Discovery();
        for (int i = 0; i < 4; i++) {
            Rig.SeatServer server = new Rig.SeatServer("s-" + i, 0, (s, c, m) -> {
                c.readBody(m, false);
                String text = "seats 11, 12, 13 and 14 for " + m.id();
                Integer form = toSpoil.remove(m.id()); // the first attempt only
                if (form == null) {
                    rig.note("run    " + m.id() + "  at " + s.id + ", answered properly");
                    whole.computeIfAbsent(m.id(), k -> new ArrayList<>()).add(text);
                    c.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + Integer.toHexString(text.length()) + "\r\n" + text + "\r\n0\r\n\r\n");
                    return;
                }
                spoilt.put(m.id(), send(c, form, text));
                rig.note("run    " + m.id() + "  at " + s.id + ", spoilt answer: " + spoilt.get(m.id()));
            });
            discovery.set(server.id, server.port, "ready", 0);
        }
        Rig.Settings settings = new Rig.Settings();
        settings.gatewayCount = 2;
        Rig.Counter counter = new Rig.Counter();
        List<Rig.Gateway> gateways = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            gateways.add(rig.startGateway(i, Rig.freePort(), discovery, counter, settings));
        }
        int broken = 0;
        int unserved = 0;
        for (int i = 0; i < REQUESTS; i++) {
            String id = rig.newId();
            boolean spoil = rig.trouble && i % SPOILT_EVERY == SPOILT_EVERY - 1;
            if (spoil) {
                toSpoil.put(id, i / SPOILT_EVERY);
            }
            boolean lookup = i % 4 != 0;
            rig.note("sent   " + id + "  " + (lookup ? "GET /seat-lookup/7" : "POST /seat-booking/7"));
            try (Rig.Conn c = new Rig.Conn(gateways.get(i % 2).port)) {
                c.socket.setSoTimeout(4000);
                c.send(
                        lookup
                                ? Rig.head("GET", "/seat-lookup/7", id, 2500, "")
                                : Rig.head("POST", "/seat-booking/7", id, 3000, "Content-Length: 0\r\n"));
                Rig.Message answer = c.readMessage(true);
                String body = new String(answer.body, StandardCharsets.ISO_8859_1);
                rig.note("answer " + id + "  " + answer.status() + " '" + body.replaceAll("[^ -~]", "?") + "' "
                        + answer.headers.keySet());
                if (answer.status() == 200 && !whole.getOrDefault(id, List.of()).contains(body)) {
                    broken++;
                    rig.note("BROKEN " + id + "  served with a body that no proper answer had; spoilt answer: "
                            + spoilt.get(id));
                }
                if (answer.status() != 200 && !spoil) {
                    unserved++;
                }
            } catch (IOException e) {
                rig.note("answer " + id + "  none: " + e);
                unserved += spoil ? 0 : 1;
            }
        }
        rig.note(broken + " of " + spoilt.size() + " requests with a spoilt answer were served with it; " + unserved
                + " requests without one were not served");
        return broken > 0 ? Rig.BROKEN : unserved > 0 ? Rig.NOT_RUN : Rig.HELD;
    }

    /** Sends a spoilt answer and returns what is wrong with it. */
    private static String send(Rig.Conn c, int form, String text) throws IOException {
        ByteArrayOutputStream coded = new ByteArrayOutputStream();
        try (GZIPOutputStream gzip = new GZIPOutputStream(coded)) {
            gzip.write(text.getBytes(StandardCharsets.ISO_8859_1));
        }
        String zipped = coded.toString(StandardCharsets.ISO_8859_1);
        switch (form % 4) {
            case 0:
                c.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
                        + Integer.toHexString(zipped.length()) + "\r\n" + zipped + "\r\n0\r\n\r\n");
                return "in another transfer coding than chunked";
            case 1:
                c.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\n" + text + "\r\n0\r\n\r\n");
                return "a chunk longer than its size";
            case 2:
                c.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nContent-Length: " + zipped.length() + "\r\n\r\n"
                        + zipped);
                return "in another transfer coding than chunked, with a length";
            default:
                c.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n100000008\r\n" + text.substring(0, 8)
                        + "\r\n0\r\n\r\n");
                return "a chunk of 4 GiB and 8 bytes that never ends";
        }
    }
}
