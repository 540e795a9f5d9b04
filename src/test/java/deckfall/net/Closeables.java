package deckfall.net;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import org.junit.jupiter.api.extension.AfterEachCallback;
import org.junit.jupiter.api.extension.ExtensionContext;

/** Closes what a test has opened when the test ends, the last first. */
final class Closeables implements AfterEachCallback {
    private final Deque<Closeable> opened = new ArrayDeque<>();

    /** Closes an object at the end of the test. */
    void push(Closeable closeable) {
        opened.push(closeable);
    }

    /** The same, and returns the object. */
    <T extends Closeable> T closeLater(T closeable) {
        opened.push(closeable);
        return closeable;
    }

    @Override
    public void afterEach(ExtensionContext context) throws IOException {
        for (Closeable c : opened) {
            c.close();
        }
    }
}
