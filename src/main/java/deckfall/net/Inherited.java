package deckfall.net;

import java.io.IOException;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;

/** The listener that the platform holds and hands to each process of this gateway, as its descriptor 0. */
final class Inherited {
    private static final String VARIABLE = "NODE_LISTEN_FD";
    private static final String DESCRIPTOR = "0";

    private Inherited() {}

    /** Null where the platform hands none over: then a node binds its address itself. */
    static ServerSocketChannel listener() throws IOException {
        String descriptor = System.getenv(VARIABLE);
        if (descriptor == null || descriptor.isEmpty()) {
            return null;
        }
        Channel channel = DESCRIPTOR.equals(descriptor) ? System.inheritedChannel() : null;
        if (channel instanceof ServerSocketChannel listener) {
            return listener;
        }
        throw new IOException(VARIABLE + " is " + descriptor + ", where no listening socket was inherited");
    }
}
