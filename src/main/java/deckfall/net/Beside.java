package deckfall.net;

import com.fasterxml.jackson.databind.ObjectMapper;
import deckfall.Gateway.Remembered;
import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;

/**
 * What the processes of one gateway know of each other while one replaces the other: each keeps a file in their
 * common folder. What is old, damaged or half there is passed over, as its writer may be gone.
 */
final class Beside {
    static final long BEAT_MS = 400;
    private static final double FRESH_MS = 1500; // a process short of its share of a core writes late
    private static final String PREFIX = "gateway-";
    private static final String SUFFIX = ".json";

    /** A process and its connections as its file tells; {@code memory} is empty while nobody is to take over. */
    record Note(long pid, double atMs, boolean serving, int clients, int hosts, List<Remembered> memory) {}

    private final Path folder;
    private final long pid;
    private final ObjectMapper json = new ObjectMapper();

    Beside(Path folder, long pid) {
        this.folder = folder;
        this.pid = pid;
    }

    /** Replaces this process's file at once, so that a reader finds it whole. */
    void write(Note note) throws IOException {
        Path part = folder.resolve(PREFIX + pid + ".part");
        Files.write(part, json.writeValueAsBytes(note));
        Files.move(part, file(), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** The other processes that are there now. */
    List<Note> others(double now) {
        List<Note> others = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, PREFIX + "*" + SUFFIX)) {
            for (Path file : files) {
                Note note = file.equals(file()) ? null : read(file);
                if (note != null && Math.abs(now - note.atMs()) < FRESH_MS) {
                    others.add(note);
                }
            }
        } catch (IOException e) {
            Node.log("no word of other processes: " + e.getMessage());
        }
        return others;
    }

    private Note read(Path file) {
        try {
            Note note = json.readValue(file.toFile(), Note.class);
            return note == null || note.memory() == null ? null : note;
        } catch (IOException e) {
            return null; // gone meanwhile, or damaged
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
