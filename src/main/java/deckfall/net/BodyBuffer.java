package deckfall.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;

/**
 * The part of a request body that is held, in blocks of limited size: a block can be sent and released while the others
 * are kept, and none needs much memory of its own to be sent.
 */
final class BodyBuffer {
    static final int MAX_BLOCK_BYTES = 16 * 1024;
    private static final int MIN_BLOCK_BYTES = 64;

    private final List<ByteBuf> blocks = new ArrayList<>(1);
    private int firstBlock; // the blocks before it have been taken
    private int size;
    private int capacity;

    /** The number of bytes that are held. */
    int size() {
        return size;
    }

    /** The memory of all blocks. */
    int capacity() {
        return capacity;
    }

    /** The memory that all blocks will have once this many further bytes are held. */
    int capacityWith(int count) {
        int newCapacity = capacity;
        int newSize = size + roomInLastBlock();
        for (int left = count - roomInLastBlock(); left > 0; ) {
            int block = blockCapacity(left, newSize);
            newCapacity += block;
            newSize += block;
            left -= block;
        }
        return newCapacity;
    }

    /** Blocks grow with the body, so that a short one takes little memory. */
    private static int blockCapacity(int count, int heldBytes) {
        return Math.max(MIN_BLOCK_BYTES, Math.min(MAX_BLOCK_BYTES, Math.max(count, heldBytes)));
    }

    private int roomInLastBlock() {
        return firstBlock == blocks.size() ? 0 : blocks.get(blocks.size() - 1).writableBytes();
    }

    /** Copies the readable bytes of {@code content}. */
    void append(ByteBuf content) {
        int index = content.readerIndex();
        int left = content.readableBytes();
        while (left > 0) {
            if (roomInLastBlock() == 0) {
                addBlock(blockCapacity(left, size));
            }
            int count = Math.min(left, roomInLastBlock());
            blocks.get(blocks.size() - 1).writeBytes(content, index, count);
            size += count;
            index += count;
            left -= count;
        }
    }

    private void addBlock(int blockCapacity) {
        ByteBuf block = PooledByteBufAllocator.DEFAULT.heapBuffer(blockCapacity, blockCapacity);
        capacity += block.capacity();
        blocks.add(block);
    }

    /** Removes the first block; the caller must release it. The buffer must not be empty. */
    ByteBuf takeBlock() {
        ByteBuf block = blocks.set(firstBlock++, null);
        size -= block.readableBytes();
        capacity -= block.capacity();
        if (firstBlock == blocks.size()) {
            blocks.clear();
            firstBlock = 0;
        }
        return block;
    }

    /** The number of blocks that are held. */
    int blockCount() {
        return blocks.size() - firstBlock;
    }

    /** A view of a block, which stays held; the caller must release it. */
    ByteBuf retainedBlock(int index) {
        return blocks.get(firstBlock + index).retainedDuplicate();
    }

    /** A view of all bytes, which stay held; the caller must release it. */
    ByteBuf retainedContent() {
        ByteBuf[] views = new ByteBuf[blockCount()];
        for (int i = 0; i < views.length; i++) {
            views[i] = retainedBlock(i);
        }
        return Unpooled.wrappedBuffer(views);
    }

    /** Releases all blocks. */
    void clear() {
        while (blockCount() > 0) {
            takeBlock().release();
        }
    }
}
