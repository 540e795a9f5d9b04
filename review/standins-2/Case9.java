import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A long answer breaks off behind which its client has sent more requests. Each of those has to get a final answer. */
public final class Case9 {
    private static final int BATCHES = 12;
    private static final int LONG_ANSWER_BYTES = 300_000;
    private static final int BROKEN_OFF_AT_BYTES = 150_000;

    public static void main(String[] args) throws Exception {
        Rig.main(args, Case9::run);
    }

    private static int run(Rig rig) throws Exception {
        byte[] longBody = new byte[LONG_ANSWER_BYTES];
        Arrays.fill(longBody, (byte) 's');
        Map<String, String> runs = new ConcurrentHashMap<>();
        Rig.Discovery discovery = new Rig.Discovery();
        for (int i = 0; i < 4; i++) {
            Rig.SeatServer server = new Rig.SeatServer("s-" + i, 0, (s, c, m) -> {
                c.readBody(m, false);
                rig.note("run    " + m.id() + "  " + m.startLine + " at " + s.id);
                runs.put(m.id(), m.startLine);
                Rig.sleep(100);
                if (!m.path().endsWith("/long")) {
                    Rig.answer(c, 200, "", ("done " + m.id()).getBytes());
                    return;
                }
                c.send("HTTP/1.1 200 OK\r\nContent-Length: " + LONG_ANSWER_BYTES + "\r\n\r\n");
                c.out.write(longBody, 0, BROKEN_OFF_AT_BYTES);
                Rig.sleep(150);
                if (rig.trouble) {
                    rig.note("reset  " + m.id() + "  by " + s.id + " after " + BROKEN_OFF_AT_BYTES + " bytes of "
                            + LONG_ANSWER_BYTES);
                    c.reset();
                    return;
                }
                c.out.write(longBody, BROKEN_OFF_AT_BYTES, LONG_ANSWER_BYTES - BROKEN_OFF_AT_BYTES);
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
        int lost = 0;
        int answered = 0;
        int failed = 0;
        for (int batch = 0; batch < BATCHES; batch++) {
            Rig.Gateway gateway = gateways.get(batch % 2);
            List<String> ids = new ArrayList<>();
            StringBuilder commands = new StringBuilder();
            for (int i = 0; i < 5; i++) {
                String id = rig.newId();
                ids.add(id);
                boolean booking = i == 3;
                String path = i == 0 ? "/seat-lookup/long" : booking ? "/seat-booking/3" : "/seat-lookup/" + i;
                commands.append(
                        booking
                                ? Rig.head("POST", path, id, 4000, "Content-Length: 9\r\n") + "two seats"
                                : Rig.head("GET", path, id, 2500, ""));
                rig.note("sent   " + id + "  " + path + " at " + gateway.name);
            }
            Set<String> open = new HashSet<>(ids);
            try (Rig.Conn c = new Rig.Conn(gateway.port)) {
                c.socket.setSoTimeout(8000);
                c.send(commands.toString());
                for (String id : ids) {
                    Rig.Message answer = c.readHead();
                    if (id.equals(ids.get(0))) {
                        open.remove(id); // its answer has begun; if it breaks off, that one has failed
                    }
                    answer = c.readBody(answer, true);
                    open.remove(id);
                    answered++;
                    failed += answer.status() == 200 ? 0 : 1;
                    rig.note("answer " + id + "  " + answer.status() + ", " + answer.body.length + " body bytes");
                }
            } catch (IOException e) {
                rig.note("answer " + ids.get(0) + "  the connection ended: " + e);
            }
            for (String id : ids) {
                if (open.contains(id)) {
                    lost++;
                    rig.note("BROKEN " + id + "  no answer; " + (runs.containsKey(id) ? "it ran" : "it never ran"));
                }
            }
        }
        rig.note(lost + " of " + 4 * BATCHES + " requests behind a long answer got no answer; " + answered
                + " answers came, " + failed + " of them not 200");
        if (lost > 0) {
            return Rig.BROKEN;
        }
        return !rig.trouble && (failed > 0 || answered != 5 * BATCHES) ? Rig.NOT_RUN : Rig.HELD;
    }
}
