package deckfall.net;

import java.io.IOException;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/**
 * Retries startup steps whose system calls may fail temporarily, as a gateway that gave up on the first failed call
 * would count as crashed. Only for the startup thread, which may block.
 */
final class StartupRetry {
    private static final long RETRY_INTERVAL_MS = 50;
    private static final long MAX_DURATION_NANOS = TimeUnit.SECONDS.toNanos(5);

    private StartupRetry() {}

    /**
     * Returns the result of the step. After the last retry its failure is thrown as an {@link IOException} that names
     * the step.
     */
    static <T> T withRetries(String name, Callable<T> step) throws IOException {
        long end = System.nanoTime() + MAX_DURATION_NANOS;
        while (true) {
            try {
                return step.call();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted", e);
            } catch (Exception e) { // Netty rethrows the original exception, checked or unchecked
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
