package org.endivestep.http

/**
 * Limits the decoding work that one response may cost the event loop, which other connections share.
 *
 * A chunk costs about the same work whatever its length, so a response in chunks of few bytes costs far more than its bytes
 * suggest. Each response has [FREE_CHUNKS] such chunks; beyond them, reading pauses in proportion to their number. Not thread-safe.
 */
internal class SmallChunkLimit {
    private var left = FREE_CHUNKS

    /** Begins a response. */
    fun begin() {
        left = FREE_CHUNKS
    }

    /** Records a chunk of [bytes] bytes. */
    fun record(bytes: Int) {
        if (bytes < SMALL_CHUNK_BYTES) left--
    }

    /** Returns the time in ms for which reading must pause now, 0 if it may go on; the pause pays for the chunks recorded so far. */
    fun takePauseMs(): Long {
        if (left >= 0) return 0
        val excess = -left
        left = 0
        return 1L + excess / CHUNKS_PER_MS
    }

    private companion object {
        const val SMALL_CHUNK_BYTES = 64
        const val FREE_CHUNKS = 10_000
        const val CHUNKS_PER_MS = 5
    }
}
