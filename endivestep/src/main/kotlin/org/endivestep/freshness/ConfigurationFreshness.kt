package org.endivestep.freshness

import org.endivestep.configuration.ConfigurationPosition
import org.endivestep.configuration.noPosition
import org.endivestep.settings.Address
import java.util.random.RandomGenerator

/** Proof that at [atMs] no configuration later than [position] was in force. */
internal data class FreshnessProof(val position: ConfigurationPosition, val atMs: Long)

/**
 * Decides whether a daemon may accept keys, and whom it asks to confirm its configuration.
 *
 * A key may be accepted while the proof is younger than [validMs]. A proof begins when its question was sent, less the age of
 * the proof that a peer answered with. It counts only while this daemon holds a configuration that is at least as late as any
 * that it has heard of. All times are in ms of one [ElapsedClock]. Thread-safe.
 */
internal class ConfigurationFreshness(private val validMs: Long, private val random: RandomGenerator) {
    private class PeerQuestion(val peer: Address, val sentMs: Long, val isRepeated: Boolean)

    private val storeSchedule = StoreSchedule(random)
    private val pending = LinkedHashMap<Long, PeerQuestion>()
    private var sequence = random.nextLong(MAX_FIRST_SEQUENCE)
    private var startMs: Long? = null
    private var nextReaderMs = Long.MIN_VALUE
    private var nextRandomMs = Long.MIN_VALUE
    private var readerTurn = 0

    // The latest configuration that this daemon has heard of, and the latest proof that it cannot use before it has it.
    private var latest = noPosition
    private var awaiting: FreshnessProof? = null

    /** The latest proof about the configuration that this daemon holds; null before the first. */
    @Volatile
    var proof: FreshnessProof? = null
        private set

    /** Whether a key may be accepted at [nowMs]. */
    fun isFresh(nowMs: Long): Boolean = proof.let { it != null && nowMs - it.atMs < validMs }

    /** Returns the age of the proof at [nowMs], null before the first proof. */
    fun ageMs(nowMs: Long): Long? = proof?.let { nowMs - it.atMs }

    /** Returns the questions to ask at [nowMs]; to be called every 100 ms or so. The configuration at [position] serves requests. */
    @Synchronized
    fun questions(nowMs: Long, position: ConfigurationPosition, peers: FreshnessPeers): List<FreshnessQuestion> {
        useAwaiting(position)
        val start = startMs ?: nowMs.also { startMs = it }
        // A daemon that has just started first asks its peers, which costs less than a call to the store.
        val ageMs = ageMs(nowMs) ?: (nowMs - start + STALE_MS)
        return buildList {
            if (storeSchedule.isDue(nowMs, peers.isReader, ageMs)) add(FreshnessQuestion.ToStore)
            addAll(peerQuestions(nowMs, peers, ageMs >= STALE_MS))
        }
    }

    /** Records the end of a question to the store that was sent at [sentMs]; [confirmed] is null when the store gave no usable answer. */
    @Synchronized
    fun storeAnswered(sentMs: Long, confirmed: ConfigurationPosition?) {
        storeSchedule.answered(sentMs, succeeded = confirmed != null)
        if (confirmed != null) consider(FreshnessProof(confirmed, sentMs), confirmed)
    }

    /**
     * Records a peer's [answer] to the question [sequence], while the configuration at [position] serves requests. Returns the peer
     * if it has a later configuration, which must be fetched; null also when the question is not known.
     */
    @Synchronized
    fun peerAnswered(sequence: Long, answer: FreshnessAnswer, position: ConfigurationPosition): Address? {
        val question = pending.remove(sequence) ?: return null
        latest = maxOf(latest, answer.position)
        if (answer.ageMs != null && answer.ageMs >= 0) consider(FreshnessProof(answer.position, question.sentMs - answer.ageMs), position)
        return question.peer.takeIf { answer.position > position }
    }

