package org.endivestep.document

/** What may be done with the requests of a route: whether they may run again, and how large their bodies are. */
internal sealed interface RequestSemantics {
    /** Whether a request may run more than once without another effect. */
    val idempotent: Boolean

    /** Whether answers are too large to be buffered, and may take as long as their reader takes to read them. */
    val hasLargeAnswer: Boolean get() = false

    /** May run more than once. */
    data object Idempotent : RequestSemantics {
        override val idempotent = true
    }

    /** May run more than once, and has a large answer, so it is repeated only before any of the answer was passed on. */
    data object Download : RequestSemantics {
        override val idempotent = true
        override val hasLargeAnswer = true
    }

    /** Runs at most once. */
    data object NonIdempotent : RequestSemantics {
        override val idempotent = false
    }

    /** Runs at most once, and has a large request body. */
    data object Upload : RequestSemantics {
        override val idempotent = false
    }

    /** Not known to this version; runs at most once. */
    data object Unrecognized : RequestSemantics {
        override val idempotent = false
    }
}
