package org.endivestep.quota

import org.endivestep.identity.VmName
import kotlin.math.ceil
import kotlin.math.exp

/** Tokens asked for in the request with the number [sequence] to [owner], which has not been answered. */
internal class PendingDemand(val sequence: Long, val owner: VmName, val wanted: Int, val sentMs: Long) {
    /** Whether the owner was already noted as silent for it. */
    var isOverdue = false
}

/** State of one limited team at a daemon that runs requests of it. Times are in ms. Not thread-safe. */
internal class TeamTokens(val fallback: FallbackAllowance) {
    /** Unused tokens, the earliest to expire first. */
    val tokens = ArrayDeque<Token>()
    val waiting = ArrayDeque<QuotaTicket>()
    val pending = ArrayList<PendingDemand>()

    /** Until when an owner, by what it stated, has no token. */
    val emptyUntilMs = HashMap<VmName, Long>()

    /** Until when an owner is not asked because it said that the team belongs to others. */
    val foreignUntilMs = HashMap<VmName, Long>()
    val askedMs = HashMap<VmName, Long>()

    /** Requests for tokens since the last reply of an owner, and when the first of them was sent. */
    var unanswered = 0
    var unansweredSinceMs = 0L
    var usedMs = 0L
    var shortMs = NEVER
    private var demandPerSecond = 0.0
    private var demandMs = 0L

    /** Whether a request that found no owner needs this daemon to go on asking. */
    var needsProbe = false

    fun noteDemand(nowMs: Long) {
        demandPerSecond = demand(nowMs) + MS_PER_SECOND / DEMAND_MEMORY_MS
        demandMs = nowMs
        usedMs = nowMs
    }

    /** Returns the requests per second of the last second or so. */
    fun demand(nowMs: Long): Double = demandPerSecond * exp(-(nowMs - demandMs) / DEMAND_MEMORY_MS)

    /** Adds [token] in the order of expiry. */
    fun add(token: Token) {
        val index = tokens.indexOfLast { it.expiresMs <= token.expiresMs } + 1
        tokens.add(index, token)
    }

    fun take(nowMs: Long): Token? {
        dropExpired(nowMs)
        return tokens.removeFirstOrNull()
    }

    fun dropExpired(nowMs: Long) {
        while (tokens.isNotEmpty() && tokens.first().expiresMs <= nowMs) tokens.removeFirst()
    }

    /** Gives tokens to the requests that wait. */
    fun serve(nowMs: Long) {
        while (waiting.isNotEmpty()) {
            val token = take(nowMs) ?: return
            waiting.removeFirst().decide(QuotaDecision.Granted(token))
        }
    }

    /** Tokens to keep in stock for the next [STOCK_MS], 0 where the team is short of them or rarely used. */
    fun stock(burst: Double, nowMs: Long): Int {
        if (nowMs - shortMs < SHORT_MEMORY_MS) return 0
        val expected = demand(nowMs) * STOCK_MS / MS_PER_SECOND
        return if (expected < 1) 0 else minOf(ceil(expected).toInt(), (burst / STOCK_PARTS).toInt())
    }

    /** Removes the tokens that expire soon and that the usual demand will not use; they belong to one owner, the first one's. */
    fun removeSurplus(nowMs: Long): List<Token> {
        val expiring = tokens.takeWhile { it.expiresMs - nowMs in MIN_RETURN_MS..RETURN_MS && it.owner != null }
        val kept = (demand(nowMs) * MIN_RETURN_MS * 2 / MS_PER_SECOND).toInt()
        val owner = expiring.firstOrNull()?.owner ?: return emptyList()
        val surplus = expiring.filter { it.owner == owner }.drop(kept)
        tokens.removeAll(surplus.toSet())
        return surplus
    }

    companion object {
        const val NEVER = Long.MIN_VALUE / 4

        /** A token that is not needed is given back from this time before its expiry on. */
        const val RETURN_MS = 150L
        private const val MIN_RETURN_MS = 20L
        private const val MS_PER_SECOND = 1_000.0
        private const val DEMAND_MEMORY_MS = 1_000.0
        private const val STOCK_MS = 250L

        // Many daemons may keep a stock; together they must not hold the whole burst.
        private const val STOCK_PARTS = 8.0
        private const val SHORT_MEMORY_MS = 1_000L
    }
}
