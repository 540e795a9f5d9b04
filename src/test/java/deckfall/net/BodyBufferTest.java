package deckfall.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class BodyBufferTest {
    private final BodyBuffer buffer = new BodyBuffer();

    @AfterEach
    void release() {
        buffer.clear();
        assertEquals(0, buffer.capacity());
    }

    private static ByteBuf text(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    @Test
    void allBytesAreHeldInOrderWhateverTheSizeOfTheirParts() {
        StringBuilder expected = new StringBuilder();
        for (int length : new int[] {1, 63, 2, 500, 100_000, 7, 16 * 1024}) {
            String part = Integer.toString(length % 10).repeat(length);
            int reserved = buffer.capacityWith(length);
            buffer.append(text(part));
            expected.append(part);
            assertEquals(reserved, buffer.capacity(), "after " + length);
            assertEquals(expected.length(), buffer.size());
        }
        ByteBuf content = buffer.retainedContent();
        assertEquals(expected.toString(), content.toString(StandardCharsets.ISO_8859_1));
        content.release();
    }

    @Test
    void memoryIsReturnedBlockByBlock() {
        buffer.append(text("x".repeat(100_000)));
        int sent = 0;
        for (int left = buffer.blockCount(); left > 0; left--) {
            int before = buffer.capacity();
            ByteBuf block = buffer.takeBlock();
            assertTrue(block.readableBytes() <= BodyBuffer.MAX_BLOCK_BYTES);
            assertEquals(before - block.capacity(), buffer.capacity());
            sent += block.readableBytes();
            block.release();
        }
        assertEquals(100_000, sent);
        assertEquals(0, buffer.size());
        buffer.append(text("again"));
        assertEquals(5, buffer.size());
    }

    @Test
    void aShortBodyTakesLittleMemory() {
        buffer.append(text("two seats"));
        assertTrue(buffer.capacity() <= 64, Integer.toString(buffer.capacity()));
    }
}
