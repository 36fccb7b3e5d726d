package org.endivestep.commands

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.endivestep.console.VERSION_HEADER
import org.endivestep.document.DataCentreState
import org.endivestep.document.difference
import org.endivestep.document.readDocument
import org.endivestep.document.withDataCentreState
import org.endivestep.findings.Checked
import org.endivestep.identity.randomId
import org.http4k.core.Response
import org.http4k.core.Status
import java.io.File
import java.io.IOException
import java.time.Instant

private const val STATE_CHANGE_ATTEMPTS = 5
private const val MAX_PENDING_POLLS = 6
private const val PENDING_POLL_INTERVAL_MS = 1_000L

/** Submits the document in [path], or queries the outcome of the earlier submission [change] of the same document. */
internal fun applyDocument(client: AdminClient, path: String, base: Long?, change: String?, json: Boolean): ExitCode {
    val text = readOrReport(path) ?: return ExitCode.INVALID
    val checked = readDocument(path, text)
    if (checked is Checked.Invalid) return reportFindings(checked.findings, json)
    if (change != null && base == null) return fail(ExitCode.INVALID, "--change needs --base")
    val from = base ?: currentVersion(client) ?: return fail(ExitCode.UNREACHABLE, "the daemon did not report the version in force")
    return submit(client, text, from, change, json)
}

/** Prints the document in force. */
internal fun printConfiguration(client: AdminClient, json: Boolean): ExitCode =
    withResponse(client.get("/api/configuration")) { response ->
        if (response.status != Status.OK) return@withResponse fail(ExitCode.FAILURE, response.bodyString())
        if (json) {
            println(documentJson(response.header(VERSION_HEADER).orEmpty(), response.bodyString()))
        } else {
            print(response.bodyString())
        }
        ExitCode.SUCCESS
    }

/** Prints how the document in [path] differs from the one in force. */
internal fun printDifference(client: AdminClient, path: String): ExitCode {
    val text = readOrReport(path) ?: return ExitCode.INVALID
    return withResponse(client.get("/api/configuration")) { response ->
        val before = if (response.status == Status.OK) response.bodyString() else ""
        println(difference(before, text).ifEmpty { "no difference" })
        ExitCode.SUCCESS
    }
}

internal fun printStatus(client: AdminClient, json: Boolean): ExitCode =
    withResponse(client.get("/api/status")) { response -> printResponse(response, json, ::renderStatus) }

internal fun printAudit(client: AdminClient, last: Int, json: Boolean): ExitCode =
    withResponse(client.get("/api/audit?last=$last")) { response -> printResponse(response, json, ::renderAudit) }

/**
 * Sets the state of a data centre. When another change was accepted first, retries on the newer document. While the store does not
 * confirm the change, submits it as an override, which takes effect before it is written.
 */
internal fun changeDataCentreState(client: AdminClient, dataCentre: String, state: DataCentreState, json: Boolean): ExitCode {
    val change = randomId()
    if (isOverridden(client, dataCentre)) return submitOverride(client, dataCentre, state, change, json)
    repeat(STATE_CHANGE_ATTEMPTS) {
        val response =
            when (val answer = client.get("/api/configuration")) {
                is AdminResult.Failed -> return fail(answer.code, answer.message)
                is AdminResult.Received -> answer.response
            }
        val before = response.bodyString()
        val document = (readDocument("document", before) as? Checked.Valid)?.value
        if (document?.dataCentres?.keys?.none { it.text == dataCentre } != false) {
            return fail(ExitCode.INVALID, "there is no data centre \"$dataCentre\" in the document")
        }
        val version = response.header(VERSION_HEADER)?.toLongOrNull() ?: return fail(ExitCode.FAILURE, "the answer has no version")
        val submission = Submission(withDataCentreState(before, dataCentre, state), version, change)
        val answer = client.post("/api/configuration" + submission.query, submission.text)
        if (answer is AdminResult.Received && answer.response.status == Status.ACCEPTED) {
            return submitOverride(client, dataCentre, state, change, json)
        }
        val code = withResponse(answer) { reportSubmission(it, submission, json) }
        if (code != ExitCode.LOST_RACE) return code
    }
    return ExitCode.LOST_RACE
}

// An override is in force until its change is written, so only a later override can replace it.
private fun isOverridden(client: AdminClient, dataCentre: String): Boolean {
    val answer = client.get("/api/overrides") as? AdminResult.Received ?: return false
    if (answer.response.status != Status.OK) return false
    val entries = Json.parseToJsonElement(answer.response.bodyString()).jsonObject["overrides"] as? JsonArray
    return entries.orEmpty().any { it.jsonObject.text("dataCentre") == dataCentre }
}

private fun submitOverride(client: AdminClient, dataCentre: String, state: DataCentreState, change: String, json: Boolean): ExitCode =
    withResponse(client.post("/api/overrides?data-centre=$dataCentre&state=${state.text}&change=$change", "")) { response ->
        if (response.status != Status.ACCEPTED) return@withResponse fail(ExitCode.FAILURE, response.bodyString())
        println(if (json) response.bodyString() else renderOverride(Json.parseToJsonElement(response.bodyString()).jsonObject))
        ExitCode.PENDING
    }

private fun renderOverride(result: JsonObject): String =
    "the store has not confirmed the change yet; ${result.text("dataCentre")} is ${result.text("state")} by an override " +
        "in force in ${result.text("inForce")} of ${result.text("dataCentres")} data centres, which is written when the store answers"

/** A document based on version [base], submitted with the change id [change]. */
private class Submission(val text: String, val base: Long, val change: String) {
    val query: String get() = "?base=$base&change=$change"
}

