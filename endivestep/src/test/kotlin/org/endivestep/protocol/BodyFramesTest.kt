package org.endivestep.protocol

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.byte
import io.kotest.property.arbitrary.byteArray
import io.kotest.property.arbitrary.enum
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import org.endivestep.fakes.fuzz
import org.endivestep.protocol.v1.BodyChunk
import org.endivestep.protocol.v1.BodyEnd
import java.io.IOException

private enum class Corruption { DROP, DUPLICATE, SWAP, FLIP_BYTE, NO_END, END_OF_OTHER_BODY }

private fun framesOf(bytes: ByteArray): List<BodyFrame> {
    val frames = mutableListOf<BodyFrame>()
    BodySender({ frames += BodyFrame.Chunk(it) }, { frames += BodyFrame.End(it) }).send(bytes.inputStream())
    return frames
}

private fun receive(frames: List<BodyFrame>): ByteArray {
    val remaining = ArrayDeque(frames)
    return BodyInputStream({ remaining.removeFirstOrNull() ?: BodyFrame.Failed("the stream ended") }, { }).readAllBytes()
}

// Returns null when the frames cannot be corrupted in this way.
private fun corrupted(frames: List<BodyFrame>, corruption: Corruption, position: Int): List<BodyFrame>? {
    val chunks = frames.size - 1
    if (chunks == 0 && corruption != Corruption.NO_END && corruption != Corruption.END_OF_OTHER_BODY) return null
    val index = if (chunks == 0) 0 else position % chunks
    return when (corruption) {
        Corruption.DROP -> frames.filterIndexed { at, _ -> at != index }
        Corruption.DUPLICATE -> frames.take(index + 1) + frames.drop(index)
        Corruption.SWAP -> if (chunks < 2) null else swapped(frames, index % (chunks - 1))
        Corruption.FLIP_BYTE -> frames.mapIndexed { at, frame -> if (at == index) flipped(frame) else frame }
        Corruption.NO_END -> frames.dropLast(1)
        Corruption.END_OF_OTHER_BODY -> frames.dropLast(1) + framesOf(ByteArray(7) { 9 }).last()
    }
}

private fun swapped(frames: List<BodyFrame>, index: Int): List<BodyFrame> =
    frames.take(index) + frames[index + 1] + frames[index] + frames.drop(index + 2)

private fun flipped(frame: BodyFrame): BodyFrame {
    val chunk = (frame as BodyFrame.Chunk).chunk
    val bytes = chunk.bytes.toByteArray()
    bytes[0] = (bytes[0].toInt() xor 1).toByte()
    return BodyFrame.Chunk(BodyChunk.newBuilder(chunk).setBytes(com.google.protobuf.ByteString.copyFrom(bytes)).build())
}

class BodyFramesTest :
    FunSpec({
        test("a body is received as it was sent") {
            listOf(0, 1, 16_383, 16_384, 16_385, 100_000).forEach { size ->
                val bytes = ByteArray(size) { (it % 251).toByte() }
                receive(framesOf(bytes)).contentEquals(bytes) shouldBe true
            }
        }

        test("a corrupted body is never reported as complete") {
            val bodies = Arb.byteArray(Arb.int(0..60_000), Arb.byte())
            checkAll(fuzz().copy(iterations = 100), bodies, Arb.enum<Corruption>(), Arb.int(0..10)) { bytes, corruption, position ->
                val frames = corrupted(framesOf(bytes), corruption, position)
                if (frames != null) shouldThrow<IOException> { receive(frames) }
            }
        }

        test("an end frame with a different length is rejected") {
            val end = BodyEnd.newBuilder().setFrames(0).setLength(1).build()
            shouldThrow<IOException> { receive(listOf(BodyFrame.End(end))) }
        }
    })
