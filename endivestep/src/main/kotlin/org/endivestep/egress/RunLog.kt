package org.endivestep.egress

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.metrics.LogEntry
import org.endivestep.metrics.RateLimitedLog

private val logger = KotlinLogging.logger {}

/**
 * Writes a line for each request that was to run on the worker, also when its caller has left: with the line of the daemon that took
 * the request it tells where its time went. Requests that ended other than with an answer in time have a rate limit of their own, so that
 * the others cannot displace them. Times in the lines are in ms since the attempt arrived here.
 */
internal class RunLog(clockMs: () -> Long) {
    private val successes = RateLimitedLog(logger, SUCCESS_LINES_PER_SECOND, clockMs)
    private val problems = RateLimitedLog(logger, PROBLEM_LINES_PER_SECOND, clockMs)

    /** Writes the line of [run], which ended on [worker] with [result], null when a failure ended it. */
    fun write(run: EgressRun, worker: LocalWorker, result: WorkerResult?) {
        val message =
            when (result) {
                is WorkerResult.Answered -> "the worker answered"
                is WorkerResult.Failed, is WorkerResult.NotSent -> "the worker gave no answer"
                WorkerResult.Expired -> "the request was not sent, its time has passed"
                WorkerResult.Cancelled, null -> "the request was cancelled"
            }
        val isSuccess = result is WorkerResult.Answered && !run.request.cancellation.isCancelled
        (if (isSuccess) successes else problems).write { LogEntry(message, fields(run, worker, result)) }
    }

    private fun fields(run: EgressRun, worker: LocalWorker, result: WorkerResult?): Map<String, Any> =
        buildMap {
            val request = run.request
            val arrivedMs = request.times.arrivedMs
            put("request", request.requestId.text)
            put("attempt", request.attemptId.text)
            put("worker", worker.announcement.incarnation.text)
            cause(result)?.let { put("cause", it) }
            put("crossingMs", request.times.crossingMs ?: "unknown")
            request.times.admittedMs?.let { put("admittedMs", it - arrivedMs) }
            request.times.writtenMs?.let {
                put("writtenMs", it - arrivedMs)
                put("remainingMs", request.deadline.remainingMs(it))
            }
            request.cancellation.cancelledMs?.let { put("leftMs", it - arrivedMs) }
            put("elapsedMs", run.elapsedMs().toLong())
        }

    private fun cause(result: WorkerResult?): String? =
        when (result) {
            is WorkerResult.Failed -> result.cause
            is WorkerResult.NotSent -> result.cause
            else -> null
        }

    private companion object {
        const val SUCCESS_LINES_PER_SECOND = 20
        const val PROBLEM_LINES_PER_SECOND = 50
    }
}
