package org.endivestep.egress

import org.endivestep.admission.Completion
import java.io.FilterInputStream
import java.io.IOException
import java.io.InputStream

/** How the body of an answer ended. */
internal enum class AnswerEnding {
    COMPLETE,
    TRUNCATED,

    /** It had not ended at the deadline of its request. */
    OVERDUE,

    /** The reader closed the body before its end, or its request was cancelled. */
    ABANDONED,
    ;

    /** Returns how the request ended at the worker; [headCompletion] is the completion that follows from the answer head. */
    fun requestEnd(headCompletion: Completion): RequestEnd =
        when {
            this == TRUNCATED -> RequestEnd.CONNECTION_LOST
            this == COMPLETE && headCompletion is Completion.Answered -> RequestEnd.ANSWERED
            else -> RequestEnd.OTHER
        }

    /** Returns the completion to report to the admission limit; [headCompletion] is the one that follows from the answer head. */
    fun completion(headCompletion: Completion): Completion =
        when (this) {
            COMPLETE -> headCompletion
            TRUNCATED, OVERDUE -> Completion.Failed
            ABANDONED -> Completion.Cancelled
        }
}

/** Body of a worker's answer that calls [onEnd] once, when it ends; [failureEnding] tells what a failure to read it means. */
internal class AnswerBody(
    stream: InputStream,
    private val abort: () -> Unit,
    private val failureEnding: () -> AnswerEnding,
    private val onEnd: (AnswerEnding) -> Unit,
) : FilterInputStream(stream) {
    private var ended = false

    override fun read(): Int = tracked { super.read() }

    override fun read(target: ByteArray, start: Int, count: Int): Int = tracked { super.read(target, start, count) }

    override fun close() {
        if (!ended) {
            abort()
            end(AnswerEnding.ABANDONED)
        }
        super.close()
    }

    private fun tracked(read: () -> Int): Int =
        try {
            read().also { if (it < 0) end(AnswerEnding.COMPLETE) }
        } catch (e: IOException) {
            end(failureEnding())
            throw e
        }

    private fun end(ending: AnswerEnding) {
        if (ended) return
        ended = true
        onEnd(ending)
    }
}
