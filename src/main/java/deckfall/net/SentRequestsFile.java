package deckfall.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * The file in which a process of a gateway writes the keys of requests that it has sent, for the other processes while
 * one replaces another, and the files of these. A file is a ring of slots with a key and a time of the machine's
 * monotonic clock each. It outlives its process, as an id may come again after that. Calls that fail are logged once and
 * count as if nothing was written.
 */
final class SentRequestsFile {
    static final int SLOTS = 4096;
    private static final int SLOT_BYTES = Long.BYTES + Double.BYTES;
    private static final String SUFFIX = ".sent";

    private final Path folder;
    private final Path own;
    private final ByteBuffer slotBuffer = ByteBuffer.allocateDirect(SLOT_BYTES);
    private final ByteBuffer fileBuffer = ByteBuffer.allocateDirect(SLOTS * SLOT_BYTES);
    private volatile List<Path> siblings = List.of();
    private FileChannel channel; // null if it could not be opened yet
    private int nextSlot;
    private volatile boolean failureLogged;

    SentRequestsFile(Path folder, long pid) {
        this.folder = folder;
        this.own = folder.resolve(SiblingFileNames.of(pid, SUFFIX));
        open(); // so that the other processes find it before the first request is sent
    }

    private void open() {
        try {
            channel = FileChannel.open(own, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        } catch (IOException e) {
            logFailure(e);
        }
    }

    /** Writes a key and its time, and returns the slot. */
    int write(long key, double atMs) {
        int slot = nextSlot;
        nextSlot = (nextSlot + 1) % SLOTS;
        return rewrite(slot, key, atMs);
    }

    /** Writes a key and its time into a slot, and returns the slot. */
    int rewrite(int slot, long key, double atMs) {
        if (channel == null) {
            open();
        }
        if (channel == null) {
            return slot;
        }
        try {
            slotBuffer.clear().putLong(key).putDouble(atMs).flip();
            channel.write(slotBuffer, (long) slot * SLOT_BYTES);
        } catch (IOException e) {
            logFailure(e);
        }
        return slot;
    }

    /** Looks for the files of other processes, and deletes those whose process has ended and whose keys are all old. */
    void findSiblingFiles(double oldestMs) {
        List<Path> found = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, SiblingFileNames.pattern(SUFFIX))) {
            for (Path file : files) {
                OptionalLong pid = SiblingFileNames.pid(file, SUFFIX);
                if (pid.isPresent() && !file.equals(own) && !deletedAsOld(file, pid.getAsLong(), oldestMs)) {
                    found.add(file);
                }
            }
            siblings = List.copyOf(found);
        } catch (IOException | DirectoryIteratorException e) {
            logFailure(e);
        }
    }

    private static boolean deletedAsOld(Path file, long pid, double oldestMs) throws IOException {
        if (ProcessHandle.of(pid).map(ProcessHandle::isAlive).orElse(false)) {
            return false;
        }
        ByteBuffer content = ByteBuffer.wrap(Files.readAllBytes(file));
        while (content.remaining() >= SLOT_BYTES) {
            content.getLong();
            if (content.getDouble() >= oldestMs) {
                return false;
            }
        }
        Files.deleteIfExists(file);
        return true;
    }

    /** Whether a file of another process holds this key with a time that is not older. */
    boolean siblingsContain(long key, double oldestMs) {
        for (Path file : siblings) {
            if (contains(file, key, oldestMs)) {
                return true;
            }
        }
        return false;
    }

    private boolean contains(Path file, long key, double oldestMs) {
        fileBuffer.clear();
        try (FileChannel sibling = FileChannel.open(file, StandardOpenOption.READ)) {
            while (fileBuffer.hasRemaining() && sibling.read(fileBuffer) >= 0) {
                // reads on
            }
        } catch (IOException e) {
            logFailure(e);
        }
        fileBuffer.flip();
        while (fileBuffer.remaining() >= SLOT_BYTES) {
            long otherKey = fileBuffer.getLong();
            double atMs = fileBuffer.getDouble();
            if (otherKey == key && atMs >= oldestMs) {
                return true;
            }
        }
        return false;
    }

    private void logFailure(Exception e) {
        if (!failureLogged) {
            failureLogged = true;
            Node.log("ids of sent requests not shared with other processes: " + e);
        }
    }
}
