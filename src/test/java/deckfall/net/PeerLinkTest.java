package deckfall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import deckfall.net.TestEndpoints.DiscoveryServer;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests the messages between gateways when system calls fail. */
class PeerLinkTest {
    private static final int MAX_SENDS = 300;
    private static final int MESSAGE_BYTES = 7;

    private final BlockingQueue<Integer> receivedSizes = new LinkedBlockingQueue<>();

    private Node node(DiscoveryServer discovery, int port, DatagramSocket peer) throws Exception {
        String config = TestEndpoints.config(
                discovery.server.address(), "127.0.0.1:" + port, "127.0.0.1:" + peer.getLocalPort());
        return TestEndpoints.node(config, act -> new ScriptedModule((now, r) -> {}) {
            @Override
            public void peerMessageReceived(double now, int sender, byte[] data) {
                receivedSizes.add(data.length);
            }
        });
    }

    private static int freePort() throws Exception {
        try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    /** A temporary read error once closed the channel, and no further message from peers was received. */
    @Test
    void messagesArriveAfterTheChannelWasClosed() throws Exception {
        int port = freePort();
        try (DatagramSocket peer = new DatagramSocket(0, InetAddress.getLoopbackAddress());
                DiscoveryServer discovery = new DiscoveryServer(TestEndpoints.hostList(1, true))) {
            Node node = node(discovery, port, peer);
            node.loop.submit(() -> node.peerLink().channel().close()).sync();
            InetSocketAddress recipient = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
            Integer size = null;
            for (int i = 0; i < MAX_SENDS && size == null; i++) { // datagrams to a closed port are lost
                peer.send(new DatagramPacket(new byte[MESSAGE_BYTES], MESSAGE_BYTES, recipient));
                size = receivedSizes.poll(100, TimeUnit.MILLISECONDS);
            }
            node.stop();
            assertEquals(MESSAGE_BYTES, size);
        }
    }
}