    /** Returns the answer to a peer's question at [nowMs], while the configuration at [position] serves requests. */
    @Synchronized
    fun answer(nowMs: Long, position: ConfigurationPosition): FreshnessAnswer {
        useAwaiting(position)
        return FreshnessAnswer(ageMs(nowMs), position)
    }

    private fun consider(candidate: FreshnessProof, position: ConfigurationPosition) {
        latest = maxOf(latest, candidate.position)
        if (position >= latest) {
            if (candidate.isLaterThan(proof)) proof = candidate
        } else if (candidate.isLaterThan(awaiting)) {
            awaiting = candidate
        }
    }

    private fun useAwaiting(position: ConfigurationPosition) {
        val candidate = awaiting ?: return
        if (position < latest) return
        awaiting = null
        consider(candidate, position)
    }

    private fun FreshnessProof.isLaterThan(other: FreshnessProof?): Boolean = other == null || atMs > other.atMs

    private fun peerQuestions(nowMs: Long, peers: FreshnessPeers, isStale: Boolean): List<FreshnessQuestion> {
        val repeated = unanswered(nowMs).mapNotNull { askReader(nowMs, peers, isRepeated = true) }
        val regular = if (peers.isReader || nowMs < nextReaderMs) null else askReader(nowMs, peers, isRepeated = false)
        if (regular != null) nextReaderMs = nowMs + if (isStale) STALE_READER_INTERVAL_MS else READER_INTERVAL_MS
        val others = if (isStale && nowMs >= nextRandomMs) askRandom(nowMs, peers) else emptyList()
        if (others.isNotEmpty()) nextRandomMs = nowMs + RANDOM_INTERVAL_MS
        return repeated + listOfNotNull(regular) + others
    }

    // Forgets old questions; returns those that a reader has not answered in time, and which are then repeated once to the other reader.
    private fun unanswered(nowMs: Long): List<PeerQuestion> {
        pending.values.removeIf { nowMs - it.sentMs > validMs }
        val late = pending.filterValues { !it.isRepeated && nowMs - it.sentMs >= REPEAT_AFTER_MS }
        late.forEach { (sequence, question) -> pending[sequence] = PeerQuestion(question.peer, question.sentMs, isRepeated = true) }
        return late.values.toList()
    }

    private fun askReader(nowMs: Long, peers: FreshnessPeers, isRepeated: Boolean): FreshnessQuestion? {
        if (peers.readers.isEmpty()) return null
        return ask(nowMs, peers.readers[readerTurn++ % peers.readers.size], isRepeated)
    }

    private fun askRandom(nowMs: Long, peers: FreshnessPeers): List<FreshnessQuestion> {
        if (peers.all.isEmpty()) return emptyList()
        val chosen = List(RANDOM_PEERS) { peers.all[random.nextInt(peers.all.size)] }.distinct()
        return chosen.map { ask(nowMs, it, isRepeated = true) }
    }

    private fun ask(nowMs: Long, peer: Address, isRepeated: Boolean): FreshnessQuestion {
        pending[++sequence] = PeerQuestion(peer, nowMs, isRepeated)
        return FreshnessQuestion.ToPeer(peer, sequence)
    }

    companion object {
        /** Interval in ms at which a daemon asks the readers of its data centre. */
        const val READER_INTERVAL_MS = 600L

        /** Age in ms from which a daemon asks other daemons than its readers, and some time later the store itself. */
        const val STALE_MS = 2_400L

        // Readers that start at the same time as this daemon get their first proof within this time.
        private const val STALE_READER_INTERVAL_MS = 100L
        private const val REPEAT_AFTER_MS = 150L
        private const val RANDOM_INTERVAL_MS = 500L
        private const val RANDOM_PEERS = 2

        // Leaves room to count up, and makes it unlikely that an answer to an earlier run of the daemon matches.
        private const val MAX_FIRST_SEQUENCE = Long.MAX_VALUE / 2
    }
}
