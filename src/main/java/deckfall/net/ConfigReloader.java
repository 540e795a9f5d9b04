package deckfall.net;

import java.nio.file.Path;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Reads a replaced configuration again, on a thread of its own, as files may be slow. A file that can't be read, is
 * missing or malformed may be in the middle of its replacement: it is read again for a while, and meanwhile the old
 * configuration stays in force.
 */
final class ConfigReloader {
    private static final long RETRY_INTERVAL_MS = 200;
    private static final int MAX_READS = 50; // ten seconds
    private static final long THREAD_IDLE_SECONDS = 5; // then the thread ends until it is needed again

    private final Path file;
    private final Consumer<NodeConfig> onChange;
    private final ScheduledThreadPoolExecutor executor;

    /** {@code changed} is called on the reloader's thread. */
    ConfigReloader(Path file, Consumer<NodeConfig> onChange) {
        this.file = file;
        this.onChange = onChange;
        executor = new ScheduledThreadPoolExecutor(1, r -> {
            Thread t = new Thread(r, "reload");
            t.setDaemon(true);
            return t;
        });
        executor.setKeepAliveTime(THREAD_IDLE_SECONDS, TimeUnit.SECONDS);
        executor.allowCoreThreadTimeOut(true);
    }

    /** From any thread. */
    void reload() {
        executor.execute(() -> read(MAX_READS));
    }

    private void read(int readsLeft) {
        try {
            onChange.accept(NodeConfig.read(file.toString()));
        } catch (NodeConfig.InvalidConfigException e) {
            if (readsLeft == MAX_READS || readsLeft == 1) {
                Node.log("configuration left as it was: " + e.getMessage());
            }
            if (readsLeft > 1) {
                executor.schedule(() -> read(readsLeft - 1), RETRY_INTERVAL_MS, TimeUnit.MILLISECONDS);
            }
        } catch (RuntimeException e) {
            Node.log("defect: configuration left as it was: " + e);
        }
    }
}
