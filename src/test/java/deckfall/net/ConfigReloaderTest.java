package deckfall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the reload of a configuration whose file is temporarily unreadable. */
class ConfigReloaderTest {
    @TempDir
    private Path folder;

    private final BlockingQueue<NodeConfig> changed = new LinkedBlockingQueue<>();

    /** After a temporary read error the gateway once stayed with its old discovery until the next signal. */
    @Test
    void temporarilyUnreadableFileIsReadAgain() throws Exception {
        Path file = Files.createDirectory(folder.resolve("config.json")); // a read fails with EISDIR
        new ConfigReloader(file, changed::add).reload();
        Files.delete(file);
        Files.writeString(file, TestEndpoints.config("127.0.0.1:7", "127.0.0.1:0"));
        NodeConfig config = changed.poll(TestEndpoints.TIMEOUT_MS, TimeUnit.MILLISECONDS);
        assertNotNull(config);
        assertEquals(7, config.discovery().getPort());
    }
}
