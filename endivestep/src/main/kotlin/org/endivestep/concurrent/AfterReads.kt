package org.endivestep.concurrent

import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/**
 * Runs [task] on this loop when it has read what had come on its connections before this call. A task that is only executed may run
 * between two others, without a read in between; those that are scheduled from the loop run after its next reads.
 */
internal fun EventLoop.executeAfterReads(task: () -> Unit) = execute { schedule(task, 0, TimeUnit.MILLISECONDS) }
