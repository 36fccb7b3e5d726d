package org.endivestep.outcome

/** Status and headers of a worker's answer. */
internal data class AnswerHead(val status: Int, val headers: List<HeaderField>) {
    /** Returns the value of the first header called [name], ignoring case. */
    fun header(name: String): String? = headers.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

    /** Returns this head with a Content-Length of [length]. */
    fun withLength(length: Int): AnswerHead = copy(
        headers =
        headers.filterNot { it.name.equals("content-length", true) } + HeaderField("Content-Length", "$length"),
    )

    /** Stated length of the answer's body in bytes, or null. */
    val contentLength: Long? get() = header("content-length")?.toLongOrNull()

    /** Whether a truncated body can be detected: the answer has no body, a stated length or a transfer coding. */
    fun isDelimited(method: String): Boolean {
        val noBody = method == "HEAD" || status in statusesWithoutBody
        return noBody || header("content-length") != null || header("transfer-encoding") != null
    }

    private companion object {
        val statusesWithoutBody = setOf(204, 304)
    }
}
