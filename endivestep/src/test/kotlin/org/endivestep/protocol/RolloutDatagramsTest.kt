package org.endivestep.protocol

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.endivestep.identity.KindName
import org.endivestep.protocol.v1.RolloutEvidence
import org.endivestep.protocol.v1.RolloutNotice
import org.endivestep.rollout.ORDER_MS
import org.endivestep.rollout.RolloutEntry
import org.endivestep.rollout.RolloutOrder
import org.endivestep.rollout.RolloutState
import org.endivestep.rollout.RolloutStatus
import org.endivestep.rollout.RouteCounts
import org.endivestep.rollout.newVersion
import org.endivestep.rollout.simulatedService
import org.endivestep.settings.Address
import org.endivestep.store.StoreEra
import org.endivestep.store.StoreRevision
import java.net.DatagramSocket
import java.net.InetAddress
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

private val loopback = InetAddress.getLoopbackAddress()
private val counts = RouteCounts(answered = 7, failed = 2, timed = 5, logMsSum = 20.5, logMsSquareSum = 90.25)
private val entry =
    RolloutEntry(
        RolloutOrder(simulatedService, newVersion, ORDER_MS),
        RolloutStatus(RolloutState.RUNNING, newVersion, 5),
        StoreRevision(9, StoreEra(1)),
    )

private fun evidence(sequence: Long) =
    RolloutEvidence
        .newBuilder()
        .setVm("vm-1")
        .setDaemonIncarnation("1-a")
        .setSequence(sequence)
        .setService(simulatedService.text)
        .setTargetVersion(newVersion.text)
        .setWorkerVersion(newVersion.text)
        .setInFlight(3)
        .addRoutes(counts.toWire(KindName("read")))
        .build()

class RolloutDatagramsTest :
    FunSpec({
        // Guards against evidence that is counted wrongly on its way, and against messages of others that change a roll-out.
        test("evidence is answered by a notice, unless it is not signed with the shared secret") {
            val received = LinkedBlockingQueue<RolloutEvidence>()
            val notices = LinkedBlockingQueue<RolloutNotice>()
            val deciderSocket = DatagramSocket(0, loopback)
            val decider =
                RolloutDatagrams(deciderSocket, PeerAuthentication("secret"), {
                    received += it
                    entry.toNotice(it.sequence, entry.sharePercent)
                }) { }
            val daemon = RolloutDatagrams(DatagramSocket(0, loopback), PeerAuthentication("secret"), { null }) { notices += it }
            val stranger = RolloutDatagrams(DatagramSocket(0, loopback), PeerAuthentication("other"), { null }) { notices += it }
            listOf(decider, daemon, stranger).forEach { it.start() }
            val to = Address("127.0.0.1", deciderSocket.localPort - RolloutDatagrams.PORT_OFFSET)
            stranger.send(evidence(1), to)
            daemon.send(evidence(2), to)
            val read = checkNotNull(received.poll(5, TimeUnit.SECONDS)).toEvidence()
            read?.sequence shouldBe 2
            read?.inFlight shouldBe 3
            read?.source?.version shouldBe newVersion
            read?.routes shouldBe mapOf(KindName("read") to counts)
            val notice = checkNotNull(notices.poll(5, TimeUnit.SECONDS))
            notice.sequence shouldBe 2
            notice.toEntry(ORDER_MS) shouldBe entry
            listOf(decider, daemon, stranger).forEach { it.stop() }
        }

        test("impossible messages are ignored") {
            fun changed(change: RolloutEvidence.Builder.() -> Unit) = evidence(1).toBuilder().apply(change).build().toEvidence()
            changed { getRoutesBuilder(0).failed = -1 } shouldBe null
            changed { getRoutesBuilder(0).timed = 8 } shouldBe null
            changed { getRoutesBuilder(0).logMsSum = Double.NaN } shouldBe null
            val notice = entry.toNotice(1, 5).toBuilder()
            notice.clone().setSharePercent(101).build().toEntry(ORDER_MS) shouldBe null
            notice.clone().setState("odd").build().toEntry(ORDER_MS) shouldBe null
            notice.clone().clearTargetVersion().build().toEntry(ORDER_MS) shouldBe null
        }
    })
