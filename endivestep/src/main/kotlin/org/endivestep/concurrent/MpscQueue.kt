package org.endivestep.concurrent

import org.jctools.queues.MpscBlockingConsumerArrayQueue
import java.util.concurrent.TimeUnit

/**
 * Bounded multi-producer, single-consumer queue.
 *
 * [offer] never blocks: it returns false when the queue is full, and the caller counts the dropped item.
 */
internal class MpscQueue<T : Any>(capacity: Int) {
    private val queue = MpscBlockingConsumerArrayQueue<T>(capacity)

    fun offer(item: T): Boolean = queue.offer(item)

    /** Removes the next item, waiting for at most [timeoutMs]; returns null when no item arrived. */
    fun poll(timeoutMs: Long): T? = queue.poll(timeoutMs, TimeUnit.MILLISECONDS)

    val size: Int get() = queue.size
}
