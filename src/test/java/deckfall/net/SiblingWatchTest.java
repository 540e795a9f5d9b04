package deckfall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import deckfall.Gateway.CustomerSnapshot;
import deckfall.net.SiblingWatch.SiblingCounts;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests what two processes of one gateway learn of each other despite file errors and wall clock changes. */
class SiblingWatchTest {
    private static final long OTHER_PID = 1;

    @TempDir
    private Path folder;

    private final List<SiblingCounts> reportedCounts = new ArrayList<>();
    private boolean failing;

    /** A process with the state of one customer, with the times {@code atMs} on its own clock. */
    private SiblingWatch.LocalProcess localProcess(double atMs) {
        return new SiblingWatch.LocalProcess() {
            @Override
            public boolean acceptsClients() {
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
            public List<CustomerSnapshot> snapshotCustomers() {
                return List.of(new CustomerSnapshot(42, 1, 0, 3, 0.5, 2, 1.5, 3, 1, 4, 0.25, atMs, 17, atMs));
            }

            @Override
            public void onSiblings(SiblingCounts counts) {
                if (failing) {
                    throw new IllegalStateException("thrown by the test");
                }
                reportedCounts.add(counts);
            }

            @Override
            public void onPublished(SiblingCounts own) {
                assertEquals(new SiblingCounts(1, 1, 3, 4), own);
            }
        };
    }

    private static SiblingFiles.Status status(boolean serving) {
        return new SiblingFiles.Status(OTHER_PID, SiblingWatch.monotonicMs(), serving, 5, 6, List.of());
    }

    /** The first unchecked exception once ended the thread, and the status of this process was not published again. */
    @Test
    void pollingContinuesAfterAFailure() throws IOException {
        SiblingWatch watch = new SiblingWatch(new SiblingFiles(folder, 2), new Clock(), localProcess(0));
        failing = true;
        watch.poll();
        failing = false;
        new SiblingFiles(folder, OTHER_PID).write(status(true));
        watch.poll();
        assertEquals(List.of(new SiblingCounts(1, 1, 5, 6)), reportedCounts);
    }

    /** The status of the other process is still read if the folder is not writable. */
    @Test
    void siblingIsSeenWhenOwnFileCannotBeWritten() throws IOException {
        new SiblingFiles(folder, OTHER_PID).write(status(true));
        Files.createDirectory(folder.resolve("gateway-2.part"));
        new SiblingWatch(new SiblingFiles(folder, 2), new Clock(), localProcess(0)).poll();
        assertEquals(List.of(new SiblingCounts(1, 1, 5, 6)), reportedCounts);
    }

    /**
     * After a wall clock change the times of the customer state were once off by as much, and the process was not seen.
     */
    @Test
    void wallClockStepBetweenStartsDoesNotShiftStateTimes() throws IOException {
        ManualClock before = new ManualClock();
        ManualClock after = new ManualClock();
        before.frozen = true;
        after.frozen = true;
        after.offsetMs = 3_600_000;
        new SiblingFiles(folder, OTHER_PID).write(status(false)); // a starting process
        new SiblingWatch(new SiblingFiles(folder, 2), before, localProcess(before.now() - 100)).poll();
        CustomerSnapshot received = new SiblingWatch(new SiblingFiles(folder, OTHER_PID), after, localProcess(0))
                .customersOfServingSibling()
                .get(0);
        double agoMs = after.now() - received.totalAt();
        assertEquals(100, agoMs, 1000); // the clocks of the test are stopped while the machine's clock advances
    }
}
