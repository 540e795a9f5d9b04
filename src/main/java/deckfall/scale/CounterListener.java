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

/** One connection of a real gateway to the counter: lines of RESP2, whose answers go out in the order of the calls. */
final class CounterListener extends SimpleChannelInboundHandler<ByteBuf> {
    private static final double EVER_MS = 1e12; // the counter puts no time-out on its callers
    private static final int CALL_WORDS = 4;

    private static final class Slot {
        private String answer;
    }

    private final Fleet fleet;
    private final Pace pace;
    private final FleetGateway gateway;
    private final Traffic traffic;
    private final ArrayDeque<Slot> slots = new ArrayDeque<>();
    private final List<String> words = new ArrayList<>();
    private int missing; // lines of the call under way
    private boolean wordFollows;

    CounterListener(Fleet fleet, Pace pace, FleetGateway gateway, Traffic traffic) {
        this.fleet = fleet;
        this.pace = pace;
        this.gateway = gateway;
        this.traffic = traffic;
    }

    /** A call is a line with the number of its words, and for each word one with its length and one with itself. */
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
        String text = line.toString(StandardCharsets.US_ASCII);
        if (missing == 0) {
            missing = 2 * Integer.parseInt(text.substring(1));
            words.clear();
            return;
        }
        if (wordFollows) {
            words.add(text);
        }
        wordFollows = !wordFollows;
        missing--;
        if (missing == 0) {
            pace.catchUp();
            take(ctx);
        }
    }

    private void take(ChannelHandlerContext ctx) {
        traffic.message();
        Slot slot = new Slot();
        slots.add(slot);
        if (words.size() != CALL_WORDS || !words.get(0).equals("ADDGET")) {
            answer(ctx, slot, "+OK\r\n");
            return;
        }
        fleet.call(
                gateway,
                words.get(1),
                Double.parseDouble(words.get(2)),
                Double.parseDouble(words.get(3)),
                EVER_MS,
                (outcome, total) -> answer(ctx, slot, outcome == Outcome.OK ? bulk(total) : "-BUSY\r\n"));
    }

    private static String bulk(double total) {
        String text = Double.toString(total);
        return "$" + text.length() + "\r\n" + text + "\r\n";
    }

    private void answer(ChannelHandlerContext ctx, Slot slot, String text) {
        slot.answer = text;
        while (!slots.isEmpty() && slots.peek().answer != null) {
            traffic.message();
            ctx.write(ByteBufUtil.writeAscii(ctx.alloc(), slots.poll().answer));
        }
        ctx.flush();
    }
}
