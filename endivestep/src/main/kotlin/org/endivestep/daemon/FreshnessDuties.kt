package org.endivestep.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.concurrent.BackgroundLoop
import org.endivestep.concurrent.MpscQueue
import org.endivestep.configuration.ConfigurationAdoption
import org.endivestep.configuration.ConfigurationFetcher
import org.endivestep.configuration.ConfigurationPosition
import org.endivestep.document.Document
import org.endivestep.exchange.monotonicMs
import org.endivestep.freshness.ConfigurationFreshness
import org.endivestep.freshness.ElapsedClock
import org.endivestep.freshness.FreshnessAnswer
import org.endivestep.freshness.FreshnessPeers
import org.endivestep.freshness.FreshnessQuestion
import org.endivestep.membership.Gossip
import org.endivestep.membership.MemberInfo
import org.endivestep.membership.MemberState
import org.endivestep.membership.SharedTask
import org.endivestep.membership.assignedMembers
import org.endivestep.metrics.DaemonMetrics
import org.endivestep.platform.PlatformSettings
import org.endivestep.protocol.FreshnessDatagrams
import java.net.DatagramSocket
import java.util.concurrent.atomic.AtomicLong
import java.util.random.RandomGenerator

private val logger = KotlinLogging.logger {}

/** Asks the store for changes of the configuration; returns the position that it confirmed, null without a usable answer. Blocks. */
internal typealias ConfigurationQuery = () -> ConfigurationPosition?

/**
 * Confirms again and again that this daemon holds the latest configuration, so that it may accept the keys of teams for
 * [keyRevocationMs] after that. Does nothing while the configuration has no teams.
 */
internal class FreshnessDuties(
    private val keyRevocationMs: Long,
    private val gossip: Gossip,
    private val adoption: ConfigurationAdoption,
    private val fetcher: ConfigurationFetcher,
    private val document: () -> Document?,
    private val queryStore: ConfigurationQuery,
    socket: DatagramSocket,
    random: RandomGenerator,
) {
    private val clock = ElapsedClock(::monotonicMs, System::currentTimeMillis)
    private val freshness = ConfigurationFreshness(keyRevocationMs - MARGIN_MS, random)
    private val datagrams = FreshnessDatagrams(socket, gossip.self.vm, ::answer, ::peerAnswered)
    private val storeQuestions = MpscQueue<Unit>(1)
    private val storeQuestionCount = AtomicLong()
    private var knownMembers: List<MemberInfo>? = null
    private var peers = FreshnessPeers(isReader = false, emptyList(), emptyList())
    private var wasFresh = false

    private val isActive: Boolean get() = document()?.teams?.isEmpty == false

    /** Whether a key of the configuration may be accepted now. */
    fun isFresh(): Boolean = freshness.isFresh(clock.nowMs())

    fun start() {
        datagrams.start()
        BackgroundLoop.start("freshness", ::step)
        BackgroundLoop.start("freshness-store", ::askStore)
    }

    fun registerGauges(metrics: DaemonMetrics) {
        metrics.gauge("endivestep.configuration.proof.age.ms", "Time since the configuration was confirmed as the latest; -1 before") {
            freshness.ageMs(clock.nowMs()) ?: -1
        }
        metrics.gauge("endivestep.freshness.store.questions", "Questions to the store whether the configuration is the latest") {
            storeQuestionCount.get()
        }
    }

    private fun step() {
        Thread.sleep(STEP_MS)
        val nowMs = clock.nowMs()
        if (!isActive) return
        freshness.questions(nowMs, adoption.settledPosition(), currentPeers()).forEach(::ask)
        logChange(nowMs)
    }

    private fun ask(question: FreshnessQuestion) {
        when (question) {
            is FreshnessQuestion.ToPeer -> datagrams.ask(question)
            FreshnessQuestion.ToStore -> storeQuestions.offer(Unit)
        }
    }

    private fun askStore() {
        storeQuestions.poll(IDLE_MS) ?: return
        val sentMs = clock.nowMs()
        var confirmed: ConfigurationPosition? = null
        try {
            storeQuestionCount.incrementAndGet()
            confirmed = queryStore()
        } finally {
            freshness.storeAnswered(sentMs, confirmed)
        }
    }

    private fun answer(): FreshnessAnswer {
        val position = adoption.settledPosition()
        return freshness.answer(clock.nowMs(), position)
    }

    private fun peerAnswered(sequence: Long, answer: FreshnessAnswer) {
        freshness.peerAnswered(sequence, answer, adoption.settledPosition())?.let(fetcher::fetchFrom)
    }

    private fun currentPeers(): FreshnessPeers {
        val members = gossip.members
        if (members === knownMembers) return peers
        val self = gossip.self
        val alive = members.filter { it.state == MemberState.ALIVE }
        val local = alive.filter { it.dataCentre == self.dataCentre }
        val readers = assignedMembers((local.map { it.vm } + self.vm).distinct(), SharedTask.FRESHNESS, READERS_PER_DATA_CENTRE)
        val others = alive.filter { it.vm != self.vm }
        peers = FreshnessPeers(self.vm in readers, others.filter { it.vm in readers }.map { it.inner }, others.map { it.inner })
        knownMembers = members
        return peers
    }

    private fun logChange(nowMs: Long) {
        val isFresh = freshness.isFresh(nowMs)
        if (isFresh == wasFresh) return
        wasFresh = isFresh
        val proof = "version ${adoption.version.number}, confirmed ${freshness.ageMs(
            nowMs,
        )} ms ago, limit ${keyRevocationMs - MARGIN_MS} ms"
        if (isFresh) {
            logger.info { "accepting keys: the configuration is the latest ($proof)" }
        } else {
            logger.warn { "refusing requests with keys: the configuration may not be the latest ($proof)" }
        }
    }

    private companion object {
        const val STEP_MS = 100L
        const val IDLE_MS = 10_000L
        const val READERS_PER_DATA_CENTRE = 2

        // Covers the time between the check of a request and its start at the worker.
        const val MARGIN_MS = 500L
    }
}

/**
 * Returns the duties of a daemon with [settings], or null when these set no time limit for keys that were taken away.
 * Throws [java.io.IOException] if the port is in use.
 */
internal fun freshnessDuties(
    settings: PlatformSettings,
    gossip: Gossip,
    adoption: ConfigurationAdoption,
    fetcher: ConfigurationFetcher,
    document: () -> Document?,
    queryStore: ConfigurationQuery,
    random: RandomGenerator,
): FreshnessDuties? {
    val keyRevocationMs = settings.bounds.keyRevocationMs ?: return null
    val socket = udpSocket(settings.inner, FreshnessDatagrams.PORT_OFFSET)
    return FreshnessDuties(keyRevocationMs, gossip, adoption, fetcher, document, queryStore, socket, random)
}
