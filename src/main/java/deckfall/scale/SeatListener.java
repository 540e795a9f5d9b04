package deckfall.scale;

import deckfall.Gateway.Outcome;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;

/** A seat server's address: requests of real gateways, and those that the run makes itself beside them. */
@Sharable
final class SeatListener extends SimpleChannelInboundHandler<FullHttpRequest> {
    static final String TRACE = "X-Trace-Id";
    private static final byte[] BODY = "served".getBytes(StandardCharsets.US_ASCII);

    /** Who knows what a trace id stands for. */
    interface Requests {
        /** A request has come whole; its answer is written with {@link #answer}. */
        void came(String id, SeatServer server, ChannelHandlerContext from);
    }

    private final SeatServer server;
    private final Requests requests;

    SeatListener(SeatServer server, Requests requests) {
        this.server = server;
        this.requests = requests;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        requests.came(String.valueOf(request.headers().get(TRACE)), server, ctx);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    /** {@code usedPct} is the meter's figure with 1 added, or 0. */
    static void answer(ChannelHandlerContext to, Outcome outcome, int usedPct) {
        boolean full = outcome == Outcome.FULL;
        HttpResponseStatus status = switch (outcome) {
            case OK -> HttpResponseStatus.OK;
            case FULL -> HttpResponseStatus.SERVICE_UNAVAILABLE;
            case MOOT -> HttpResponseStatus.NOT_FOUND;
            default -> HttpResponseStatus.INTERNAL_SERVER_ERROR;
        };
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(BODY));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, BODY.length);
        if (full) {
            response.headers().set("X-Never-Ran", "1");
        }
        if (usedPct > 0) {
            response.headers().set("X-Quota-Used", usedPct - 1);
        }
        to.writeAndFlush(response, to.voidPromise());
    }
}
