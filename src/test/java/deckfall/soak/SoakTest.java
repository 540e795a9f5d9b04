package deckfall.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import deckfall.soak.SoakRun.RunResult;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Real processes under faults, short and with fixed seeds; {@code soak} of the command line plays longer ones. */
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

    /** Clients on new connections waited for a second, past their deadlines, after one failed accept. */
    @Test
    void requestsAreServedWhileAcceptFailsBriefly() throws Exception {
        assertRulesHold(11, 4, "accept,ENFILE,20,2000,500", !CROWDED, !RESTARTED, SoakOptions.DEFAULT_SOCKETS);
    }

    /** Clients' connections were closed unread once two processes of a gateway together held their cap of clients. */
    @Test
    void requestsAreServedWhileProcessesAreReplaced() throws Exception {
        assertRulesHold(13, 6, SoakOptions.NONE, !CROWDED, RESTARTED, SoakOptions.FEW_SOCKETS);
    }

    /** An interrupted read was taken for the end of the connection, whose request then got no answer. */
    @Test
    void requestsAreServedWhileReadsAreInterrupted() throws Exception {
        assertRulesHold(11, 4, "read,EINTR,100,300,0", !CROWDED, !RESTARTED, SoakOptions.DEFAULT_SOCKETS);
    }

    /** A write for which there was no buffer for a moment closed the connection under its answer. */
    @Test
    void requestsAreServedWhileWritesFailWithNoBufferSpace() throws Exception {
        assertRulesHold(11, 4, "write,ENOBUFS,20,500,0,client", !CROWDED, !RESTARTED, SoakOptions.DEFAULT_SOCKETS);
    }

    /** Faults of all kinds that overlap. */
    @Test
    void rulesHoldUnderRandomFaults() throws Exception {
        assertRulesHold(101, 8, SoakOptions.DRAWN, !CROWDED, RESTARTED, SoakOptions.DEFAULT_SOCKETS);
    }

    /** The same where idle clients fill the descriptors. */
    @Test
    void rulesHoldUnderRandomFaultsWithIdleClients() throws Exception {
        assertRulesHold(104, 6, SoakOptions.DRAWN, CROWDED, RESTARTED, SoakOptions.FEW_SOCKETS);
    }
}
