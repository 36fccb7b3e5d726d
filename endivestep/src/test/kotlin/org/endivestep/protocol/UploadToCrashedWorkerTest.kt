package org.endivestep.protocol

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.netty.channel.nio.NioEventLoopGroup
import org.endivestep.egress.nettyWorkerCall
import org.endivestep.exchange.MessageHeaders
import org.endivestep.exchange.RequestBody
import org.endivestep.fakes.EgressFixture
import org.endivestep.fakes.WireFixture
import org.endivestep.fakes.sampleAttempt
import org.endivestep.http.HttpConnectionPool
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.NotRunReason
import org.endivestep.settings.Address
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.TimeUnit

private val headers = MessageHeaders("Id", "Deadline", "Caller", "Expect", "Retry-After")

/** Returns an address at which nothing listens, as after the crash of a worker. */
private fun refusingAddress(): Address =
    ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { Address("127.0.0.1", it.localPort) }

private val bytes = ByteArray(2 * 1024 * 1024) { (it % 251).toByte() }

private val bodies: Map<String, () -> RequestBody.Streamed> =
    mapOf(
        "with a length" to { RequestBody.Streamed(bytes.inputStream(), bytes.size.toLong()) },
        "in chunks" to { RequestBody.Streamed(bytes.inputStream(), -1) },
    )

class UploadToCrashedWorkerTest :
    FunSpec({
        // Guards against an upload that is lost, or run without its beginning, because its body was begun for a worker that had crashed.
        test("no byte of a body is taken for a worker that cannot be reached") {
            val loops = NioEventLoopGroup(1)
            val call = nettyWorkerCall(HttpConnectionPool(loops, connectTimeoutMs = 500), headers)
            bodies.forEach { (name, body) ->
                WireFixture(EgressFixture(address = refusingAddress(), worker = call)).use { wire ->
                    val upload = body()
                    val result = wire.client.attempt(wire.peer, sampleAttempt(body = upload))
                    withClue(name) {
                        result.shouldBeInstanceOf<AttemptResult.NotRun>().reason shouldBe NotRunReason.WORKER_UNREACHABLE
                        upload.isOpened shouldBe false
                        upload.open().readBytes().contentEquals(bytes) shouldBe true
                    }
                }
            }
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS)
        }
    })
