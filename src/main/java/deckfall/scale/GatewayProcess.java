package deckfall.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** The process of a real gateway, started with the command of the deployment and killed at the latest with the run. */
final class GatewayProcess {
    private static final long STOP_TIMEOUT_SECONDS = 5; // after SIGTERM; then the process is killed
    private static final String RESIDENT_MEMORY_KEY = "VmRSS:";

    private final Process process;
    private final Thread shutdownHook = new Thread(this::kill);

    GatewayProcess(String command, Path workingDirectory, Path folder, String name, String listen, String discovery)
            throws IOException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command)
                .directory(workingDirectory.toFile())
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(folder.resolve("log").toFile());
        builder.environment().put("NODE_NAME", name);
        builder.environment().put("NODE_LISTEN", listen);
        builder.environment().put("NODE_DISCOVERY", discovery);
        builder.environment().put("NODE_CONFIG", folder.resolve("config.json").toString());
        builder.environment().put("TMPDIR", folder.toString());
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    boolean alive() {
        return process.isAlive();
    }

    double cpuSeconds() {
        return process.toHandle()
                        .info()
                        .totalCpuDuration()
                        .orElse(Duration.ZERO)
                        .toNanos()
                / 1e9;
    }

    double residentMegabytes() {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                if (line.startsWith(RESIDENT_MEMORY_KEY)) {
                    return Double.parseDouble(line.substring(RESIDENT_MEMORY_KEY.length())
                                    .replace("kB", "")
                                    .trim())
                            / 1024;
                }
            }
        } catch (IOException e) {
            return 0; // this system has no such file, or the process has ended
        }
        return 0;
    }

    void stop() {
        process.destroy();
    }

    /**
     * Waits for the process to end and kills what is left of it and its descendants. Returns whether the process exited
     * by itself after SIGTERM.
     */
    boolean awaitExit() {
        boolean exitedCleanly = false;
        try {
            exitedCleanly = process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            List<ProcessHandle> descendants = process.descendants().toList();
            kill();
            for (ProcessHandle descendant : descendants) {
                descendant.onExit().get(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            }
            process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            exitedCleanly = false;
        }
        kill();
        try {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
        } catch (IllegalStateException e) {
            // the JVM of the run is already shutting down
        }
        return exitedCleanly;
    }

    private void kill() {
        process.descendants().forEach(ProcessHandle::destroyForcibly);
        process.destroyForcibly();
    }
}