// A pending change keeps its id, so polling for its outcome cannot submit it a second time.
private fun submit(client: AdminClient, text: String, base: Long, earlierChange: String?, json: Boolean): ExitCode {
    val submission = Submission(text, base, earlierChange ?: randomId())
    var answer = client.post((if (earlierChange == null) "/api/configuration" else "/api/changes") + submission.query, text)
    var polls = 0
    while (answer is AdminResult.Received && answer.response.status == Status.ACCEPTED && polls < MAX_PENDING_POLLS) {
        polls++
        Thread.sleep(PENDING_POLL_INTERVAL_MS)
        answer = client.post("/api/changes" + submission.query, text)
    }
    return withResponse(answer) { reportSubmission(it, submission, json) }
}

private fun reportSubmission(response: Response, submission: Submission, json: Boolean): ExitCode {
    val body = response.bodyString()
    if (json) println(body)
    val parsed = if (json) null else runCatching { Json.parseToJsonElement(body).jsonObject }.getOrNull()
    parsed?.let { println(renderSubmission(it, submission)) }
    return when (response.status) {
        Status.OK -> ExitCode.SUCCESS
        Status.UNPROCESSABLE_ENTITY -> ExitCode.INVALID
        Status.CONFLICT -> ExitCode.LOST_RACE
        Status.ACCEPTED -> ExitCode.PENDING
        else -> fail(ExitCode.FAILURE, body)
    }
}

private fun renderSubmission(result: JsonObject, submission: Submission): String =
    when (result.text("result")) {
        "accepted" ->
            "accepted as version ${result.text("version")}, in force in ${result.text("inForce")} of " +
                "${result.text("dataCentres")} data centres"
        "refused" -> "refused:\n" + (result["findings"] as? JsonArray).orEmpty().joinToString("\n") { it.jsonPrimitive.content }
        "lost-race" ->
            "not accepted: version ${result.text("version")} by ${result.text("operator")} was accepted first; " +
                "your document differs from it by:\n${result.text("difference")}"
        else ->
            "outcome not known yet (${result.text("cause")}); query it with --base ${submission.base} --change ${submission.change}"
    }

private fun renderStatus(status: JsonObject): String {
    val daemons =
        status.rows("daemons") {
            "${it.text("vm")} ${it.text("dataCentre")} ${it.text("state")} " +
                "${it.text("service")} serving=${it.text("serving")} version=${it.text("version")}"
        }
    val outcomes =
        status.rows("outcomes") {
            "${it.text("service")}/${it.text("kind")} ${it.text("dataCentre")} " +
                "${it.text("outcome")} ${it.text("count")}"
        }
    val overrides = status.rows("overrides") {
        "override: ${it.text("dataCentre")} ${it.text("state")} by ${it.text("operator")}, not confirmed"
    }
    val parts = listOf("configuration version ${status.text("version")}", overrides, daemons, outcomes)
    return parts.filter { it.isNotEmpty() }.joinToString("\n")
}

private fun renderAudit(audit: JsonObject): String {
    val changes =
        audit.rows("changes") {
            "${timestamp(it)} ${it.text("operator")} ${it.text("from")} -> ${it.text("to")}\n${it.text("difference").prependIndent("  ")}"
        }
    val refusals = audit.rows("refusals") { "${timestamp(it)} refused sign-in of ${it.text("name")} from ${it.text("source")}" }
    return listOf(changes, refusals).filter { it.isNotEmpty() }.joinToString("\n")
}

private fun timestamp(entry: JsonObject): Instant = Instant.ofEpochMilli(entry.text("timeMs").toLongOrNull() ?: 0)

private fun JsonObject.rows(key: String, render: (JsonObject) -> String): String =
    (this[key] as? JsonArray).orEmpty().joinToString("\n") { render(it.jsonObject) }

private fun JsonObject.text(key: String): String = this[key]?.jsonPrimitive?.contentOrNull.orEmpty()

private fun printResponse(response: Response, json: Boolean, render: (JsonObject) -> String): ExitCode {
    if (response.status != Status.OK) return fail(ExitCode.FAILURE, response.bodyString())
    val body = response.bodyString()
    println(if (json) body else render(Json.parseToJsonElement(body).jsonObject))
    return ExitCode.SUCCESS
}

private fun currentVersion(client: AdminClient): Long? {
    val answer = client.get("/api/configuration") as? AdminResult.Received ?: return null
    if (answer.response.status == Status.NOT_FOUND) return 0
    return answer.response.header(VERSION_HEADER)?.toLongOrNull()
}

private fun withResponse(answer: AdminResult, handle: (Response) -> ExitCode): ExitCode =
    when (answer) {
        is AdminResult.Failed -> fail(answer.code, answer.message)
        is AdminResult.Received -> handle(answer.response)
    }

private fun documentJson(version: String, document: String): String =
    JsonObject(
        mapOf(
            "version" to kotlinx.serialization.json.JsonPrimitive(version.toLongOrNull() ?: 0),
            "document" to kotlinx.serialization.json.JsonPrimitive(document),
        ),
    ).toString()

/** Reads a file; prints an error and returns null when it cannot be read. */
internal fun readOrReport(path: String): String? =
    try {
        File(path).readText()
    } catch (e: IOException) {
        fail(ExitCode.INVALID, "$path cannot be read: ${e.message}")
        null
    }

/** Prints [message] on standard error and returns [code]. */
internal fun fail(code: ExitCode, message: String): ExitCode {
    System.err.println(message)
    return code
}
