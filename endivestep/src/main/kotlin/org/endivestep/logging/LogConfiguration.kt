package org.endivestep.logging

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.JsonEncoder
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.spi.ContextAwareBase

/**
 * Writes log lines as JSON objects to standard output, through a bounded queue that never blocks.
 *
 * Logback finds it as a service. An XML file would say the same, but reading one takes a sixth of a
 * daemon's start.
 */
internal class LogConfiguration :
    ContextAwareBase(),
    Configurator {
    override fun configure(context: LoggerContext): Configurator.ExecutionStatus {
        val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
        root.level = Level.WARN
        root.addAppender(bounded(context, standardOutput(context)))
        context.getLogger("org.endivestep").level = Level.INFO
        return Configurator.ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    private fun standardOutput(context: LoggerContext): ConsoleAppender<ILoggingEvent> {
        val json = JsonEncoder()
        json.context = context
        json.setWithSequenceNumber(false)
        json.setWithContext(false)
        json.setWithNanoseconds(false)
        json.setWithFormattedMessage(true)
        json.setWithMessage(false)
        json.setWithArguments(false)
        json.start()
        val appender = ConsoleAppender<ILoggingEvent>()
        appender.context = context
        appender.name = "stdout"
        appender.encoder = json
        appender.start()
        return appender
    }

    // A reader of the log that is slow or gone must not hold up requests.
    private fun bounded(context: LoggerContext, target: ConsoleAppender<ILoggingEvent>): AsyncAppender {
        val appender = AsyncAppender()
        appender.context = context
        appender.name = "bounded"
        appender.queueSize = QUEUE_LINES
        appender.discardingThreshold = 0
        appender.isNeverBlock = true
        appender.addAppender(target)
        appender.start()
        return appender
    }

    private companion object {
        const val QUEUE_LINES = 512
    }
}
