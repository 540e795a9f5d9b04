package deckfall.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import deckfall.soak.SoakRun.RunResult;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Short soak runs of real processes under faults, with fixed seeds; the {@code soak} command executes longer ones. */
class SoakTest {
    private static final int SECONDS = 6;
    private static final boolean CROWDED = true;
    private static final boolean RESTARTED = true;

    @TempDir
    private Path folder;

    private void assertRulesHold(long seed, int gateways, String faults, boolean crowd, boolean restarts, int sockets)
            throws Exception {
        PrintWriter out = new PrintWriter(System.out, true, StandardCharsets.UTF_8);
        SoakOptions options = new SoakOptions(seed, gateways, SECONDS, faults, crowd, restarts, sockets);
        RunResult result = SoakCommand.run(options, folder, out);
        assertEquals(List.of(), result.violations());
        int served = result.ends().getOrDefault(RuleChecker.End.SERVED, 0);
        assertTrue(served > result.requestsSent() / 2, served + " of " + result.requestsSent() + " were served");
    }

    /** Guards against a one-second pause after a failed accept, which made new clients miss their deadlines. */
    @Test
    void requestsAreServedWhileAcceptFailsBriefly() throws Exception {
        assertRulesHold(11, 4, "accept,ENFILE,20,2000,500", !CROWDED, !RESTARTED, SoakOptions.DEFAULT_SOCKETS);
    }

    /**
     * Guards against closing client connections without reading them once two processes of a gateway together reach
     * the limit on clients.
     */
    @Test
    @Tag("known-red")
    void requestsAreServedWhileProcessesAreReplaced() throws Exception {
        assertRulesHold(13, 6, SoakOptions.NONE, !CROWDED, RESTARTED, SoakOptions.FEW_SOCKETS);
    }

    /** Guards against treating an interrupted read as the end of the connection, which left its request unanswered. */
    @Test
    @Tag("known-red")
    void requestsAreServedWhileReadsAreInterrupted() throws Exception {
        assertRulesHold(11, 4, "read,EINTR,100,300,0", !CROWDED, !RESTARTED, SoakOptions.DEFAULT_SOCKETS);
    }

    /** Guards against closing a connection in the middle of a response when a write briefly fails with ENOBUFS. */
    @Test
    @Tag("known-red")
    void requestsAreServedWhileWritesFailWithNoBufferSpace() throws Exception {
        assertRulesHold(11, 4, "write,ENOBUFS,20,500,0,client", !CROWDED, !RESTARTED, SoakOptions.DEFAULT_SOCKETS);
    }

    /** Overlapping faults of all kinds. */
    @Test
    @Tag("known-red")
    void rulesHoldUnderRandomFaults() throws Exception {
        assertRulesHold(101, 8, SoakOptions.DRAWN, !CROWDED, RESTARTED, SoakOptions.DEFAULT_SOCKETS);
    }

    /** The same, while idle clients use up the descriptors. */
    @Test
    @Tag("known-red")
    void rulesHoldUnderRandomFaultsWithIdleClients() throws Exception {
        assertRulesHold(104, 6, SoakOptions.DRAWN, CROWDED, RESTARTED, SoakOptions.FEW_SOCKETS);
    }
}
