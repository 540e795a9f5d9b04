import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The quota counter answers nothing for some seconds. Each request has to get a final answer in time all the same. */
public final class Case10 {
    private static final int INSTANCES = 2;
    private static final double TICK_MS = 2;
    private static final double SECONDS = 14;
    private static final double SILENT_FROM_MS = 4000;
    private static final double SILENT_TO_MS = 10_000;
    private static final double COUNTER_TIMEOUT_MS = 250;
    private static final double SLACK_MS = 8;
    private static final double WORK_MS = 60;
    private static final int CUSTOMERS = 10;
    private static final double REQUESTS_PER_S = 100; // at each instance

    private record Event(double atMs, long order, int instance, String line) {}

    private record Request(int instance, double validUntilMs, double sentAtMs, int[] attempts) {}

    private final Rig rig;
    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> a.atMs() != b.atMs()
            ? Double.compare(a.atMs(), b.atMs())
            : Long.compare(a.order(), b.order()));
    private final Map<String, Request> open = new LinkedHashMap<>();
    private final Map<String, Double> totals = new HashMap<>();
    private final Random random = new Random(46);
    private long order;
    private int answered;
    private int served;
    private int lost;
    private int faults;

    private Case10(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) throws Exception {
        Rig.main(args, rig -> new Case10(rig).run());
    }

    private static String simCommand() throws Exception {
        Matcher m = Pattern.compile("(?m)^sim = \"(.*)\"").matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!m.find()) {
            throw new IllegalStateException("no sim command in the deploy file");
        }
        return m.group(1);
    }

    private static String settings(int ordinal) {
        return "az=akl-dc1 balancers=" + INSTANCES + " classes.count=1 classes.0.effect=repeatable"
                + " classes.0.goal_time_ms=200.0 classes.0.hard_limit_ms=400.0 classes.0.key_scope=all"
                + " classes.0.late_value=0.0 classes.0.name=seat-lookup classes.0.streaming=false"
                + " classes.0.window_ms=5000.0 classes.0.worth=1.0 client_habits.marks_retry=true"
                + " costs.connection=0.0 costs.cross_zone=0.0 costs.discovery=0.0 costs.handshake=0.0"
                + " costs.late_fail=0.03 costs.moves=0.0 costs.origin=0.0 costs.peer=0.0 costs.probe=0.01"
                + " costs.waste=0.05 discovery=automatic domain_type=gate goal.whole=0.5 goal.worst_class=0.1"
                + " goal.worst_tenant=0.15 goal.worst_window=0.25 limits.cancel=true limits.conn_idle_ms=30000.0"
                + " limits.connect_timeout_ms=250.0 limits.cpu_us_per_request=0.0 limits.cpu_us_per_s=500000"
                + " limits.max_attempts=3 limits.max_open=20000 limits.max_retry_after_ms=1000.0"
                + " limits.may_duplicate=false limits.peer_messages=false limits.probes=true limits.retry_after=false"
                + " limits.streams_per_conn=100 models=std-4core ordinal=" + ordinal
                + " plans.count=1 plans.0.at_once=0 plans.0.cap_rate=0.0 plans.0.cap_slack=0.0 plans.0.depth=15.0"
                + " plans.0.excess_cost=1.2 plans.0.name=wholesale plans.0.never_over_depth=0.0"
                + " plans.0.over_worth=0.0 plans.0.units_per_s=11.0 plans.0.value_factor=1.6"
                + " rules.answer_slack_ms=" + SLACK_MS + " rules.ask_within_ms=10000.0 rules.cold_from=0.15"
                + " rules.drain_grace_ms=250.0 rules.fall_ms=2000.0 rules.fall_multiple=4.0"
                + " rules.warm_within_ms=18000.0 specifics.counter=true specifics.counter_price=0.005"
                + " specifics.counter_timeout_ms=" + COUNTER_TIMEOUT_MS
                + " specifics.mail_per_s=0.0 specifics.max_units=1 specifics.meter_period_ms=1000.0"
                + " specifics.post_paid=false stage=0 telemetry.names=qps,latency_ms telemetry.source=inline"
                + " tick_ms=" + TICK_MS + " tiers=seat-servers weights=rough zones=akl-dc1";
    }

    private void at(double atMs, int instance, String line) {
        events.add(new Event(atMs, order++, instance, line));
    }

    private int run() throws Exception {
        Process sim = new ProcessBuilder("/bin/sh", "-c", simCommand())
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        rig.own(sim);
        Writer out = new OutputStreamWriter(sim.getOutputStream(), StandardCharsets.UTF_8);
        BufferedReader in = new BufferedReader(new InputStreamReader(sim.getInputStream(), StandardCharsets.UTF_8));
        for (int i = 0; i < INSTANCES; i++) {
            at(0, i, "ATTACH rng_seed=" + (5138197539985895L + i) + " " + settings(i));
            at(0, i, "MEMBERSHIP epoch=41 how=C page=0");
        }
        for (double t = 100; t < SECONDS * 1000 - 1000; t += 1000 / REQUESTS_PER_S) {
            for (int i = 0; i < INSTANCES; i++) {
                demand(t + random.nextDouble() * 5, i);
            }
        }
        double startMs = rig.ms();
        int turn = 0;
        for (double now = 0; now < SECONDS * 1000; now += TICK_MS) {
            while (rig.ms() - startMs < now) { // the real clock
                Rig.sleep(1);
            }
            StringBuilder batch = new StringBuilder(
                    String.format(Locale.ROOT, "BEGIN_BATCH moment_ms=%.3f turn=%d%n", now, ++turn));
            if (turn == 1) {
                batch.append("CATALOG page=0 members=6\n");
                for (int s = 0; s < 6; s++) {
                    batch.append("HOST host=127.0.0.1:").append(9000 + s)
                            .append(" failure_domain=akl-dc1 shape=std-4core cohort=0 mode=Running rating=1\n");
                }
            }
            int target = -1;
            List<Event> due = new ArrayList<>();
            while (!events.isEmpty() && events.peek().atMs() <= now) {
                due.add(events.poll());
            }
            for (Map.Entry<String, Request> e : List.copyOf(open.entrySet())) {
                if (now > e.getValue().validUntilMs() + SLACK_MS) {
                    open.remove(e.getKey());
                    lost++;
                    rig.note(String.format(
                            Locale.ROOT,
                            "BROKEN %s no final answer %.0f ms after its deadline; it came at %.0f ms, its client"
                                    + " waited %.0f ms, attempts %d",
                            e.getKey(),
                            now - e.getValue().validUntilMs(),
                            e.getValue().sentAtMs(),
                            e.getValue().validUntilMs() - e.getValue().sentAtMs(),
                            e.getValue().attempts()[0]));
                    due.add(new Event(now, order++, e.getValue().instance(), "VANISHED op_id=" + e.getKey()));
                }
            }
            for (Event e : due) {
                if (e.line().startsWith("COMPLETED")) {
                    completed(e);
                }
                if (e.instance() != target) {
                    target = e.instance();
                    batch.append("TARGET_INSTANCE gateway_id=").append(target).append('\n');
                }
                if (e.line().startsWith("DEMAND")) {
                    received(e, now);
                }
                batch.append(e.line()).append('\n');
            }
            out.write(batch.append("COMMIT\n").toString());
            out.flush();
            readReply(in, now);
        }
        rig.note(answered + " requests got their final answer, " + served + " of them served; " + lost
                + " got none in time; " + faults + " actions could not be read");
        return faults > 0 || served == 0 ? Rig.NOT_RUN : lost > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private void demand(double t, int instance) {
        String id = String.format("%08x-f1a9-42b9-a1a3-%012x", order, random.nextInt(1 << 30));
        double waitMs = 200 + random.nextDouble() * 200; // half to all of the class's give-up time
        at(
                t,
                instance,
                String.format(
                        Locale.ROOT,
                        "DEMAND op_id=%s valid_until_ms=%.3f from_no=0 lane=seat-lookup holder=%d contract=wholesale"
                                + " size_units=1 doors=%d",
                        id,
                        t + waitMs,
                        4000 + random.nextInt(CUSTOMERS),
                        INSTANCES));
    }

    private void received(Event e, double now) {
        rig.quietly("sent   " + e.line() + " at instance " + e.instance());
        open.put(field(e.line(), "op_id"), new Request(
                e.instance(), Double.parseDouble(field(e.line(), "valid_until_ms")), now, new int[1]));
    }

    private static String field(String line, String name) {
        Matcher m = Pattern.compile(" " + name + "=(\\S*)").matcher(line);
        return m.find() ? m.group(1) : "";
    }

    /** An outcome that ends its request. */
    private void completed(Event e) {
        if (e.line().endsWith("terminal=1") && open.remove(field(e.line(), "op_id")) != null) {
            answered++;
            served++;
            rig.quietly("answer " + field(e.line(), "op_id") + " served by " + field(e.line(), "host"));
        }
    }

    private void readReply(BufferedReader in, double now) throws Exception {
        int instance = -1;
        while (true) {
            String line = in.readLine();
            if (line == null) {
                throw new IllegalStateException("the adapter ended");
            }
            String name = line.split(" ")[0];
            switch (name) {
                case "YIELD":
                    return;
                case "AT":
                    instance = Integer.parseInt(field(line, "gateway_id"));
                    break;
                case "TIMER":
                    at(
                            now + Double.parseDouble(field(line, "in_ms")),
                            instance,
                            "DUE cookie=" + field(line, "cookie"));
                    break;
                case "PLACE":
                    place(line, now, instance);
                    break;
                case "OVERLOAD_REPLY", "ABORT":
                    answered += open.remove(field(line, "op_id")) == null ? 0 : 1;
                    rig.quietly("answer " + field(line, "op_id") + " " + name);
                    break;
                case "ADD_AND_GET":
                    count(line, now, instance);
                    break;
                case "ABANDON", "REMARK", "HEALTH_CHECK", "KEEP_INFORMED":
                    break;
                default:
                    faults++;
                    rig.note("not read: " + line);
            }
        }
    }

    private void place(String line, double now, int instance) {
        String id = field(line, "op_id");
        Request r = open.get(id);
        rig.quietly("run    " + id + " at " + field(line, "host"));
        int hop = r == null ? 0 : r.attempts()[0]++;
        String reason = r == null ? "Ignored" : now + WORK_MS > r.validUntilMs() ? "TimedOut" : "Ok";
        double end = r == null ? now : Math.min(now + WORK_MS, r.validUntilMs());
        at(
                end,
                instance,
                String.format(
                        Locale.ROOT,
                        "COMPLETED op_id=%s hop=%d host=%s reason=%s cost_time_ms=%.3f terminal=%d",
                        id,
                        hop,
                        field(line, "host"),
                        reason,
                        end - now,
                        reason.equals("TimedOut") ? 0 : 1));
    }

    private void count(String line, double now, int instance) {
        String name = field(line, "counter");
        double total = totals.merge(name, Double.parseDouble(field(line, "by")), Double::sum);
        boolean silent = rig.trouble && now >= SILENT_FROM_MS && now < SILENT_TO_MS;
        rig.quietly("call   " + name + (silent ? " gets no answer" : " is answered"));
        at(
                now + (silent ? COUNTER_TIMEOUT_MS : 2),
                instance,
                silent
                        ? String.format(
                                Locale.ROOT,
                                "COUNTED reason=TimedOut counter=%s cost_time_ms=%.3f",
                                name,
                                COUNTER_TIMEOUT_MS)
                        : String.format(
                                Locale.ROOT, "COUNTED reason=Ok reading=%s counter=%s cost_time_ms=2.0", total, name));
    }
}
