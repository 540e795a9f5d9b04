package deckfall.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import deckfall.soak.SlowPeers.Framing;
import deckfall.soak.SlowPeers.LargeRequest;
import deckfall.soak.SlowPeers.LongResponse;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests four gateways, as processes, with seat servers that write long responses or read large requests slowly. */
class SlowPeersTest {
    private static final int GATEWAYS = 4;
    private static final int STEADY_MS = 50; // between the parts of a response
    private static final int LUMP_MS = 800;
    private static final int LATE_LUMP_MS = 1650; // the first byte of the body comes after the client's time
    private static final int STUCK = 13_974; // bytes that a server reads before it stops
    private static final int ALL = Integer.MAX_VALUE;

    @TempDir
    private Path folder;

    /** Guards against cutting off a long response that a server is still writing when its client's time is up. */
    @Test
    void longResponsesAreNotCutOff() throws Exception {
        try (SlowPeers peers = new SlowPeers(folder, GATEWAYS, "")) {
            peers.sendToEachGateway(List.of(
                    List.of(new LongResponse(Framing.CLOSE, 181_265, 99_800, LATE_LUMP_MS, 897)),
                    List.of(new LongResponse(Framing.LENGTH, 188_264, 90_900, STEADY_MS, 454)),
                    List.of(new LongResponse(Framing.CHUNKED, 152_636, 93_700, LATE_LUMP_MS, 454)),
                    List.of(new LongResponse(Framing.CLOSE, 128_628, 96_700, STEADY_MS, 570)),
                    List.of(new LongResponse(Framing.CHUNKED, 149_543, 102_600, STEADY_MS, 631)),
                    List.of(new LongResponse(Framing.LENGTH, 198_191, 64_000, LUMP_MS, 622)),
                    List.of(new LongResponse(Framing.CHUNKED, 176_289, 64_000, LUMP_MS, 839)),
                    List.of(new LongResponse(Framing.LENGTH, 200_517, 96_000, LATE_LUMP_MS, 840))));
            assertEquals(List.of(), peers.broken());
        }
    }

    /** Guards against late answers to large requests of which a server takes little or nothing. */
    @Test
    void largeRequestsAreAnsweredInTime() throws Exception {
        try (SlowPeers peers = new SlowPeers(folder, GATEWAYS, "")) {
            peers.sendToEachGateway(List.of(
                    List.of(new LargeRequest(Framing.CHUNKED, 985_964, 71_078, ALL, 842)),
                    List.of(new LargeRequest(Framing.LENGTH, 958_750, 82_182, ALL, 682)),
                    List.of(new LargeRequest(Framing.LENGTH, 1_418_344, 71_078, STUCK, 752)),
                    List.of(new LargeRequest(Framing.CHUNKED, 605_479, 71_078, 2 * STUCK, 790)),
                    List.of(new LargeRequest(Framing.LENGTH, 413_654, 71_078, 2 * STUCK, 766)),
                    List.of(new LargeRequest(Framing.CHUNKED, 882_030, 112_951, ALL, 851))));
            assertEquals(List.of(), peers.broken());
        }
    }
}
