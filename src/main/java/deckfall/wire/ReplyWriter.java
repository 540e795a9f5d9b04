package deckfall.wire;

import deckfall.Gateway.Actions;
import deckfall.Gateway.Refusal;
import java.util.HexFormat;

/**
 * Writes the actions of one instance of the decision module as lines of the reply to a batch. An AT line precedes the
 * actions whenever the instance differs from that of the line before.
 */
final class ReplyWriter implements Actions {
    private final StringBuilder out;
    private final long instance;
    private final long[] lastInstance; // one element, shared by the writers of all instances

    ReplyWriter(StringBuilder out, long instance, long[] lastInstance) {
        this.out = out;
        this.instance = instance;
        this.lastInstance = lastInstance;
    }

    private StringBuilder beginLine(String name) {
        if (lastInstance[0] != instance) {
            out.append("AT gateway_id=").append(instance).append('\n');
            lastInstance[0] = instance;
        }
        return out.append(name);
    }

    /** Formats milliseconds or units with three decimals, the simulator's resolution, and without an exponent. */
    private static String formatNumber(double value) {
        long thousandths = Math.round(value * 1000);
        String sign = thousandths < 0 ? "-" : "";
        long magnitude = Math.abs(thousandths);
        return sign
                + magnitude / 1000
                + '.'
                + String.valueOf(1000 + magnitude % 1000).substring(1);
    }

    @Override
    public void send(String id, String host, double timeoutMs) {
        beginLine("PLACE op_id=").append(id).append(" host=").append(host);
        if (timeoutMs > 0) {
            out.append(" limit_ms=").append(formatNumber(timeoutMs));
        }
        out.append('\n');
    }

    @Override
    public void cancel(String id, int attempt) {
        beginLine("ABANDON op_id=").append(id).append(" hop=").append(attempt).append('\n');
    }

    @Override
    public void refuse(String id, double retryAfterMs, Refusal reason) {
        beginLine("OVERLOAD_REPLY op_id=").append(id);
        if (retryAfterMs > 0) {
            out.append(" wait_ms=").append(formatNumber(retryAfterMs));
        }
        out.append('\n');
    }

    @Override
    public void fail(String id) {
        beginLine("ABORT op_id=").append(id).append('\n');
    }

    @Override
    public void startTimer(double delayMs, String token) {
        beginLine("TIMER in_ms=")
                .append(formatNumber(delayMs))
                .append(" cookie=")
                .append(token)
                .append('\n');
    }

    @Override
    public void probeHost(String host) {
        beginLine("HEALTH_CHECK host=").append(host).append('\n');
    }

    @Override
    public void sendPeerMessage(int peer, byte[] data) {
        beginLine("NOTIFY dest=")
                .append(peer)
                .append(" contents=")
                .append(data.length == 0 ? "-" : HexFormat.of().formatHex(data))
                .append('\n');
    }

    @Override
    public void addToCounter(String counter, double amount, double lifetimeMs) {
        beginLine("ADD_AND_GET counter=")
                .append(counter)
                .append(" by=")
                .append(formatNumber(amount))
                .append(" lifetime_ms=")
                .append(formatNumber(lifetimeMs))
                .append('\n');
    }

    @Override
    public void subscribeHosts() {
        beginLine("KEEP_INFORMED want=1\n");
    }
}
