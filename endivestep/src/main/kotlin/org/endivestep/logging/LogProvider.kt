package org.endivestep.logging

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.util.LogbackMDCAdapter
import org.slf4j.ILoggerFactory
import org.slf4j.IMarkerFactory
import org.slf4j.helpers.BasicMarkerFactory
import org.slf4j.spi.MDCAdapter
import org.slf4j.spi.SLF4JServiceProvider

/**
 * Provides SLF4J with a preconfigured Logback context.
 *
 * Logback's own provider first searches for a configuration and reports its status, which takes a sixth
 * of the startup time of a daemon. SLF4J instantiates this class by its name.
 */
class LogProvider : SLF4JServiceProvider {
    private val context = LoggerContext()
    private val markers = BasicMarkerFactory()
    private val diagnosticContext = LogbackMDCAdapter()

    override fun getLoggerFactory(): ILoggerFactory = context

    override fun getMarkerFactory(): IMarkerFactory = markers

    override fun getMDCAdapter(): MDCAdapter = diagnosticContext

    override fun getRequestedApiVersion(): String = API_VERSION

    override fun initialize() {
        context.name = "endivestep"
        context.mdcAdapter = diagnosticContext
        LogConfiguration().configure(context)
        context.start()
    }

    internal companion object {
        private const val API_VERSION = "2.0.99"
        private const val PROVIDER_PROPERTY = "slf4j.provider"
        private const val VERBOSITY_PROPERTY = "slf4j.internal.verbosity"

        /** Makes SLF4J use this class. Must be called before the first logger is created. */
        fun install() {
            System.setProperty(PROVIDER_PROPERTY, LogProvider::class.java.name)
            System.setProperty(VERBOSITY_PROPERTY, "WARN")
        }
    }
}
