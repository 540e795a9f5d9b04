package deckfall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import deckfall.Gateway.CustomerSnapshot;
import deckfall.net.SiblingFiles.Note;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What one process learns of another by their files. */
class SiblingFilesTest {
    private static final double NOW = 1e12;
    private static final List<CustomerSnapshot> MEMORY =
            List.of(new CustomerSnapshot(42, 1, 0, 3, 0.5, 2, 1.5, 3, 1, 4, 0.25, NOW, 17, NOW));

    @TempDir
    private Path folder;

    @Test
    void eachProcessReadsTheOthersAndNotItself() throws Exception {
        SiblingFiles one = new SiblingFiles(folder, 1);
        SiblingFiles two = new SiblingFiles(folder, 2);
        one.write(new Note(1, NOW, true, 5, 6, MEMORY));
        two.write(new Note(2, NOW, false, 0, 0, List.of()));
        assertEquals(List.of(new Note(1, NOW, true, 5, 6, MEMORY)), two.others(NOW + 1000));
        assertEquals(List.of(new Note(2, NOW, false, 0, 0, List.of())), one.others(NOW));
        one.write(new Note(1, NOW + 200, false, 0, 0, List.of())); // replaced whole
        assertEquals(List.of(new Note(1, NOW + 200, false, 0, 0, List.of())), two.others(NOW + 200));
        one.remove();
        assertEquals(List.of(), two.others(NOW + 200));
    }

    @Test
    void whatIsOldDamagedOrHalfThereIsPassedOver() throws Exception {
        new SiblingFiles(folder, 1).write(new Note(1, NOW - 60_000, true, 5, 6, MEMORY));
        Files.writeString(folder.resolve("gateway-3.json"), "{\"pid\": 3, \"atMs\"");
        Files.writeString(folder.resolve("gateway-4.json"), "null");
        Files.writeString(folder.resolve("gateway-5.json"), "{\"pid\": 5, \"atMs\": 1e12, \"serving\": true}");
        Files.writeString(folder.resolve("gateway-6.part"), "{}");
        Files.createDirectory(folder.resolve("gateway-7.json"));
        assertEquals(List.of(), new SiblingFiles(folder, 2).others(NOW));
    }

    @Test
    void aFolderThatIsGoneIsNoOtherProcess() throws Exception {
        assertEquals(List.of(), new SiblingFiles(folder.resolve("none"), 2).others(NOW));
    }

    /** A process whose disk was full for a while was taken for gone, and the other one's limits for its own alone. */
    @Test
    void aProcessThatLivesAndCanNotWriteIsStillThere() throws Exception {
        long alive = ProcessHandle.current().pid();
        Note note = new Note(alive, NOW, true, 5, 6, MEMORY);
        new SiblingFiles(folder, alive).write(note);
        assertEquals(List.of(note), new SiblingFiles(folder, 2).others(NOW + 5000));
        assertEquals(List.of(), new SiblingFiles(folder, 2).others(NOW + 60_000));
    }

    /** The same where its file, or the folder, could not be read. */
    @Test
    void whatCanNotBeReadJustNowIsAsItWasBefore() throws Exception {
        Note note = new Note(1, NOW, true, 5, 6, MEMORY);
        new SiblingFiles(folder, 1).write(note);
        SiblingFiles two = new SiblingFiles(folder, 2);
        assertEquals(List.of(note), two.others(NOW));
        Files.writeString(folder.resolve("gateway-1.json"), "{\"pid\": 1, \"atMs\"");
        assertEquals(List.of(note), two.others(NOW + 400));
        Files.delete(folder.resolve("gateway-1.json"));
        Files.delete(folder);
        assertEquals(List.of(note), two.others(NOW + 800));
        assertEquals(List.of(), two.others(NOW + 60_000));
    }
}
