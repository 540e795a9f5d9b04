package deckfall.net;

import java.nio.file.Path;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Reloads a replaced configuration file, on a thread of its own, as file access may be slow. A file that is unreadable,
 * missing or malformed may be in the middle of its replacement: the read is retried for a while, and the old
 * configuration stays in use meanwhile.
 */
final class ConfigReloader {
    private static final long RETRY_INTERVAL_MS = 200;
    private static final int MAX_READS = 50; // 10 s in all
    private static final long THREAD_IDLE_SECONDS = 5; // then the thread ends until the next reload

    private final Path file;
    private final Consumer<NodeConfig> onChange;
    private final ScheduledThreadPoolExecutor executor;

    /** Creates a reloader that calls {@code onChange} on its own thread. */
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

    /** Starts a reload. Thread-safe. */
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
