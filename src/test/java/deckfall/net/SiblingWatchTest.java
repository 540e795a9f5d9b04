package deckfall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import deckfall.Gateway.CustomerSnapshot;
import deckfall.net.SiblingWatch.Siblings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What two processes of one gateway tell each other, whatever their folder and the wall clock do. */
class SiblingWatchTest {
    private static final long OTHER_PID = 1;

    @TempDir
    private Path folder;

    private final List<Siblings> seen = new ArrayList<>();
    private boolean fails;

    /** A process with a memory of one customer, of the times {@code atMs} on its own clock. */
    private SiblingWatch.Gateway gateway(double atMs) {
        return new SiblingWatch.Gateway() {
            @Override
            public boolean takesClients() {
                return true;
            }

            @Override
            public int clientConnections() {
                return 3;
            }

            @Override
            public int hostConnections() {
                return 4;
            }

            @Override
            public List<CustomerSnapshot> memory() {
                return List.of(new CustomerSnapshot(42, 1, 0, 3, 0.5, 2, 1.5, 3, 1, 4, 0.25, atMs, 17, atMs));
            }

            @Override
            public void siblings(Siblings all) {
                if (fails) {
                    throw new IllegalStateException("made up by the test");
                }
                seen.add(all);
            }

            @Override
            public void told(Siblings own) {
                assertEquals(new Siblings(1, 1, 3, 4), own);
            }
        };
    }

    private static SiblingFiles.Note note(boolean serving) {
        return new SiblingFiles.Note(OTHER_PID, SiblingWatch.monotonicMs(), serving, 5, 6, List.of());
    }

    /** The thread ended with the first unchecked exception, and no other process was told of this one again. */
    @Test
    void aLookThatFailsIsFollowedByOthers() throws IOException {
        SiblingWatch watch = new SiblingWatch(new SiblingFiles(folder, 2), new Clock(), gateway(0));
        fails = true;
        watch.look();
        fails = false;
        new SiblingFiles(folder, OTHER_PID).write(note(true));
        watch.look();
        assertEquals(List.of(new Siblings(1, 1, 5, 6)), seen);
    }

    /** A folder in which nothing can be written still tells of the other process. */
    @Test
    void theOtherProcessIsSeenWhereThisOneCanNotWrite() throws IOException {
        new SiblingFiles(folder, OTHER_PID).write(note(true));
        Files.createDirectory(folder.resolve("gateway-2.part"));
        new SiblingWatch(new SiblingFiles(folder, 2), new Clock(), gateway(0)).look();
        assertEquals(List.of(new Siblings(1, 1, 5, 6)), seen);
    }

    /** After a step of the wall clock the times of the memory were off by as much, and the process was not seen. */
    @Test
    void aStepOfTheWallClockBetweenTwoStartsMovesNoTimeOfTheMemory() throws IOException {
        ManualClock before = new ManualClock();
        ManualClock after = new ManualClock();
        before.frozen = true;
        after.frozen = true;
        after.offsetMs = 3_600_000;
        new SiblingFiles(folder, OTHER_PID).write(note(false)); // one that starts
        new SiblingWatch(new SiblingFiles(folder, 2), before, gateway(before.now() - 100)).look();
        CustomerSnapshot heard = new SiblingWatch(new SiblingFiles(folder, OTHER_PID), after, gateway(0))
                .memoryOfOther()
                .get(0);
        double agoMs = after.now() - heard.totalAt();
        assertEquals(100, agoMs, 1000); // the clocks of the test stand while the machine's goes on
    }
}
