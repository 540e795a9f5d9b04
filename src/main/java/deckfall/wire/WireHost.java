package deckfall.wire;

import deckfall.DecisionModule;
import deckfall.Gateway.AttemptResult;
import deckfall.Gateway.Host;
import deckfall.Gateway.HostListKind;
import deckfall.Gateway.HostState;
import deckfall.Gateway.Outcome;
import deckfall.Gateway.Request;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Runs many instances of the decision module under the simulator: translates its lines to events and the actions of
 * the instances to lines of the reply.
 */
final class WireHost {
    private static final long NO_INSTANCE = Long.MIN_VALUE;

    private final BufferedReader in;
    private final Writer out;
    private final Map<Long, DecisionModule> modules = new TreeMap<>();
    private final Map<Integer, List<Host>> hostLists = new TreeMap<>(); // by page
    private final long[] lastInstance = {NO_INSTANCE}; // that of the last line in the reply
    private final StringBuilder reply = new StringBuilder();
    private long lineNumber;
    private String line = "";

    WireHost(BufferedReader in, Writer out) {
        this.in = in;
        this.out = out;
    }

    /**
     * Answers batches until the input ends.
     *
     * @throws WireFormatException if a line cannot be parsed; the message names the line and what is wrong with it
     */
    void run() throws IOException {
        try {
            while (readNextLine()) {
                if (line.isEmpty()) {
                    continue;
                }
                handleBatch();
            }
        } catch (WireFormatException exception) {
            throw new WireFormatException("line " + lineNumber + ": " + exception.getMessage());
        }
    }

    private boolean readNextLine() throws IOException {
        line = in.readLine();
        lineNumber++;
        return line != null;
    }

    private static String messageName(String line) {
        int space = line.indexOf(' ');
        return space < 0 ? line : line.substring(0, space);
    }

    private Fields parseFields() {
        int space = line.indexOf(' ');
        return new Fields(space < 0 ? "" : line.substring(space + 1));
    }

    private void handleBatch() throws IOException {
        if (!messageName(line).equals("BEGIN_BATCH")) {
            throw new WireFormatException("expected BEGIN_BATCH, found '" + messageName(line) + "'");
        }
        Fields header = parseFields();
        double now = header.number("moment_ms");
        long turn = header.longNumber("turn");
        lastInstance[0] = NO_INSTANCE;
        reply.setLength(0);
        long target = NO_INSTANCE;
        while (true) {
            if (!readNextLine()) {
                throw new WireFormatException("input ended inside a batch");
            }
            String name = messageName(line);
            if (name.equals("COMMIT")) {
                break;
            }
            if (name.equals("TARGET_INSTANCE")) {
                target = parseFields().longNumber("gateway_id");
            } else if (name.equals("CATALOG")) {
                readHostList(parseFields());
            } else {
                handleMessage(now, target, name);
            }
        }
        reply.append("YIELD turn=").append(turn).append('\n');
        out.append(reply);
        out.flush();
    }

    private void handleMessage(double now, long target, String name) {
        if (target == NO_INSTANCE) {
            throw new WireFormatException("'" + name + "' before any TARGET_INSTANCE");
        }
        Fields fields = parseFields();
        if (name.equals("ATTACH")) {
            DecisionModule module = new DecisionModule(new ReplyWriter(reply, target, lastInstance));
            modules.put(target, module);
            module.start(now, SettingsReader.read(fields));
            return;
        }
        if (name.equals("KILL")) {
            modules.remove(target);
            return;
        }
        DecisionModule module = modules.get(target);
        if (module == null) {
            throw new WireFormatException("'" + name + "' for an instance that was not started: " + target);
        }
        deliverEvent(now, module, name, fields);
    }

