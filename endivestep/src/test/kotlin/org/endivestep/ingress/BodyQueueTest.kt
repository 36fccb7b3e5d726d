package org.endivestep.ingress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import org.endivestep.fakes.fuzz

private const val MEBIBYTE = 1_048_576L

private fun usedMemory(): Long {
    repeat(3) { System.gc() }
    return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
}

class BodyQueueTest :
    FunSpec({
        test("bytes leave in the order in which they came, whatever the lengths of parts and reads") {
            checkAll(fuzz(), Arb.list(Arb.int(0..40_000), 0..12), Arb.int(1..30_000)) { lengths, readLength ->
                var next = 0
                val queue = BodyQueue()
                val parts = lengths.map { length -> ByteArray(length) { (next++).toByte() } }
                parts.forEach { queue.put(it, ended = false) }
                queue.put(ByteArray(0), ended = true)
                val received = generateSequence { queue.readNBytes(readLength).takeIf { it.isNotEmpty() } }.toList()
                received.flatMap { it.toList() } shouldBe parts.flatMap { it.toList() }
            }
        }

        // Guards against a daemon whose memory is exhausted by an upload in tiny chunks: each of them was held as an object.
        test("a body in parts of one byte takes little more memory than its bytes until its sender is paused") {
            var isPaused = false
            val before = usedMemory()
            val queue = BodyQueue()
            queue.onBackpressure { isPaused = it }
            while (!isPaused) queue.put(ByteArray(1), ended = false)
            val taken = usedMemory() - before
            withClue("queue of ${queue.available()}") { taken shouldBeLessThan MEBIBYTE }
        }

        test(
            "a queue that begins with more bytes than it may hold pauses its sender as soon as it can, and resumes it when they are read",
        ) {
            val events = mutableListOf<Boolean>()
            val queue = BodyQueue(ByteBlocks().apply { append(ByteArray(600_000)) })
            queue.onBackpressure { events += it }
            events shouldBe listOf(true)
            queue.readNBytes(600_000)
            events shouldBe listOf(true, false)
        }
    })
