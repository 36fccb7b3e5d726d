package org.endivestep.logging

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.JsonEncoder
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.core.spi.ContextAwareBase
import java.io.FileDescriptor
import java.io.FileOutputStream

/**
 * Configures Logback to write log lines as JSON objects to standard output, through a bounded queue
 * that never blocks the logging thread.
 *
 * Logback loads it as a service if [LogProvider] is not installed.
 */
internal class LogConfiguration :
    ContextAwareBase(),
    Configurator {
    override fun configure(context: LoggerContext): Configurator.ExecutionStatus {
        val appender = LineAppender(jsonEncoder(context), FileOutputStream(FileDescriptor.out).buffered())
        appender.context = context
        appender.start()
        val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
        root.level = Level.WARN
        root.addAppender(appender)
        context.getLogger("org.endivestep").level = Level.INFO
        return Configurator.ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    private fun jsonEncoder(context: LoggerContext): JsonEncoder {
        val encoder = JsonEncoder()
        encoder.context = context
        encoder.setWithSequenceNumber(false)
        encoder.setWithContext(false)
        encoder.setWithNanoseconds(false)
        encoder.setWithFormattedMessage(true)
        encoder.setWithMessage(false)
        encoder.setWithArguments(false)
        encoder.start()
        return encoder
    }
}
