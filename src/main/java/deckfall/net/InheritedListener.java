package deckfall.net;

import java.io.IOException;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;

/** The listening socket that the platform holds open and passes to each process of this gateway as descriptor 0. */
final class InheritedListener {
    private static final String ENVIRONMENT_VARIABLE = "NODE_LISTEN_FD";
    private static final String STANDARD_INPUT = "0";

    private InheritedListener() {}

    /**
     * Returns the inherited listener, or null if the platform passes none and the node must bind its address itself.
     */
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
