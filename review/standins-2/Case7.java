import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Peers send request targets that are not of the protocol's form. No seat server may get such a request. */
public final class Case7 {
    private static final int ROUNDS = 10;

    private static final String CUSTOMER = "X-Customer: 00000000b4d65521";

    /** What one peer sends: the method, the target that is not proper, and the proper one in its place. */
    private record Form(String method, String target, String proper, String customer) {
        Form(String method, String target, String proper) {
            this(method, target, proper, CUSTOMER);
        }
    }

    private static final List<Form> FORMS = List.of(
            // the target has no path: what looks like one is a part of its query
            new Form("POST", "http://backend.local?next=/seat-booking/17", "/seat-booking/17"),
            new Form("GET", "http://backend.local?next=/seat-lookup/17", "/seat-lookup/17"),
            // neither a path nor an absolute target
            new Form("POST", "xseat-booking/17", "/seat-booking/17"),
            new Form("GET", "xseat-lookup/17", "/seat-lookup/17"),
            // bytes that a path can't have, and that do not reach the seat server as they were sent
            new Form("GET", "/seat-lookup/Taup\u00c5\u008d", "/seat-lookup/Taup%C5%8D"),
            // not 16 hex digits
            new Form("POST", "/seat-booking/17", "/seat-booking/17", "X-Customer: +0000000b4d65521"));

    public static void main(String[] args) throws Exception {
        Rig.main(args, Case7::run);
    }

    private static int run(Rig rig) throws Exception {
        Map<String, String> runs = new ConcurrentHashMap<>(); // what ran, by id
        Rig.Discovery discovery = new Rig.Discovery();
        for (int i = 0; i < 4; i++) {
            Rig.SeatServer server = new Rig.SeatServer("s-" + i, 0, (s, c, m) -> {
                String body = new String(c.readBody(m, false).body);
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
        for (int round = 0; round < ROUNDS; round++) {
            Rig.Gateway gateway = gateways.get(round % 2);
            for (Form form : FORMS) {
                String id = rig.newId();
                if (rig.trouble) {
                    int status = send(rig, gateway, id, form.method(), form.target(), form.customer());
                    if (runs.containsKey(id) || status == 200) {
                        broken++;
                        rig.note("BROKEN " + id + "  " + form.method() + " " + form.target() + " with " + form.customer()
                                + " was answered " + status + "; run: "
                                + runs.get(id));
                    }
                }
                String properId = rig.newId();
                int status = send(rig, gateway, properId, form.method(), form.proper(), CUSTOMER);
                if (status != 200 || !runs.containsKey(properId)) {
                    unserved++;
                }
            }
        }
        rig.note(broken + " requests that were not proper were run or answered as served; " + unserved + " of "
                + ROUNDS * FORMS.size() + " proper requests were not served");
        return broken > 0 ? Rig.BROKEN : unserved > 0 ? Rig.NOT_RUN : Rig.HELD;
    }

    /** Sends one request on a connection of its own. Returns the status, 0 for a close without an answer. */
    private static int send(
            Rig rig, Rig.Gateway gateway, String id, String method, String target, String customer) throws Exception {
        String body = method.equals("POST") ? "two seats" : "";
        String length = method.equals("POST") ? "Content-Length: " + body.length() + "\r\n" : "";
        rig.note("sent   " + id + "  " + method + " " + target + " with " + customer);
        try (Rig.Conn c = new Rig.Conn(gateway.port)) {
            c.socket.setSoTimeout(3500);
            c.send(Rig.head(method, target, id, 2000, length).replace(CUSTOMER, customer) + body);
            Rig.Message answer = c.readMessage(true);
            rig.note("answer " + id + "  " + answer.status() + " '" + new String(answer.body) + "'");
            return answer.status();
        } catch (IOException e) {
            rig.note("answer " + id + "  none: " + e);
            return 0;
        }
    }
}
