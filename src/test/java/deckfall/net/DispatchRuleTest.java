package deckfall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import deckfall.Gateway.Request;
import deckfall.net.DispatchRule.Verdict;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;

/** When a request may go out to a server. */
class DispatchRuleTest {
    private static final double DEADLINE = 1000;
    private static final int MOST = 3;

    private final MemoryBudget room = new MemoryBudget(1 << 20);
    private final OpenRequest request = new OpenRequest(
            new Request("r", DEADLINE, false, "view", 1, "free", 1, 0, 1),
            new IncomingRequest(
                    new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/view"), "/view", room, 0),
            "r",
            null);

    private Verdict judge(int attempt, double now, boolean shutDown) {
        return DispatchRule.judge(request, attempt, now, MOST, shutDown);
    }

    @Test
    void aRequestGoesOutUntilItsDeadlineAndItsLastAttempt() {
        assertEquals(Verdict.ALLOWED, judge(MOST - 1, DEADLINE - 1, false));
        assertEquals(Verdict.ATTEMPTS_USED, judge(MOST, DEADLINE - 1, false));
        assertEquals(Verdict.DEADLINE_PASSED, judge(0, DEADLINE, false));
        assertEquals(Verdict.SHUT_DOWN, judge(0, 0, true));
    }

    @Test
    void aRequestThatHasEndedGoesNowhere() {
        request.close();
        assertEquals(Verdict.ENDED, judge(0, 0, false));
    }

    @Test
    void aBodyThatWasPassedOnIsNotSentAgain() {
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
        assertEquals(Verdict.BODY_SPENT, judge(1, 0, false));
    }
}
