package org.endivestep.emulator

/** How an emulated worker spoils its answer to a request that it ran. */
internal enum class AnswerFault {
    /** A second copy of the answer is sent before the next answer on the same connection. */
    LATE_COPY,
    WITHOUT_SIGNATURE,
    WITHOUT_REQUEST_ID,

    /** The connection is closed before the end that the answer's length or chunks announce. */
    TRUNCATED,

    /** The answer has neither length nor chunks, and its connection is reset in the middle of the body. */
    TRUNCATED_BY_RESET,

    /** The answer is whole, but is an error of the worker. */
    SERVER_ERROR,

    /** Bytes that are not HTTP are sent in place of the answer. */
    GARBAGE,
}
