package org.endivestep.claim

import org.endivestep.concurrent.BackgroundLoop
import org.endivestep.concurrent.MpscQueue
import org.endivestep.identity.AttemptId

/** Update of a claim that is done in the background, so that it does not delay an answer. */
internal sealed interface ClaimTask {
    class Complete(val claim: HeldClaim, val answer: RecordedAnswer) : ClaimTask

    class Abandon(val claim: HeldClaim) : ClaimTask

    class Release(val claim: HeldClaim) : ClaimTask

    /** A claim whose write was not confirmed and whose request was not run. */
    class ReleaseUnconfirmed(val key: ClaimKey, val attempt: AttemptId) : ClaimTask
}

/** Executes [ClaimTask]s on a dedicated thread and retries those that the store did not confirm. */
internal class ClaimTaskExecutor(private val claims: Claims, private val onDropped: () -> Unit) {
    private class Queued(val task: ClaimTask, val tries: Int)

    private val queue = MpscQueue<Queued>(QUEUE_CAPACITY)
    private val loop = BackgroundLoop.start("claims", ::step)

    /** Queues [task]. When the queue is full, the task is dropped and counted, and its claim stays unchanged. */
    fun submit(task: ClaimTask) {
        if (!queue.offer(Queued(task, 0))) onDropped()
    }

    val backlog: Int get() = queue.size

    fun stop() = loop.stop()

    private fun step() {
        val queued = queue.poll(POLL_MS) ?: return
        if (execute(queued.task)) return
        if (queued.tries >= MAX_TRIES) {
            onDropped()
            return
        }
        Thread.sleep(RETRY_DELAY_MS)
        if (!queue.offer(Queued(queued.task, queued.tries + 1))) onDropped()
    }

    private fun execute(task: ClaimTask): Boolean =
        when (task) {
            is ClaimTask.Complete -> claims.complete(task.claim, task.answer)
            is ClaimTask.Abandon -> claims.abandon(task.claim)
            is ClaimTask.Release -> claims.release(task.claim)
            is ClaimTask.ReleaseUnconfirmed -> claims.releaseUnconfirmed(task.key, task.attempt)
        }

    private companion object {
        const val QUEUE_CAPACITY = 1_024
        const val POLL_MS = 1_000L
        const val RETRY_DELAY_MS = 50L
        const val MAX_TRIES = 2_000
    }
}
