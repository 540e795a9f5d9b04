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
    private static final double FRESH_MS = 1500; // a process short of its share of a core writes late
    private static final double SILENT_MS = 30_000; // the longest that a process which lives may write nothing
    private static final String PREFIX = "gateway-";
    private static final String SUFFIX = ".json";

    /** A process and its connections as its file tells, at a time of the machine's clock; {@code memory} is empty while nobody is to take over. */
    record Note(long pid, double atMs, boolean serving, int clients, int hosts, List<CustomerSnapshot> memory) {}

    private final Path folder;
    private final long pid;
    private final ObjectMapper json = new ObjectMapper();
    private Map<Path, Note> lastRead = Map.of();

    SiblingFiles(Path folder, long pid) {
        this.folder = folder;
        this.pid = pid;
    }

    /** Replaces this process's file at once, so that a reader finds it whole. */
    void write(Note note) throws IOException {
        Path part = folder.resolve(PREFIX + pid + ".part");
        Files.write(part, json.writeValueAsBytes(note));
        Files.move(part, file(), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** The other processes that are there now, by files that were read just now or, where that fails, before. */
    List<Note> others(double now) {
        try {
            list();
        } catch (IOException | RuntimeException e) {
            Node.log("no word of other processes: " + e);
        }
        return lastRead.values().stream().filter(note -> present(note, now)).toList();
    }

    private void list() throws IOException {
        Map<Path, Note> read = new LinkedHashMap<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, PREFIX + "*" + SUFFIX)) {
            for (Path file : files) {
                Note note = file.equals(file()) ? null : read(file);
                if (note != null) {
                    read.put(file, note);
                }
            }
        } catch (DirectoryIteratorException e) {
            throw e.getCause();
        }
        lastRead = read;
    }

    /** A process that lives and has not told of itself for a while may have a full disk. */
    private static boolean present(Note note, double now) {
        double age = Math.abs(now - note.atMs());
        return age < FRESH_MS
                || age < SILENT_MS
                        && ProcessHandle.of(note.pid())
                                .map(ProcessHandle::isAlive)
                                .orElse(false);
    }

    private Note read(Path file) {
        try {
            Note note = json.readValue(file.toFile(), Note.class);
            return note == null || note.memory() == null ? null : note;
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
