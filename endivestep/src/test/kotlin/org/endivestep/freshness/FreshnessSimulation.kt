package org.endivestep.freshness

import org.endivestep.configuration.ConfigurationPosition
import org.endivestep.configuration.noPosition
import org.endivestep.identity.ConfigurationVersion
import org.endivestep.settings.Address
import org.endivestep.store.StoreEra
import org.endivestep.store.StoreRevision
import java.util.PriorityQueue
import java.util.SplittableRandom

internal const val BOUND_MS = 5_000L
internal const val VALID_MS = BOUND_MS - 500
private const val DATA_CENTRES = 3
private const val READERS = 2
private const val STEP_MS = 100L

/** The store of the simulation; every version of the configuration removes a key. */
internal class SimulatedStore {
    private class Version(val position: ConfigurationPosition, val acknowledgedMs: Long)

    private val versions = mutableListOf<Version>()
    private var era = 0L
    private var revision = 0L
    var calls = 0

    val position: ConfigurationPosition get() = versions.lastOrNull()?.position ?: noPosition

    fun commit(acknowledgedMs: Long) {
        val version = (versions.lastOrNull()?.position?.version?.number ?: 0) + 1
        versions += Version(ConfigurationPosition(ConfigurationVersion(version), StoreRevision(++revision, StoreEra(era))), acknowledgedMs)
    }

    /** Loses the last version, whose number is given out again. */
    fun restore() {
        if (versions.size < 2) return
        versions.removeLast()
        era++
        revision--
    }

    /** The configuration that a daemon must hold to accept a key of a request sent at [nowMs]. */
    fun required(nowMs: Long): ConfigurationPosition =
        versions.lastOrNull { it.acknowledgedMs + BOUND_MS < nowMs }?.position ?: noPosition
}

/** One daemon of the simulation. Its clocks go on with the simulation's time, but for its suspensions and steps. */
internal class SimulatedDaemon(val number: Int, private val nowMs: () -> Long, private val random: SplittableRandom) {
    val address = Address("daemon$number", 1)
    var suspendedMs = 0L
    var timeOfDayOffsetMs = random.nextLong(100_000)
    var resumesAtMs = 0L
    var reachesStore = true
    var side = 0
    var run = 0
    var position = noPosition
    private var clock = newClock()
    lateinit var freshness: ConfigurationFreshness

    init {
        restart()
    }

    val isAwake: Boolean get() = nowMs() >= resumesAtMs

    fun clockMs(): Long = clock.nowMs()

    fun restart() {
        run++
        position = noPosition
        clock = newClock()
        freshness = ConfigurationFreshness(VALID_MS, random.split())
    }

    private fun newClock() = ElapsedClock(::monotonicMs) { nowMs() + timeOfDayOffsetMs }

    private fun monotonicMs() = nowMs() - suspendedMs
}

/**
 * Daemons, the store and the messages between them in virtual time. Messages are lost with the probability [loss]. [check] is called
 * for each daemon that is awake, every 50 ms and at the moment when it wakes up.
 */
