package deckfall.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;

/**
 * Accepts again a moment after a failed accept. The connection that could not be accepted stays in the listener's
 * queue, together with its client's request. Without this handler Netty accepts nothing for a second, which is longer
 * than many deadlines.
 */
final class AcceptRetry extends ChannelInboundHandlerAdapter {
    static final long RETRY_DELAY_MS = 5;
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Runnable freeDescriptor;
    private long lastLoggedNanos;
    private boolean logged;
    private boolean stopped;

    /** {@code freeDescriptor} is called after each failure, as the process may have run out of descriptors. */
    AcceptRetry(Runnable freeDescriptor) {
        this.freeDescriptor = freeDescriptor;
    }

    /** Stops accepting on the channel for good. Must be called on its event loop. */
    void stop(Channel listener) {
        stopped = true;
        listener.config().setAutoRead(false);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        logFailure(cause);
        freeDescriptor.run();
        ctx.channel().config().setAutoRead(false); // otherwise the loop would do nothing but retry
        ctx.executor().schedule(() -> resume(ctx), RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    private void logFailure(Throwable cause) {
        long now = System.nanoTime();
        if (!logged || now - lastLoggedNanos > LOG_INTERVAL_NANOS) {
            lastLoggedNanos = now;
            if (cause instanceof Error) {
                ErrorReport.report("accept failed", cause);
            } else {
                Node.log("accept: " + cause.getMessage() + ", tried again every " + RETRY_DELAY_MS + " ms");
            }
        }
        logged = true;
    }

    private void resume(ChannelHandlerContext ctx) {
        if (!stopped && ctx.channel().isOpen()) {
            ctx.channel().config().setAutoRead(true);
        }
    }
}
