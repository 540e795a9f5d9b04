package deckfall.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import deckfall.soak.SlowPeers.OrdinaryClients;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests that clients which write requests as fast as they can neither hold up nor displace the requests of others. */
class FloodTest {
    private static final int FLOODS = 16;
    private static final int FLOOD_MS = 2000;
    private static final int INTERVAL_MS = 10; // between ordinary lookups
    private static final int WAIT_MS = 400;
    private static final long MAX_MEMORY_BYTES = 160 << 20;

    @TempDir
    private Path folder;

    /** Guards against one connection's requests being processed all at once, each response being sent by itself. */
    @ParameterizedTest
    @EnumSource
    void ordinaryClientsAreServedBesideAFlood(Flood.Kind kind) throws Exception {
        try (SlowPeers peers = new SlowPeers(folder, 1, "")) {
            OrdinaryClients clients = peers.startOrdinaryClients(0, INTERVAL_MS, WAIT_MS);
            List<Flood> floods = new ArrayList<>();
            for (int i = 0; i < FLOODS; i++) {
                floods.add(new Flood(peers.connect(0), kind, (i + 1L) << 24));
            }
            Thread.sleep(FLOOD_MS);
            for (Flood flood : floods) {
                flood.close();
            }
            clients.close();
            assertEquals(List.of(), peers.broken());
            assertTrue(clients.served.get() > clients.sent.get() / 2, clients.served + " of " + clients.sent);
            assertTrue(peers.peakMemoryBytes(0) < MAX_MEMORY_BYTES, peers.peakMemoryBytes(0) + " bytes");
        }
    }
}
