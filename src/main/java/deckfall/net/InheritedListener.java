package deckfall.net;

import java.io.IOException;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;

/** The listener that the platform holds and hands to each process of this gateway, as its descriptor 0. */
final class InheritedListener {
    private static final String ENVIRONMENT_VARIABLE = "NODE_LISTEN_FD";
    private static final String STANDARD_INPUT = "0";

    private InheritedListener() {}

    /** Null where the platform hands none over: then a node binds its address itself. */
    static ServerSocketChannel fromEnvironment() throws IOException {
        String descriptor = System.getenv(ENVIRONMENT_VARIABLE);
        if (descriptor == null || descriptor.isEmpty()) {
            return null;
        }
        Channel channel = STANDARD_INPUT.equals(descriptor) ? System.inheritedChannel() : null;
        if (channel instanceof ServerSocketChannel listener) {
            return listener;
        }
        throw new IOException(ENVIRONMENT_VARIABLE + " is " + descriptor + ", where no listening socket was inherited");
    }
}
