package deckfall.net;

import com.fasterxml.jackson.databind.ObjectMapper;
import deckfall.Gateway.CustomerSnapshot;
import java.io.IOException;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What the processes of one gateway know of each other while one replaces the other: each keeps a file in their
 * common folder. What is old, damaged or half there is passed over, as its writer may be gone.
 */
final class SiblingFiles {
    static final long HEARTBEAT_MS = 400;
    private static final double FRESH_WINDOW_MS = 1500; // a process short of its share of a core writes late
    private static final double MAX_SILENCE_MS = 30_000; // the longest that a process which lives may write nothing
    private static final String PREFIX = "gateway-";
    private static final String SUFFIX = ".json";

    /** A process and its connections as its file tells, at a time of the machine's clock; {@code memory} is empty while nobody is to take over. */
    record Status(long pid, double atMs, boolean serving, int clients, int hosts, List<CustomerSnapshot> memory) {}

    private final Path folder;
    private final long pid;
    private final ObjectMapper json = new ObjectMapper();
    private Map<Path, Status> lastRead = Map.of();

    SiblingFiles(Path folder, long pid) {
        this.folder = folder;
        this.pid = pid;
    }

    /** Replaces this process's file at once, so that a reader finds it whole. */
    void write(Status status) throws IOException {
        Path partFile = folder.resolve(PREFIX + pid + ".part");
        Files.write(partFile, json.writeValueAsBytes(status));
        Files.move(partFile, file(), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** The other processes that are there now, by files that were read just now or, where that fails, before. */
    List<Status> presentSiblings(double now) {
        try {
            readAll();
        } catch (IOException | RuntimeException e) {
            Node.log("no word of other processes: " + e);
        }
        return lastRead.values().stream()
                .filter(status -> isPresent(status, now))
                .toList();
    }

    private void readAll() throws IOException {
        Map<Path, Status> statuses = new LinkedHashMap<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, PREFIX + "*" + SUFFIX)) {
            for (Path file : files) {
                Status status = file.equals(file()) ? null : read(file);
                if (status != null) {
                    statuses.put(file, status);
                }
            }
        } catch (DirectoryIteratorException e) {
            throw e.getCause();
        }
        lastRead = statuses;
    }

    /** A process that lives and has not told of itself for a while may have a full disk. */
    private static boolean isPresent(Status status, double now) {
        double age = Math.abs(now - status.atMs());
        return age < FRESH_WINDOW_MS
                || age < MAX_SILENCE_MS
                        && ProcessHandle.of(status.pid())
                                .map(ProcessHandle::isAlive)
                                .orElse(false);
    }

    private Status read(Path file) {
        try {
            Status status = json.readValue(file.toFile(), Status.class);
            return status == null || status.memory() == null ? null : status;
        } catch (IOException e) {
            return Files.exists(file) ? lastRead.get(file) : null; // damaged or unreadable, else gone meanwhile
        }
    }

    void remove() {
        try {
            Files.deleteIfExists(file());
        } catch (IOException e) {
            Node.log("left behind: " + e.getMessage()); // it grows old by itself
        }
    }

    private Path file() {
        return folder.resolve(PREFIX + pid + SUFFIX);
    }
}
