package deckfall.net;

import java.io.IOException;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/**
 * A step of the start that system calls may fail for a moment: it is tried again for a while, since a gateway that gives
 * up on the first failed call has crashed. Only for the thread that starts, which may wait.
 */
final class StartupRetry {
    private static final long RETRY_INTERVAL_MS = 50;
    private static final long MAX_DURATION_NANOS = TimeUnit.SECONDS.toNanos(5);

    private StartupRetry() {}

    /** The step's result; after the last try its failure, as an {@link IOException} that names the step. */
    static <T> T withRetries(String name, Callable<T> step) throws IOException {
        long end = System.nanoTime() + MAX_DURATION_NANOS;
        while (true) {
            try {
                return step.call();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted", e);
            } catch (Exception e) { // netty throws what failed as it is, checked or not
                if (System.nanoTime() > end) {
                    throw new IOException(name + ": " + e.getMessage(), e);
                }
            }
            try {
                Thread.sleep(RETRY_INTERVAL_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted", e);
            }
        }
    }
}