    /** Passes an event to an instance that was started. */
    private void deliverEvent(double now, DecisionModule module, String name, Fields fields) {
        switch (name) {
            case "MEMBERSHIP" -> handleMembership(now, module, fields);
            case "DEMAND" ->
                module.requestReceived(
                        now,
                        new Request(
                                fields.text("op_id"),
                                fields.number("valid_until_ms"),
                                fields.flag("retry", false),
                                fields.text("lane"),
                                fields.longNumber("holder"),
                                fields.text("contract"),
                                fields.number("size_units"),
                                fields.intNumber("from_no", 0),
                                fields.intNumber("doors", 1)));
            case "FLOWING" -> module.streamStarted(now, fields.text("op_id"), fields.intNumber("hop"));
            case "COMPLETED" ->
                module.attemptEnded(
                        now,
                        new AttemptResult(
                                fields.text("op_id"),
                                fields.intNumber("hop"),
                                fields.text("host"),
                                parseOutcome(fields.text("reason")),
                                fields.number("cost_time_ms", 0),
                                fields.flag("terminal", false),
                                fields.intNumber("use_pct", 0),
                                fields.number("cost", 0),
                                fields.numbers("health_info")));
            case "VANISHED" -> module.clientDisconnected(now, fields.text("op_id"));
            case "DUE" -> module.timerFired(now, fields.text("cookie"));
            case "PROBE_RESULT" ->
                module.probeEnded(
                        now,
                        fields.text("host"),
                        parseOutcome(fields.text("reason")),
                        fields.number("cost_time_ms", 0),
                        fields.numbers("health_info"));
            case "FROM_PEER" ->
                module.peerMessageReceived(now, fields.intNumber("neighbour"), fields.bytes("contents"));
            case "COUNTED" ->
                module.counterCallEnded(
                        now, fields.text("counter"), parseOutcome(fields.text("reason")), fields.number("reading", 0));
            default -> throw new WireFormatException("unknown message '" + name + "'");
        }
    }

    private void handleMembership(double now, DecisionModule module, Fields fields) {
        String kindCode = fields.text("how");
        HostListKind kind = switch (kindCode) {
            case "D" -> HostListKind.CHANGES;
            case "F" -> HostListKind.FULL;
            case "C" -> HostListKind.CACHED;
            case "X" -> HostListKind.FAILED;
            default -> throw new WireFormatException("unknown list kind '" + kindCode + "'");
        };
        List<Host> hosts = List.of();
        if (kind != HostListKind.FAILED) {
            int page = fields.intNumber("page");
            hosts = hostLists.get(page);
            if (hosts == null) {
                throw new WireFormatException("no CATALOG with page " + page);
            }
        }
        module.hostsUpdated(now, kind, hosts);
    }

    private void readHostList(Fields fields) throws IOException {
        int page = fields.intNumber("page");
        int members = fields.intNumber("members");
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            if (!readNextLine() || !messageName(line).equals("HOST")) {
                throw new WireFormatException("expected " + members + " HOST lines, found " + i);
            }
            Fields hostFields = parseFields();
            hosts.add(new Host(
                    hostFields.text("host"),
                    hostFields.text("failure_domain", ""),
                    hostFields.text("shape", ""),
                    hostFields.intNumber("cohort", 0),
                    parseHostState(hostFields.text("mode")),
                    hostFields.number("rating", 1),
                    hostFields.number("born_ms", 0)));
        }
        hostLists.put(page, List.copyOf(hosts));
    }

    private static HostState parseHostState(String value) {
        return switch (value) {
            case "Running" -> HostState.RUNNING;
            case "Stopping" -> HostState.DRAINING;
            case "Deleted" -> HostState.GONE;
            default -> throw new WireFormatException("unknown host mode '" + value + "'");
        };
    }

    private static Outcome parseOutcome(String value) {
        return switch (value) {
            case "Ok" -> Outcome.OK;
            case "Failed" -> Outcome.ERROR;
            case "QueueFull" -> Outcome.FULL;
            case "TimedOut" -> Outcome.TIMEOUT;
            case "ConnectError" -> Outcome.CONNECT_FAILED;
            case "ResetByPeer" -> Outcome.RESET;
            case "Canceled" -> Outcome.CANCELLED;
            case "Ignored" -> Outcome.MOOT;
            default -> throw new WireFormatException("unknown reason '" + value + "'");
        };
    }
}
