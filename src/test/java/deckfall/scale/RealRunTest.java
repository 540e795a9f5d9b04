package deckfall.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/**
 * Short runs of one real process among a few simulated gateways. The tests check what was counted, never how long it
 * took.
 */
class RealRunTest {
    private static final String SERVE_COMMAND = Path.of(System.getProperty("java.home"), "bin", "java")
            + " -XX:+UseSerialGC -cp '" + System.getProperty("java.class.path") + "' deckfall.Main serve";

    private static RealOptions options(String command) {
        RealOptions options = new RealOptions();
        new CommandLine(options)
                .parseArgs(
                        "--processes",
                        "1",
                        "--gateways",
                        "3",
                        "--servers",
                        "8",
                        "--zones",
                        "2",
                        "--tenants",
                        "60",
                        "--rps",
                        "150",
                        "--seconds",
                        "2",
                        "--warm-up-seconds",
                        "1",
                        "--idle-seconds",
                        "1",
                        "--settle-seconds",
                        "0",
                        "--service-ms",
                        "5",
                        "--run",
                        command);
        options.check();
        return options;
    }

    private static RealRun run(String command) {
        return new RealRun(options(command), new PrintStream(OutputStream.nullOutputStream()));
    }

    @Test
    void realProcessServesAmongSimulatedGatewaysAndExitsCleanly() throws Exception {
        RealRun run = run("exec " + SERVE_COMMAND);
        Fleet fleet = run.measure();
        Map<String, Object> costs = run.costs();
        assertTrue((Long) costs.get("real_served") > 0, costs.toString());
        assertEquals(costs.get("real_served"), costs.get("real_pairs"));
        assertEquals(0L, costs.get("real_failed"));
        assertEquals(fleet.statistics.totalRequests, fleet.statistics.totalEndedRequests);
        assertTrue((Double) costs.get("real_loaded_control_messages_per_second_max") > 0, costs.toString());
        assertEquals(1L, costs.get("real_ended_in_order"));
        assertEquals(0L, costs.get("real_left_running"));
    }

    /**
     * The shell that starts the gateway ignores SIGTERM and lives on. Neither it nor the gateway may be left running.
     */
    @Test
    void processThatIgnoresSigtermIsKilledWithItsDescendants(@TempDir Path dir) throws Exception {
        Path pidFile = dir.resolve("pid");
        RealRun run = run("trap '' TERM; " + SERVE_COMMAND + " & echo $! > '" + pidFile + "'; while :; do wait; done");
        run.measure();
        assertEquals(0L, run.costs().get("real_ended_in_order"));
        assertEquals(0L, run.costs().get("real_left_running"));
        long pid = Long.parseLong(Files.readString(pidFile).trim());
        boolean stillAlive = ProcessHandle.of(pid).map(ProcessHandle::isAlive).orElse(false);
        ProcessHandle.of(pid).ifPresent(ProcessHandle::destroyForcibly);
        assertFalse(stillAlive);
    }

    /** The run fails with the last line of the process's output and leaves nothing behind. */
    @Test
    void processThatCannotStartFailsTheRun() {
        RealRun run = run("echo no such gateway >&2; exit 3");
        Exception failure = assertThrows(IOException.class, run::measure);
        assertTrue(failure.getMessage().endsWith("no such gateway"), failure.getMessage());
    }
}
