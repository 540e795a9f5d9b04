package deckfall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Tests that connections in a listener's queue survive failed accepts and the close of the listener. */
class AcceptRetryTest {
    private final AtomicInteger descriptorsFreed = new AtomicInteger();
    private final AcceptRetry retry = new AcceptRetry(descriptorsFreed::incrementAndGet);

    private EmbeddedChannel failedListener() {
        EmbeddedChannel listener = new EmbeddedChannel(retry);
        listener.freezeTime();
        listener.pipeline().fireExceptionCaught(new IOException("Too many open files in system"));
        return listener;
    }

    /** After a failed accept nothing was accepted for a second, and queued requests missed their deadlines. */
    @Test
    void acceptingResumesMillisecondsAfterAFailure() {
        EmbeddedChannel listener = failedListener();
        assertEquals(1, descriptorsFreed.get());
        assertFalse(listener.config().isAutoRead());
        listener.advanceTimeBy(AcceptRetry.RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        listener.runScheduledPendingTasks();
        assertTrue(listener.config().isAutoRead());
    }

    @Test
    void stoppedListenerStaysStopped() {
        EmbeddedChannel listener = failedListener();
        retry.stop(listener);
        listener.advanceTimeBy(AcceptRetry.RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        listener.runScheduledPendingTasks();
        assertFalse(listener.config().isAutoRead());
    }

    /** Closing a listener reset the connections in its queue. */
    @Test
    void allQueuedConnectionsAreAcceptedInOneCall() throws Exception {
        int count = 40; // more than one read accepts
        AtomicInteger accepted = new AtomicInteger();
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        List<Socket> clients = new ArrayList<>();
        try {
            RetryingServerSocketChannel listener = (RetryingServerSocketChannel) new ServerBootstrap()
                    .group(group)
                    .channelFactory(RetryingServerSocketChannel::new)
                    .handler(retry)
                    .childHandler(new ChannelInboundHandlerAdapter() {
                        @Override
                        public boolean isSharable() {
                            return true;
                        }

                        @Override
                        public void channelActive(ChannelHandlerContext ctx) {
                            accepted.incrementAndGet();
                        }
                    })
                    .bind(InetAddress.getLoopbackAddress(), 0)
                    .sync()
                    .channel();
            InetSocketAddress address = (InetSocketAddress) listener.localAddress();
            boolean allAccepted = group.next()
                    .submit(() -> {
                        for (int i = 0; i < count; i++) {
                            clients.add(new Socket(address.getAddress(), address.getPort()));
                        }
                        return listener.acceptQueued();
                    })
                    .sync()
                    .getNow();
            assertTrue(allAccepted);
            assertEquals(count, accepted.get());
        } finally {
            for (Socket s : clients) {
                s.close();
            }
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
    }
}
