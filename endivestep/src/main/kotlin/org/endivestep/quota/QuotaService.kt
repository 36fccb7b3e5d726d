package org.endivestep.quota

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.concurrent.BackgroundLoop
import org.endivestep.concurrent.MpscQueue
import org.endivestep.document.Document
import org.endivestep.document.TeamQuota
import org.endivestep.exchange.Deadline
import org.endivestep.exchange.monotonicMs
import org.endivestep.identity.TeamName
import org.endivestep.identity.VmName
import org.endivestep.membership.MemberInfo
import org.endivestep.membership.MemberState
import org.endivestep.protocol.QuotaCodec
import org.endivestep.protocol.QuotaDatagram
import org.endivestep.settings.Address
import java.io.IOException
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.SocketAddress
import java.net.SocketException
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import java.util.random.RandomGenerator

private val logger = KotlinLogging.logger {}

/**
 * Enforces the quotas of teams over all daemons: asks other daemons for tokens by datagram, and grants them tokens of the teams that this
 * daemon owns. Idle, without a socket, until the configuration limits a team.
 */
internal class QuotaService(
    private val inner: Address,
    private val codec: QuotaCodec,
    private val self: () -> MemberInfo,
    private val members: () -> List<MemberInfo>,
    private val document: () -> Document?,
    private val tolerance: QuotaTolerance,
    private val metrics: QuotaMetrics,
    private val clock: QuotaClock = QuotaClock(::monotonicMs, System::currentTimeMillis),
) {
    private val tokens =
        QuotaTokens(
            tolerance,
            RandomGenerator.of("L64X128MixRandom"),
            { self().incarnation },
            System.currentTimeMillis() * SEQUENCES_PER_MS,
        )
    private val owner = QuotaOwner(self().vm, tolerance)
    private val wake = MpscQueue<Unit>(1)
    private val loops = mutableListOf<BackgroundLoop>()
    private var socket: DatagramSocket? = null
    private var view = QuotaView.initial(self().vm)
    private var seenMembers: List<MemberInfo>? = null
    private var seenDocument: Document? = null
    private var addresses: Map<VmName, SocketAddress> = emptyMap()
    private var loggedState: GrantState? = null
    private var loggedOwned = 0
    private var loggedFallbacks = 0

    @Volatile
    private var stopped = false

    /** Datagrams that were malformed, not signed with the shared secret, or could not be sent. */
    val dropped = AtomicLong()

    val ownedCount: Int get() = synchronized(owner) { owner.ownedCount }
    val heardCount: Int get() = synchronized(owner) { owner.heardCount }
    val fallbackCount: Int get() = synchronized(tokens) { tokens.fallbackCount }
    val expiredTokens: Long get() = synchronized(tokens) { tokens.expiredTokens }

    /** Starts the exchange of tokens when the configuration limits a team, or [always]. */
    @Synchronized
    fun startIfNeeded(always: Boolean = false) {
        val isNeeded = always || quotas(document()).isNotEmpty()
        if (stopped || loops.isNotEmpty() || !isNeeded) return
        socket =
            try {
                DatagramSocket(inner.port + PORT_OFFSET, InetAddress.getByName(inner.host))
            } catch (e: IOException) {
                logger.error(e) { "cannot receive quota datagrams at port ${inner.port + PORT_OFFSET}; only fallback allowances are used" }
                null
            }
        if (!tolerance.coversTokens) logger.warn { "the bounds of quotas leave no room for tokens of $TOKEN_VALIDITY_MS ms: $tolerance" }
        loops += BackgroundLoop.start("quota-send", ::sendStep)
        socket?.let { bound -> loops += BackgroundLoop.start("quota-receive") { receiveStep(bound) } }
    }

    @Synchronized
    fun stop() {
        stopped = true
        loops.forEach { it.stop() }
        socket?.close()
    }

    /** Decides whether a request of [team] may run, see [QuotaGate]. */
    fun admit(team: TeamName, deadline: Deadline): QuotaAdmission {
        val quota = document()?.teams?.find(team)?.quota
        if (quota == null || quota.ratePerSecond <= 0) return QuotaAdmission.unlimited
        val decided = CountDownLatch(1)
        val ticket = synchronized(tokens) { tokens.acquire(team, clock.nowMs()) { decided.countDown() } }
        if (ticket.decision == null) awaitDecision(ticket, decided, deadline)
        return admission(team, current(ticket.decision))
    }

    // A thread that was stopped after its request was granted a token must not use the token later.
    private fun current(decision: QuotaDecision?): QuotaDecision {
        val isExpired = decision is QuotaDecision.Granted && decision.token.expiresMs <= clock.nowMs()
        return if (decision == null || isExpired) QuotaDecision.Refused(QuotaRefusal.NO_OWNER, QuotaTokens.MAX_WAIT_MS) else decision
    }

    private fun awaitDecision(ticket: QuotaTicket, decided: CountDownLatch, deadline: Deadline) {
        wake.offer(Unit)
        val waitMs = minOf(QuotaTokens.MAX_WAIT_MS + DECISION_MARGIN_MS, deadline.remainingMs(monotonicMs()))
        try {
            decided.await(waitMs, TimeUnit.MILLISECONDS)
        } catch (e: InterruptedException) {
            synchronized(tokens) { tokens.cancel(ticket, clock.nowMs()) }
            throw e
        }
        if (ticket.decision == null) synchronized(tokens) { tokens.withdraw(ticket) }
    }

    private fun admission(team: TeamName, decision: QuotaDecision): QuotaAdmission =
        when (decision) {
            is QuotaDecision.Granted -> {
                metrics.count(team, if (decision.token.owner == null) QuotaResult.FALLBACK else QuotaResult.GRANTED)
                QuotaAdmission.Granted { giveBack(team, decision.token) }
            }
            is QuotaDecision.Refused -> {
                val isLimit = decision.reason == QuotaRefusal.LIMIT
                metrics.count(team, if (isLimit) QuotaResult.REFUSED_LIMIT else QuotaResult.REFUSED_NO_OWNER)
                QuotaAdmission.Refused(decision.availableMs + synchronized(tokens) { tokens.retrySpreadMs(team) })
            }
        }

    private fun giveBack(team: TeamName, token: Token) {
        metrics.count(team, QuotaResult.GIVEN_BACK)
        synchronized(tokens) { tokens.giveBack(team, token, clock.nowMs()) }
    }

    private fun sendStep() {
        val tickMs = if (view.quotas.isEmpty()) IDLE_TICK_MS else TICK_MS
        val waitMs = minOf(tickMs, synchronized(tokens) { tokens.msUntilAction(clock.nowMs()) })
        wake.poll(waitMs)
        refresh()
        val nowMs = clock.nowMs()
        synchronized(owner) { owner.update(view, nowMs) }
        synchronized(tokens) { tokens.requests(nowMs) }.forEach(::dispatch)
        logChanges()
    }

    private fun refresh() {
        val currentMembers = members()
        val currentDocument = document()
        if (currentMembers === seenMembers && currentDocument === seenDocument) return
        seenMembers = currentMembers
        seenDocument = currentDocument
        val known = currentMembers.filter { it.state != MemberState.LEFT }
        val live = known.filter { it.state != MemberState.DEAD }
        addresses = live.associate { it.vm to InetSocketAddress(it.inner.host, it.inner.port + PORT_OFFSET) }
        val knownVms = known.mapTo(HashSet()) { it.vm }
        val liveVms = live.mapTo(HashSet()) { it.vm }
        val quotas = quotas(currentDocument)
        val isConfigured = currentDocument != null
        // Most changes of members concern only their workers.
        val haveSameMembers = knownVms == view.known && liveVms == view.live
        if (haveSameMembers && quotas == view.quotas && isConfigured == view.isConfigured) return
        view = QuotaView(self().vm, knownVms, liveVms, quotas, isConfigured)
        synchronized(tokens) { tokens.update(view, clock.nowMs()) }
    }

    private fun quotas(document: Document?): Map<TeamName, TeamQuota> =
        buildMap {
            document?.teams?.teams?.forEach { team -> team.quota?.takeIf { it.ratePerSecond > 0 }?.let { put(team.name, it) } }
        }

    private fun dispatch(outgoing: OutgoingRequest) {
        if (outgoing.owner != self().vm) {
            addresses[outgoing.owner]?.let { send(codec.encode(outgoing.request), it) }
            return
        }
        val nowMs = clock.nowMs()
        val reply = synchronized(owner) { owner.handle(outgoing.request, nowMs) } ?: return
        receive(reply, nowMs)
    }

    private fun receive(reply: TokenReply, nowMs: Long) {
        synchronized(tokens) { tokens.receive(reply, nowMs) }
        // Requests that got no token may need to ask the other owner.
        wake.offer(Unit)
    }

    private fun send(bytes: ByteArray, to: SocketAddress) {
        try {
            socket?.send(DatagramPacket(bytes, bytes.size, to))
        } catch (e: IOException) {
            dropped.incrementAndGet()
            logger.debug { "failed to send a quota datagram to $to: $e" }
        }
    }

    private fun receiveStep(bound: DatagramSocket) {
        val packet = DatagramPacket(ByteArray(MAX_BYTES), MAX_BYTES)
        try {
            bound.receive(packet)
        } catch (e: SocketException) {
            if (!bound.isClosed) throw e
            Thread.sleep(TICK_MS)
            return
        }
        val nowMs = clock.nowMs()
        when (val datagram = codec.decode(packet.data.copyOf(packet.length))) {
            is QuotaDatagram.Request -> answer(datagram.request, packet.socketAddress, nowMs)
            is QuotaDatagram.Reply -> receive(datagram.reply, nowMs)
            null -> dropped.incrementAndGet()
        }
    }

    private fun answer(request: TokenRequest, source: SocketAddress, nowMs: Long) {
        val reply = synchronized(owner) { owner.handle(request, nowMs) } ?: return
        send(codec.encode(reply), source)
    }

    private fun logChanges() {
        val state = synchronized(owner) { owner.state }
        if (view.quotas.isNotEmpty() && state != loggedState) {
            loggedState = state
            logger.info { "grants of quotas: ${state.text}; heard from $heardCount of ${view.known.size} daemons" }
        }
        if (view.owned.size != loggedOwned) {
            logger.info { "owner of the quotas of ${view.owned.size} teams, before $loggedOwned; ${view.live.size} daemons are live" }
            loggedOwned = view.owned.size
        }
        val fallbacks = fallbackCount
        if ((fallbacks == 0) != (loggedFallbacks == 0)) {
            val change = if (fallbacks == 0) "ended for all teams" else "began for $fallbacks teams: no owner of their quotas replies"
            logger.info { "use of fallback allowances $change" }
        }
        loggedFallbacks = fallbacks
    }

    companion object {
        /** Offset from a daemon's exchange port to its port for quota datagrams. */
        const val PORT_OFFSET = 3
        private const val SEQUENCES_PER_MS = 1_000L
        private const val TICK_MS = 100L

        // Below QuotaOwner.MAX_GAP_MS, so that it is not taken for a pause.
        private const val IDLE_TICK_MS = 500L

        // The send loop decides a request that has waited too long; this covers a delay of that loop.
        private const val DECISION_MARGIN_MS = 50L
        private const val MAX_BYTES = 16_384
    }
}
