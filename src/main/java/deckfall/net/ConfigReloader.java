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
    private static final long RETRY_MS = 200;
    private static final int TRIES = 50; // ten seconds
    private static final long IDLE_SECONDS = 5; // then the thread ends until it is needed again

    private final Path file;
    private final Consumer<NodeConfig> changed;
    private final ScheduledThreadPoolExecutor executor;

    /** {@code changed} is called on the reloader's thread. */
    ConfigReloader(Path file, Consumer<NodeConfig> changed) {
        this.file = file;
        this.changed = changed;
        executor = new ScheduledThreadPoolExecutor(1, r -> {
            Thread t = new Thread(r, "reload");
            t.setDaemon(true);
            return t;
        });
        executor.setKeepAliveTime(IDLE_SECONDS, TimeUnit.SECONDS);
        executor.allowCoreThreadTimeOut(true);
    }

    /** From any thread. */
    void reload() {
        executor.execute(() -> read(TRIES));
    }

    private void read(int tries) {
        try {
            changed.accept(NodeConfig.read(file.toString()));
        } catch (NodeConfig.InvalidConfigException e) {
            if (tries == TRIES || tries == 1) {
                Node.log("configuration left as it was: " + e.getMessage());
            }
            if (tries > 1) {
                executor.schedule(() -> read(tries - 1), RETRY_MS, TimeUnit.MILLISECONDS);
            }
        } catch (RuntimeException e) {
            Node.log("defect: configuration left as it was: " + e);
        }
    }
}
