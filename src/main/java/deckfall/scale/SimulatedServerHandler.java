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

/** Serves the address of a seat server: requests of real gateways, and those that the run sends there directly. */
@Sharable
final class SimulatedServerHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    static final String TRACE_ID_HEADER = "X-Trace-Id";
    private static final byte[] BODY = "served".getBytes(StandardCharsets.US_ASCII);

    /** Receives the requests, which are identified by their trace ids. */
    interface RequestReceiver {
        /** Called when a request has arrived completely; its response is written with {@link #respond}. */
        void requestReceived(String id, SimulatedServer server, ChannelHandlerContext context);
    }

    private final SimulatedServer server;
    private final RequestReceiver receiver;

    SimulatedServerHandler(SimulatedServer server, RequestReceiver receiver) {
        this.server = server;
        this.receiver = receiver;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        receiver.requestReceived(String.valueOf(request.headers().get(TRACE_ID_HEADER)), server, ctx);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    /** Writes a response; {@code meterReading} is the meter's percentage with 1 added, 0 for none. */
    static void respond(ChannelHandlerContext context, Outcome outcome, int meterReading) {
        boolean refused = outcome == Outcome.FULL;
        HttpResponseStatus status = switch (outcome) {
            case OK -> HttpResponseStatus.OK;
            case FULL -> HttpResponseStatus.SERVICE_UNAVAILABLE;
            case MOOT -> HttpResponseStatus.NOT_FOUND;
            default -> HttpResponseStatus.INTERNAL_SERVER_ERROR;
        };
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(BODY));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, BODY.length);
        if (refused) {
            response.headers().set("X-Never-Ran", "1");
        }
        if (meterReading > 0) {
            response.headers().set("X-Quota-Used", meterReading - 1);
        }
        context.writeAndFlush(response, context.voidPromise());
    }
}
