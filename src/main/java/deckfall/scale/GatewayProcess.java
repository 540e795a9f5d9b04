package deckfall.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** One real gateway's process, started as the platform does; it ends with the run in any case. */
final class GatewayProcess {
    private static final long END_SECONDS = 5; // after SIGTERM; then it is killed
    private static final String RESIDENT = "VmRSS:";

    private final Process process;
    private final Thread atExit = new Thread(this::kill);

    GatewayProcess(String run, Path root, Path folder, String name, String listen, String discovery)
            throws IOException {
        ProcessBuilder b = new ProcessBuilder("/bin/sh", "-c", run)
                .directory(root.toFile())
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(folder.resolve("log").toFile());
        b.environment().put("NODE_NAME", name);
        b.environment().put("NODE_LISTEN", listen);
        b.environment().put("NODE_DISCOVERY", discovery);
        b.environment().put("NODE_CONFIG", folder.resolve("config.json").toString());
        b.environment().put("TMPDIR", folder.toString());
        process = b.start();
        Runtime.getRuntime().addShutdownHook(atExit);
    }

    boolean alive() {
        return process.isAlive();
    }

    double processorSeconds() {
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
                if (line.startsWith(RESIDENT)) {
                    return Double.parseDouble(line.substring(RESIDENT.length())
                                    .replace("kB", "")
                                    .trim())
                            / 1024;
                }
            }
        } catch (IOException e) {
            return 0; // no such figures on this system, or the process has ended
        }
        return 0;
    }

    void stop() {
        process.destroy();
    }

    /** Whether it has ended in order, that is by itself after SIGTERM. */
    boolean awaitEnd() {
        boolean inOrder = false;
        try {
            inOrder = process.waitFor(END_SECONDS, TimeUnit.SECONDS);
            List<ProcessHandle> started = process.descendants().toList();
            kill();
            for (ProcessHandle p : started) {
                p.onExit().get(END_SECONDS, TimeUnit.SECONDS);
            }
            process.waitFor(END_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            inOrder = false;
        }
        kill();
        try {
            Runtime.getRuntime().removeShutdownHook(atExit);
        } catch (IllegalStateException e) {
            // the run itself is ending
        }
        return inOrder;
    }

    private void kill() {
        process.descendants().forEach(ProcessHandle::destroyForcibly);
        process.destroyForcibly();
    }
}
