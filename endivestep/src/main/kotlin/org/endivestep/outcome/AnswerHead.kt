package org.endivestep.outcome

/** The start of a worker's answer. */
internal data class AnswerHead(val status: Int, val headers: List<HeaderField>) {
    /** Returns the value of the first header called [name], in any case. */
    fun header(name: String): String? = headers.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

    /** Returns this head with [length] stated for its body. */
    fun withLength(length: Int): AnswerHead = copy(
        headers =
        headers.filterNot { it.name.equals("content-length", true) } + HeaderField("Content-Length", "$length"),
    )

    /** Length in bytes that the answer states for its body, or null. */
    val contentLength: Long? get() = header("content-length")?.toLongOrNull()

    /** Whether the end of the answer's body can be told from a cut: by its length, or by chunks. */
    fun hasVisibleEnd(method: String): Boolean {
        val noBody = method == "HEAD" || status in statusesWithoutBody
        return noBody || header("content-length") != null || header("transfer-encoding") != null
    }

    private companion object {
        val statusesWithoutBody = setOf(204, 304)
    }
}
