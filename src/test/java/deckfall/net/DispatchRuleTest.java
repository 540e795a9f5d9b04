package deckfall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import deckfall.Gateway.Request;
import deckfall.net.DispatchRule.Verdict;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;

/** Tests when a request may be sent to a host. */
class DispatchRuleTest {
    private static final double DEADLINE_MS = 1000;
    private static final int MAX_ATTEMPTS = 3;

    private final MemoryBudget memoryBudget = new MemoryBudget(1 << 20, 1);
    private final OpenRequest request = new OpenRequest(
            new Request("r", DEADLINE_MS, false, "view", 1, "free", 1, 0, 1),
            new IncomingRequest(
                    new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/view"),
                    "/view",
                    memoryBudget,
                    memoryBudget.openAccount(() -> {}),
                    0),
            "r",
            null);

    private Verdict check(int attempt, double now, boolean shutDown) {
        return DispatchRule.check(request, attempt, now, MAX_ATTEMPTS, shutDown);
    }

    @Test
    void attemptIsAllowedUntilTheDeadlineAndTheAttemptLimit() {
        assertEquals(Verdict.ALLOWED, check(MAX_ATTEMPTS - 1, DEADLINE_MS - 1, false));
        assertEquals(Verdict.ATTEMPTS_USED, check(MAX_ATTEMPTS, DEADLINE_MS - 1, false));
        assertEquals(Verdict.DEADLINE_PASSED, check(0, DEADLINE_MS, false));
        assertEquals(Verdict.SHUT_DOWN, check(0, 0, true));
    }

    @Test
    void endedRequestIsNotSent() {
        request.close();
        assertEquals(Verdict.ENDED, check(0, 0, false));
    }

    @Test
    void streamedBodyIsNotSentAgain() {
        request.message.streamTo(new IncomingRequest.BodyReceiver() {
            @Override
            public void writeBody(io.netty.buffer.ByteBuf content) {
                content.release();
            }

            @Override
            public void finishBody() {}

            @Override
            public boolean writable() {
                return true;
            }
        });
        assertEquals(Verdict.BODY_SPENT, check(1, 0, false));
    }
}
