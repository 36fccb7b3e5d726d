package org.endivestep.ingress

/**
 * First-in, first-out buffer of bytes in blocks, so that neither many short parts nor growth cost much more memory than the bytes.
 * Not thread-safe.
 */
internal class ByteBlocks {
    private class Block(val bytes: ByteArray, var end: Int) {
        var begin = 0
        val room: Int get() = bytes.size - end
    }

    private val blocks = ArrayDeque<Block>()

    /** Number of bytes in the buffer. */
    var size = 0
        private set

    /** Appends [bytes], which must not be changed afterwards. */
    fun append(bytes: ByteArray) {
        val copied = fillLast(bytes)
        if (copied < bytes.size) blocks.addLast(newBlock(bytes, copied))
        size += bytes.size
    }

    private fun fillLast(bytes: ByteArray): Int {
        val last = blocks.lastOrNull() ?: return 0
        val count = minOf(last.room, bytes.size)
        bytes.copyInto(last.bytes, last.end, 0, count)
        last.end += count
        return count
    }

    private fun newBlock(bytes: ByteArray, from: Int): Block {
        val count = bytes.size - from
        if (from == 0 && (blocks.isEmpty() || count >= BLOCK_BYTES)) return Block(bytes, count)
        val block = Block(ByteArray(maxOf(count, BLOCK_BYTES)), count)
        bytes.copyInto(block.bytes, 0, from, bytes.size)
        return block
    }

    /** Removes up to [count] bytes into [target] from [start] on; returns their number, 0 if the buffer is empty. */
    fun read(target: ByteArray, start: Int, count: Int): Int {
        val block = blocks.firstOrNull() ?: return 0
        val copied = minOf(count, block.end - block.begin)
        block.bytes.copyInto(target, start, block.begin, block.begin + copied)
        block.begin += copied
        if (block.begin == block.end) blocks.removeFirst()
        size -= copied
        return copied
    }

    /** Returns all bytes, without removing them. */
    fun toByteArray(): ByteArray {
        val all = ByteArray(size)
        var position = 0
        for (block in blocks) {
            block.bytes.copyInto(all, position, block.begin, block.end)
            position += block.end - block.begin
        }
        return all
    }

    fun clear() {
        blocks.clear()
        size = 0
    }

    private companion object {
        const val BLOCK_BYTES = 16_384
    }
}
