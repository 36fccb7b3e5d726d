package org.endivestep.configuration

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.concurrent.BackgroundLoop
import org.endivestep.protocol.v1.ConfigurationRecord

private val logger = KotlinLogging.logger {}

/**
 * Writes overrides to the store as soon as it answers. The daemons that are assigned the configuration
 * watch of their data centre do this for the fleet, so that an override outlives the daemon that
 * received it; the change id makes their writes idempotent.
 */
internal class OverrideWriter(
    private val overrides: Overrides,
    private val submission: ConfigurationSubmission,
    private val isWatchAssigned: () -> Boolean,
    private val onAccepted: (ConfigurationRecord) -> Unit,
) {
    private var loop: BackgroundLoop? = null

    fun start() {
        loop = BackgroundLoop.start("override-writer", ::step)
    }

    fun stop() {
        loop?.stop()
    }

    private fun step() {
        Thread.sleep(PERIOD_MS)
        if (isWatchAssigned()) writeNext()
    }

    /** Tries once to write the earliest override. */
    fun writeNext() {
        val change = overrides.nextChange() ?: return
        when (val result = submission.submit(change)) {
            is SubmissionResult.Accepted -> {
                logger.info { "override ${change.changeId} was written to the store as version ${result.record.version}" }
                onAccepted(result.record)
            }
            // A newer configuration was accepted first; the override is written on top of it in the next step.
            is SubmissionResult.LostRace -> onAccepted(result.current)
            is SubmissionResult.Refused -> logger.error { "override ${change.changeId} not written, invalid document: ${result.findings}" }
            is SubmissionResult.Pending -> Unit
        }
    }

    private companion object {
        const val PERIOD_MS = 1_000L
    }
}
