package org.endivestep.emulator

import java.io.IOException
import java.net.HttpURLConnection
import java.net.URI

/** Announces a worker periodically to the daemon on its VM. */
internal class Announcer(private val admin: String, private val service: String, private val port: Int, private val incarnation: String) {
    @Volatile
    private var state = "serving"

    fun start() {
        val thread = Thread(::announceRepeatedly, "announcer")
        thread.isDaemon = true
        thread.start()
    }

    /** Announces that the worker is leaving and waits until its daemon reports no more requests in flight. */
    fun leave() {
        state = "leaving"
        repeat(MAX_LEAVE_POLLS) {
            if (announce() == "0") return
            Thread.sleep(LEAVE_POLL_INTERVAL_MS)
        }
    }

    private fun announceRepeatedly() {
        while (state == "serving") {
            announce()
            Thread.sleep(ANNOUNCEMENT_INTERVAL_MS)
        }
    }

    private fun announce(): String? {
        val query = "service=$service&port=$port&incarnation=$incarnation&state=$state"
        return try {
            val connection = URI("$admin/worker?$query").toURL().openConnection() as HttpURLConnection
            connection.requestMethod = "POST"
            connection.connectTimeout = TIMEOUT_MS
            connection.readTimeout = TIMEOUT_MS
            connection.inputStream.use { it.readBytes().decodeToString().trim() }
        } catch (_: IOException) {
            null
        }
    }

    private companion object {
        const val ANNOUNCEMENT_INTERVAL_MS = 500L
        const val TIMEOUT_MS = 1_000
        const val MAX_LEAVE_POLLS = 600
        const val LEAVE_POLL_INTERVAL_MS = 100L
    }
}
