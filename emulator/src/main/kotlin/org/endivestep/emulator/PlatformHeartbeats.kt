package org.endivestep.emulator

import java.io.Closeable
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

/** Sends the heartbeats of an emulated worker to the daemon on its VM until the process ends, or until closed. */
internal class PlatformHeartbeats(private val daemon: String, private val worker: PlatformWorkerBehaviour, private val service: String) :
    Closeable {
    private val client: HttpClient = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    private val bornMs = System.currentTimeMillis()
    private var sequence = 0

    @Volatile
    private var closed = false

    fun start(address: String) {
        val thread =
            Thread {
                while (!closed) {
                    send("PUT", heartbeat(address))
                    Thread.sleep(HEARTBEAT_INTERVAL_MS)
                }
            }
        thread.isDaemon = true
        thread.start()
    }

    fun leave() = send("DELETE", "{}")

    override fun close() {
        closed = true
    }

    private fun heartbeat(address: String): String =
        """{"service":"$service","address":"$address","zone":"","version":"v1","capacity":${worker.slots},"state":"ready",""" +
            """"cold_left_s":0,"sequence":${++sequence},"born":$bornMs}"""

    private fun send(method: String, body: String) {
        val request =
            HttpRequest
                .newBuilder(URI("$daemon/-/instances/${worker.id}"))
                .timeout(Duration.ofSeconds(1))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
        try {
            client.send(request.build(), HttpResponse.BodyHandlers.discarding())
        } catch (e: IOException) {
            println("heartbeat not acknowledged: $e")
        }
    }

    private companion object {
        const val HEARTBEAT_INTERVAL_MS = 300L
    }
}