internal class FreshnessSimulation(
    seed: Long,
    count: Int,
    private val loss: Double,
    private val check: FreshnessSimulation.(SimulatedDaemon) -> Unit,
) {
    private class Event(val atMs: Long, val order: Long, val action: () -> Unit)

    val random = SplittableRandom(seed)
    val store = SimulatedStore()
    private val events = PriorityQueue(compareBy<Event> { it.atMs }.thenBy { it.order })
    private var order = 0L
    var nowMs = 0L
        private set
    val daemons = List(count) { SimulatedDaemon(it, { nowMs }, random.split()) }
    private val byAddress = daemons.associateBy { it.address }
    private val peers = daemons.associateWith(::peersOf)

    init {
        daemons.forEach { daemon ->
            after(random.nextLong(STEP_MS)) { step(daemon) }
            after(random.nextLong(50)) { checkRegularly(daemon) }
        }
    }

    fun after(delayMs: Long, action: () -> Unit) {
        events += Event(nowMs + delayMs, order++, action)
    }

    fun runUntil(endMs: Long) {
        while (true) {
            val next = events.peek()?.takeIf { it.atMs <= endMs } ?: break
            events.poll()
            nowMs = next.atMs
            next.action()
        }
    }

    /** Changes the configuration; daemons that are in touch with the store learn it from their watch. */
    fun commit() {
        store.commit(nowMs)
        daemons.forEach { daemon ->
            deliver(daemon, 5 + random.nextLong(50)) { if (daemon.reachesStore) daemon.position = maxOf(daemon.position, store.position) }
        }
    }

    /** Stops [daemon] for [durationMs]; a suspension also stops its monotonic clock. */
    fun stop(daemon: SimulatedDaemon, durationMs: Long, isSuspension: Boolean) {
        if (!daemon.isAwake) return
        daemon.resumesAtMs = nowMs + durationMs
        after(durationMs) {
            if (isSuspension) daemon.suspendedMs += durationMs
            check(daemon)
        }
    }

    private fun peersOf(daemon: SimulatedDaemon): FreshnessPeers {
        val readers = daemons.filter { it.number % DATA_CENTRES == daemon.number % DATA_CENTRES }.take(READERS)
        val others = daemons - daemon
        return FreshnessPeers(daemon in readers, (readers - daemon).map { it.address }, others.map { it.address })
    }

    private fun checkRegularly(daemon: SimulatedDaemon) {
        if (daemon.isAwake) check(daemon)
        after(50) { checkRegularly(daemon) }
    }

    private fun step(daemon: SimulatedDaemon) {
        after(STEP_MS + random.nextLong(5)) { step(daemon) }
        if (!daemon.isAwake) return
        daemon.freshness.questions(daemon.clockMs(), daemon.position, peers.getValue(daemon)).forEach { ask(daemon, it) }
    }

    private fun ask(daemon: SimulatedDaemon, question: FreshnessQuestion) {
        when (question) {
            FreshnessQuestion.ToStore -> askStore(daemon)
            is FreshnessQuestion.ToPeer -> askPeer(daemon, byAddress.getValue(question.peer), question.sequence)
        }
    }

    private fun askStore(daemon: SimulatedDaemon) {
        val sentMs = daemon.clockMs()
        val run = daemon.run
        store.calls++
        if (!daemon.reachesStore || isLost()) {
            deliver(daemon, 1_000) { if (daemon.run == run) daemon.freshness.storeAnswered(sentMs, null) }
            return
        }
        after(latencyMs()) {
            val answered = store.position
            deliver(daemon, latencyMs()) {
                if (daemon.run == run) {
                    daemon.position = maxOf(daemon.position, answered)
                    daemon.freshness.storeAnswered(sentMs, daemon.position)
                }
            }
        }
    }

    private fun askPeer(daemon: SimulatedDaemon, peer: SimulatedDaemon, sequence: Long) {
        if (isLost() || daemon.side != peer.side) return
        deliver(peer, latencyMs()) {
            val answer = peer.freshness.answer(peer.clockMs(), peer.position)
            if (!isLost() && daemon.side == peer.side) deliver(daemon, latencyMs()) { peerAnswered(daemon, sequence, answer) }
        }
    }

    private fun peerAnswered(daemon: SimulatedDaemon, sequence: Long, answer: FreshnessAnswer) {
        val holder = daemon.freshness.peerAnswered(sequence, answer, daemon.position)?.let(byAddress::getValue) ?: return
        if (isLost() || holder.side != daemon.side) return
        deliver(daemon, 2 * latencyMs()) { daemon.position = maxOf(daemon.position, holder.position) }
    }

    /** Runs [action] on [daemon] after [delayMs], or when it is awake again. */
    private fun deliver(daemon: SimulatedDaemon, delayMs: Long, action: () -> Unit) {
        after(delayMs) {
            if (daemon.isAwake) action() else deliver(daemon, daemon.resumesAtMs - nowMs + random.nextLong(20), action)
        }
    }

    private fun isLost(): Boolean = random.nextDouble() < loss

    // Some messages are much later than the rest.
    private fun latencyMs(): Long = if (loss > 0 && random.nextInt(50) == 0) random.nextLong(4_000) else 1 + random.nextLong(10)
}
