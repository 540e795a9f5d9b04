package deckfall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import deckfall.Gateway.CustomerSnapshot;
import deckfall.net.SiblingFiles.Status;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests what a process reads from the status files of its siblings. */
class SiblingFilesTest {
    private static final double NOW = 1e12;
    private static final List<CustomerSnapshot> CUSTOMERS =
            List.of(new CustomerSnapshot(42, 1, 0, 3, 0.5, 2, 1.5, 3, 1, 4, 0.25, NOW, 17, NOW));

    @TempDir
    private Path folder;

    @Test
    void processReadsSiblingsAndNotItself() throws Exception {
        SiblingFiles one = new SiblingFiles(folder, 1);
        SiblingFiles two = new SiblingFiles(folder, 2);
        one.write(new Status(1, NOW, true, 5, 6, CUSTOMERS));
        two.write(new Status(2, NOW, false, 0, 0, List.of()));
        assertEquals(List.of(new Status(1, NOW, true, 5, 6, CUSTOMERS)), two.presentSiblings(NOW + 1000));
        assertEquals(List.of(new Status(2, NOW, false, 0, 0, List.of())), one.presentSiblings(NOW));
        one.write(new Status(1, NOW + 200, false, 0, 0, List.of())); // replaces the whole file
        assertEquals(List.of(new Status(1, NOW + 200, false, 0, 0, List.of())), two.presentSiblings(NOW + 200));
        one.remove();
        assertEquals(List.of(), two.presentSiblings(NOW + 200));
    }

    @Test
    void oldDamagedOrPartialFilesAreSkipped() throws Exception {
        new SiblingFiles(folder, 1).write(new Status(1, NOW - 60_000, true, 5, 6, CUSTOMERS));
        Files.writeString(folder.resolve("gateway-3.json"), "{\"pid\": 3, \"atMs\"");
        Files.writeString(folder.resolve("gateway-4.json"), "null");
        Files.writeString(folder.resolve("gateway-5.json"), "{\"pid\": 5, \"atMs\": 1e12, \"serving\": true}");
        Files.writeString(folder.resolve("gateway-6.part"), "{}");
        String whole = "{\"pid\":%s,\"atMs\":1e12,\"serving\":true,\"clients\":%s,\"hosts\":%s,\"memory\":[]}%s";
        Files.writeString(folder.resolve("gateway-8.json"), whole.formatted("8", "-5", "6", ""));
        Files.writeString(folder.resolve("gateway-9.json"), whole.formatted("9", "5", "-6", ""));
        Files.writeString(folder.resolve("gateway-10.json"), whole.formatted("-10", "5", "6", ""));
        Files.writeString(folder.resolve("gateway-12.json"), whole.formatted("12", "5", "6", "{}"));
        Files.writeString(folder.resolve("gateway-13.json"), whole.formatted("13", "5.5", "6", ""));
        Files.writeString(folder.resolve("gateway-14.json"), whole.formatted("14", "\"5\"", "6", ""));
        Files.writeString(folder.resolve("gateway-15.json"), whole.formatted("15", "5", "null", ""));
        Files.writeString(folder.resolve("gateway-x.json"), whole.formatted("16", "5", "6", ""));
        Files.createDirectory(folder.resolve("gateway-7.json"));
        assertEquals(List.of(), new SiblingFiles(folder, 2).presentSiblings(NOW));
    }

    @Test
    void missingFolderMeansNoSiblings() throws Exception {
        assertEquals(List.of(), new SiblingFiles(folder.resolve("none"), 2).presentSiblings(NOW));
    }

    /** A process whose disk was full for a while was once treated as gone, so its sibling used all limits alone. */
    @Test
    void liveProcessThatCannotWriteStaysPresent() throws Exception {
        long alive = ProcessHandle.current().pid();
        Status status = new Status(alive, NOW, true, 5, 6, CUSTOMERS);
        new SiblingFiles(folder, alive).write(status);
        assertEquals(List.of(status), new SiblingFiles(folder, 2).presentSiblings(NOW + 5000));
        assertEquals(List.of(), new SiblingFiles(folder, 2).presentSiblings(NOW + 60_000));
    }

    /** The same once happened if its file or the folder could not be read. */
    @Test
    void unreadableFileKeepsItsLastContents() throws Exception {
        Status status = new Status(1, NOW, true, 5, 6, CUSTOMERS);
        new SiblingFiles(folder, 1).write(status);
        SiblingFiles two = new SiblingFiles(folder, 2);
        assertEquals(List.of(status), two.presentSiblings(NOW));
        Files.writeString(folder.resolve("gateway-1.json"), "{\"pid\": 1, \"atMs\"");
        assertEquals(List.of(status), two.presentSiblings(NOW + 400));
        Files.delete(folder.resolve("gateway-1.json"));
        Files.delete(folder);
        assertEquals(List.of(status), two.presentSiblings(NOW + 800));
        assertEquals(List.of(), two.presentSiblings(NOW + 60_000));
    }

    /** Guards against ids that run twice, as a file of another name hid those of all other processes. */
    @Test
    void filesOfOtherNamesHideNoSentRequests() throws Exception {
        long alive = ProcessHandle.current().pid();
        SentRequestsFile own = new SentRequestsFile(folder, alive + 1);
        SentRequestsFile sibling = new SentRequestsFile(folder, alive);
        sibling.write(42, NOW);
        for (String name : List.of("x", "+1", "-1", "1.0", "", "99999999999999999999")) {
            Files.writeString(folder.resolve("gateway-" + name + ".sent"), "no keys");
        }
        own.findSiblingFiles(NOW - 1);
        assertTrue(own.siblingsContain(42, NOW - 1));
        assertFalse(own.siblingsContain(43, NOW - 1));
    }
}
