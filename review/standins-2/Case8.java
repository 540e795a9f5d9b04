import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Peers send chunked bodies that are not framed properly. Nothing of what they send may be run or served. */
public final class Case8 {
    private static final int ROUNDS = 6;

    /** A body that is not framed properly; {@code INNER} stands for a request inside the data of a chunk. */
    private record Form(String name, String body) {}

    private static final List<Form> FORMS = List.of(
            // a chunk of 4 GiB and 5 bytes, of which the peer sends some: all of it is data
            new Form("chunk of 4 GiB", "100000005\r\nhello\r\n0\r\n\r\nINNER"),
            new Form("chunk longer than its size", "5\r\nhello and more\r\n0\r\n\r\n"),
            new Form("chunk size with other text behind it", "5 bytes\r\nhello\r\n0\r\n\r\n"));

    public static void main(String[] args) throws Exception {
        Rig.main(args, Case8::run);
    }

    private static int run(Rig rig) throws Exception {
        Map<String, String> runs = new ConcurrentHashMap<>();
        Rig.Discovery discovery = new Rig.Discovery();
        for (int i = 0; i < 4; i++) {
            Rig.SeatServer server = new Rig.SeatServer("s-" + i, 0, (s, c, m) -> {
                String body = new String(c.readBody(m, false).body, StandardCharsets.ISO_8859_1);
                String what = m.startLine + ", body '" + body + "', at " + s.id;
                rig.note("run    " + m.id() + "  " + what);
                runs.merge(String.valueOf(m.id()), what, (a, b) -> a + " AND " + b);
                Rig.answer(c, 200, "", ("done " + m.id()).getBytes());
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
        int sent = 0;
        for (int round = 0; round < ROUNDS; round++) {
            Rig.Gateway gateway = gateways.get(round % 2);
            for (Form form : FORMS) {
                if (rig.trouble) {
                    String id = rig.newId();
                    String innerId = rig.newId();
                    String inner = Rig.head("POST", "/seat-booking/99", innerId, 2000, "Content-Length: 9\r\n")
                            + "two seats";
                    List<Integer> answers = send(rig, gateway, id, form.name(), form.body().replace("INNER", inner));
                    boolean served = answers.contains(200);
                    if (runs.containsKey(id) || runs.containsKey(innerId) || served) {
                        broken++;
                        rig.note("BROKEN " + id + "  " + form.name() + ": answers " + answers + "; run: "
                                + runs.get(id)
                                + (runs.containsKey(innerId)
                                        ? "; a request inside the body was run as well, " + innerId + ": "
                                                + runs.get(innerId)
                                        : ""));
                    }
                }
                String properId = rig.newId();
                sent++;
                List<Integer> answers = send(rig, gateway, properId, "proper chunks", "5\r\nhello\r\n0\r\n\r\n");
                if (!answers.equals(List.of(200)) || !runs.containsKey(properId)) {
                    unserved++;
                }
            }
        }
        rig.note(broken + " peers with a body that was not framed properly were served; " + unserved + " of " + sent
                + " proper requests were not served");
        return broken > 0 ? Rig.BROKEN : unserved > 0 ? Rig.NOT_RUN : Rig.HELD;
    }

    /** Sends one chunked request, and stays for a while. Returns the status of each answer that comes. */
    private static List<Integer> send(Rig rig, Rig.Gateway gateway, String id, String name, String body)
            throws Exception {
        List<Integer> answers = new ArrayList<>();
        rig.note("sent   " + id + "  " + name + ": " + body.replace("\r\n", "|"));
        try (Rig.Conn c = new Rig.Conn(gateway.port)) {
            c.socket.setSoTimeout(3500);
            c.send(Rig.head("POST", "/seat-booking/17", id, 2000, "Transfer-Encoding: chunked\r\n") + body);
            while (true) {
                Rig.Message answer = c.readMessage(true);
                answers.add(answer.status());
                rig.note("answer " + id + "  " + answer.status() + " '" + new String(answer.body) + "'");
                c.socket.setSoTimeout(300);
            }
        } catch (IOException e) {
            if (answers.isEmpty()) {
                rig.note("answer " + id + "  none: " + e);
            }
        }
        return answers;
    }
}
