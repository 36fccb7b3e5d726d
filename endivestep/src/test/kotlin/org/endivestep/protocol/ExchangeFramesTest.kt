package org.endivestep.protocol

import com.google.protobuf.ByteString
import io.grpc.Status
import io.grpc.netty.NettyServerBuilder
import io.grpc.stub.StreamObserver
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.endivestep.fakes.sampleAttempt
import org.endivestep.identity.DaemonIncarnation
import org.endivestep.outcome.AttemptResult
import org.endivestep.protocol.v1.Admitted
import org.endivestep.protocol.v1.AnswerFrame
import org.endivestep.protocol.v1.AnswerHead
import org.endivestep.protocol.v1.BodyChunk
import org.endivestep.protocol.v1.BodyEnd
import org.endivestep.protocol.v1.ExchangesGrpc
import org.endivestep.protocol.v1.FenceAnswer
import org.endivestep.protocol.v1.FenceRequest
import org.endivestep.protocol.v1.RequestFrame
import org.endivestep.settings.Address
import java.io.Closeable
import java.io.IOException
import java.net.InetSocketAddress
import java.util.concurrent.Executors
import java.util.zip.CRC32C

private const val CHUNKS = 4
private const val CHUNK_BYTES = 5_000

/** A daemon that answers each exchange with [frames] and then ends the stream with [end]. */
private class ScriptedDaemon(frames: List<AnswerFrame>, end: StreamObserver<AnswerFrame>.() -> Unit) : Closeable {
    private val threads = Executors.newCachedThreadPool()
    private val service =
        object : ExchangesGrpc.ExchangesImplBase() {
            override fun exchange(answers: StreamObserver<AnswerFrame>): StreamObserver<RequestFrame> =
                object : StreamObserver<RequestFrame> {
                    override fun onNext(frame: RequestFrame) {
                        frames.forEach(answers::onNext)
                        answers.end()
                    }

                    override fun onError(error: Throwable) = Unit

                    override fun onCompleted() = Unit
                }

            override fun fence(request: FenceRequest, answer: StreamObserver<FenceAnswer>) {
                answer.onNext(FenceAnswer.newBuilder().setState(FenceAnswer.State.STARTED).build())
                answer.onCompleted()
            }
        }
    private val server =
        NettyServerBuilder.forAddress(InetSocketAddress("127.0.0.1", 0)).executor(threads).addService(service).build().start()
    private val channels = PeerChannels(PeerAuthentication("a secret of the tests"))
    private val client = ExchangeClient(channels, threads)

    /** Sends an attempt; returns its complete body, or null when the answer is not complete. */
    fun attempt(): String? {
        val result = client.attempt(Peer(Address("127.0.0.1", server.port), DaemonIncarnation("1-run")), sampleAttempt())
        return try {
            (result as? AttemptResult.Answered)?.body?.use { it.readAllBytes().decodeToString() }
        } catch (_: IOException) {
            null
        }
    }

    override fun close() {
        channels.close()
        server.shutdownNow()
        threads.shutdownNow()
    }
}

private val admitted = AnswerFrame.newBuilder().setAdmitted(Admitted.getDefaultInstance()).build()

private fun head(attempt: String = "attempt", request: String = "request", wholeBody: String? = null): AnswerFrame {
    val head = AnswerHead.newBuilder().setRequestId(request).setAttemptId(attempt).setStatus(200)
    if (wholeBody != null) head.setWhole(true).setInlineBody(ByteString.copyFromUtf8(wholeBody))
    return AnswerFrame.newBuilder().setHead(head).build()
}

private val body = "z".repeat(CHUNKS * CHUNK_BYTES)

/** Frames of [body] as a sender makes them. */
private val bodyFrames: List<AnswerFrame> =
    (0 until CHUNKS).map { index -> chunk(index) } + AnswerFrame.newBuilder().setEnd(endOfBody()).build()

private fun chunk(index: Int): AnswerFrame {
    val bytes = ByteString.copyFromUtf8(body.substring(index * CHUNK_BYTES, (index + 1) * CHUNK_BYTES))
    return AnswerFrame.newBuilder().setChunk(BodyChunk.newBuilder().setIndex(index).setBytes(bytes)).build()
}

private fun endOfBody(): BodyEnd {
    val checksum = CRC32C().also { it.update(body.toByteArray()) }.value.toInt()
    return BodyEnd.newBuilder().setFrames(CHUNKS).setLength(body.length.toLong()).setChecksum(checksum).build()
}

private fun endWith(change: BodyEnd.Builder.() -> Unit): AnswerFrame =
    AnswerFrame.newBuilder().setEnd(endOfBody().toBuilder().apply(change)).build()

class ExchangeFramesTest :
    FunSpec({
        val complete: StreamObserver<AnswerFrame>.() -> Unit = { onCompleted() }
        val fail: StreamObserver<AnswerFrame>.() -> Unit = { onError(Status.ABORTED.asRuntimeException()) }

        test("an answer whose stream ends at any frame boundary is complete only after its end frame") {
            val frames = listOf(admitted, head()) + bodyFrames
            for ((name, end) in listOf("completed" to complete, "failed" to fail)) {
                for (count in 0 until frames.size) {
                    withClue("$name after $count of ${frames.size} frames") {
                        ScriptedDaemon(frames.take(count), end).use { it.attempt() } shouldBe null
                    }
                }
            }
            ScriptedDaemon(frames, complete).use { it.attempt() } shouldBe body
            ScriptedDaemon(listOf(admitted, head(wholeBody = "short")), complete).use { it.attempt() } shouldBe "short"
        }

        test("an answer of another attempt, or with frames that are not its own, is never complete") {
            class Case(val name: String, val frames: List<AnswerFrame>)
            val chunks = bodyFrames.dropLast(1)
            listOf(
                Case("another attempt of the request", listOf(head(attempt = "other")) + bodyFrames),
                Case("another request", listOf(head(request = "other")) + bodyFrames),
                Case("a short answer of another attempt", listOf(head(attempt = "other", wholeBody = "short"))),
                Case("a short answer of another request", listOf(head(request = "other", wholeBody = "short"))),
                Case("no head", bodyFrames),
                Case("two heads", listOf(head(), head()) + bodyFrames),
                Case("a head amid the body", listOf(head(), chunk(0), head(attempt = "other")) + bodyFrames.drop(1)),
                Case("a notice of admission amid the body", listOf(head(), chunk(0), admitted) + bodyFrames.drop(1)),
                Case("a chunk twice", listOf(head(), chunk(0)) + bodyFrames),
                Case("a chunk missing", listOf(head()) + bodyFrames.drop(1)),
                Case("chunks in another order", listOf(head(), chunk(1), chunk(0)) + bodyFrames.drop(2)),
                Case("another checksum", listOf(head()) + chunks + endWith { checksum += 1 }),
                Case("another length", listOf(head()) + chunks + endWith { length -= 1 }),
                Case("another number of frames", listOf(head()) + chunks + endWith { frames += 1 }),
                Case("an end frame of an empty body", listOf(head()) + chunks + endWith { clear() }),
            ).forEach { case ->
                withClue(case.name) { ScriptedDaemon(listOf(admitted) + case.frames, complete).use { it.attempt() } shouldBe null }
            }
        }
    })
