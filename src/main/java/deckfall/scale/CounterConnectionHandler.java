package deckfall.scale;

import deckfall.Gateway.Outcome;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** Serves one connection of a real gateway to the counter in RESP2; replies are sent in the order of the calls. */
final class CounterConnectionHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private static final double NO_TIMEOUT_MS = 1e12; // the counter imposes no timeout on its callers
    private static final int ADDGET_WORDS = 4;

    /** The place of a call in the order of replies; without a text until the call has ended. */
    private static final class PendingReply {
        private String text;
    }

    private final Fleet fleet;
    private final RealTimePacer pacer;
    private final FleetGateway gateway;
    private final ControlTraffic traffic;
    private final ArrayDeque<PendingReply> pendingReplies = new ArrayDeque<>();
    private final List<String> words = new ArrayList<>();
    private int remainingLines; // lines of the current call that are still to come
    private boolean wordExpected;

    CounterConnectionHandler(Fleet fleet, RealTimePacer pacer, FleetGateway gateway, ControlTraffic traffic) {
        this.fleet = fleet;
        this.pacer = pacer;
        this.gateway = gateway;
        this.traffic = traffic;
    }

    /** A call is a line with the number of its words, followed by two lines for each word: its length and its text. */
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
        String text = line.toString(StandardCharsets.US_ASCII);
        if (remainingLines == 0) {
            remainingLines = 2 * Integer.parseInt(text.substring(1));
            words.clear();
            return;
        }
        if (wordExpected) {
            words.add(text);
        }
        wordExpected = !wordExpected;
        remainingLines--;
        if (remainingLines == 0) {
            pacer.catchUp();
            handleCall(ctx);
        }
    }

    private void handleCall(ChannelHandlerContext ctx) {
        traffic.countMessage();
        PendingReply pendingReply = new PendingReply();
        pendingReplies.add(pendingReply);
        if (words.size() != ADDGET_WORDS || !words.get(0).equals("ADDGET")) {
            reply(ctx, pendingReply, "+OK\r\n");
            return;
        }
        fleet.callCounter(
                gateway,
                words.get(1),
                Double.parseDouble(words.get(2)),
                Double.parseDouble(words.get(3)),
                NO_TIMEOUT_MS,
                (outcome, total) -> reply(ctx, pendingReply, outcome == Outcome.OK ? bulkString(total) : "-BUSY\r\n"));
    }

    private static String bulkString(double total) {
        String text = Double.toString(total);
        return "$" + text.length() + "\r\n" + text + "\r\n";
    }

    private void reply(ChannelHandlerContext ctx, PendingReply pendingReply, String text) {
        pendingReply.text = text;
        while (!pendingReplies.isEmpty() && pendingReplies.peek().text != null) {
            traffic.countMessage();
            ctx.write(ByteBufUtil.writeAscii(ctx.alloc(), pendingReplies.poll().text));
        }
        ctx.flush();
    }
}
