package org.endivestep.console

import com.google.protobuf.InvalidProtocolBufferException
import org.endivestep.concurrent.BackgroundLoop
import org.endivestep.concurrent.MpscQueue
import org.endivestep.identity.VmName
import org.endivestep.protocol.v1.SignInRefusal
import org.endivestep.protocol.v1.SignInRefusalList
import org.endivestep.store.ObjectKey
import org.endivestep.store.ObjectStore
import org.endivestep.store.ReadResult
import org.endivestep.store.WriteResult

internal const val SIGN_IN_PREFIX = "audit-sign-in/"

/**
 * Records the last refused sign-ins of this daemon in one object of the store.
 *
 * The object is written at most once every [WRITE_INTERVAL_MS], so that password guessing cannot overload the store.
 */
internal class SignInRefusals(private val store: ObjectStore, vm: VmName, private val clockMs: () -> Long) {
    private val key = ObjectKey(SIGN_IN_PREFIX + vm.text)
    private val queue = MpscQueue<SignInRefusal>(QUEUE_CAPACITY)
    private var unsaved = emptyList<SignInRefusal>()
    private val writer = BackgroundLoop.start("sign-in-audit", ::writePending)

    fun record(name: String, source: String) {
        queue.offer(SignInRefusal.newBuilder().setName(name).setSource(source).setTimeMs(clockMs()).build())
    }

    fun stop() = writer.stop()

    private fun writePending() {
        val first = queue.poll(WRITE_INTERVAL_MS)
        unsaved = (unsaved + listOfNotNull(first) + generateSequence { queue.poll(0) }.take(MAX_ENTRIES)).takeLast(MAX_ENTRIES)
        if (unsaved.isEmpty()) return
        if (save(unsaved)) unsaved = emptyList()
        Thread.sleep(WRITE_INTERVAL_MS)
    }

    private fun save(entries: List<SignInRefusal>): Boolean {
        val result =
            when (val found = store.get(key)) {
                is ReadResult.Found -> {
                    val before = parseRefusals(found.stored.bytes)
                    store.replaceIfVersion(key, found.stored.version, encode((before + entries).takeLast(MAX_ENTRIES)))
                }
                ReadResult.Absent -> store.createIfAbsent(key, encode(entries))
                is ReadResult.Unavailable -> return false
            }
        return result is WriteResult.Written
    }

    private fun encode(entries: List<SignInRefusal>): ByteArray =
        SignInRefusalList.newBuilder().addAllRefusals(entries).build().toByteArray()

    private companion object {
        const val QUEUE_CAPACITY = 256
        const val MAX_ENTRIES = 200
        const val WRITE_INTERVAL_MS = 2_000L
    }
}

/** Parses a list of refusals; returns an empty list when [bytes] are malformed. */
internal fun parseRefusals(bytes: ByteArray): List<SignInRefusal> =
    try {
        SignInRefusalList.parseFrom(bytes).refusalsList
    } catch (_: InvalidProtocolBufferException) {
        emptyList()
    }
