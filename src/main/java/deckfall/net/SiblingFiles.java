package deckfall.net;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
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
 * The status files through which the processes of one gateway exchange their state while one replaces another: each
 * process keeps a file in their common folder. Files that are old, damaged or incomplete are skipped, as their writer
 * may have ended.
 */
final class SiblingFiles {
    static final long HEARTBEAT_MS = 400;
    private static final double FRESH_WINDOW_MS = 1500; // a process that gets little CPU time writes late
    private static final double MAX_SILENCE_MS = 30_000; // how long a live process may write nothing
    private static final String SUFFIX = ".json";
    private static final String PART_SUFFIX = ".part";

    /**
     * The status of a process and its connections at a time of the machine's monotonic clock; {@code memory}, the state
     * of its customers, is empty unless a sibling is starting.
     */
    record Status(long pid, double atMs, boolean serving, int clients, int hosts, List<CustomerSnapshot> memory) {}

    private final Path folder;
    private final long pid;
    private final ObjectMapper json = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS, DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
            .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
            .build();
    private Map<Path, Status> lastRead = Map.of();

    SiblingFiles(Path folder, long pid) {
        this.folder = folder;
        this.pid = pid;
    }

    /** Replaces the file of this process atomically, so that readers never see a partial file. */
    void write(Status status) throws IOException {
        Path partFile = folder.resolve(SiblingFileNames.of(pid, PART_SUFFIX));
        Files.write(partFile, json.writeValueAsBytes(status));
        Files.move(partFile, file(), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** The other processes that are present now. A file that cannot be read counts with its last contents. */
    List<Status> presentSiblings(double now) {
        try {
            readAll();
        } catch (IOException | RuntimeException e) {
            Node.log("files of sibling processes not read: " + e);
        }
        return lastRead.values().stream()
                .filter(status -> isPresent(status, now))
                .toList();
    }

    private void readAll() throws IOException {
        Map<Path, Status> statuses = new LinkedHashMap<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, SiblingFileNames.pattern(SUFFIX))) {
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

    /**
     * Whether the writer of a status is present. A live process that has not written for a while may have a full disk.
     */
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
            return status == null || !isPlausible(status, file) ? null : status;
        } catch (IOException e) {
            // damaged or unreadable if it exists, else deleted meanwhile
            return Files.exists(file) ? lastRead.get(file) : null;
        }
    }

    private static boolean isPlausible(Status status, Path file) {
        return SiblingFileNames.pid(file, SUFFIX).isPresent()
                && status.pid() > 0
                && status.clients() >= 0
                && status.hosts() >= 0
                && status.memory() != null;
    }

    /** Deletes the file of this process. */
    void remove() {
        try {
            Files.deleteIfExists(file());
        } catch (IOException e) {
            Node.log("own sibling file not deleted: " + e.getMessage()); // it expires by its age
        }
    }

    private Path file() {
        return folder.resolve(SiblingFileNames.of(pid, SUFFIX));
    }
}
