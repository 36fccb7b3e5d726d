package org.endivestep.emulator

/** Parameters and injected faults of an emulated worker; mutable fields can be changed while it runs. Durations are in ms. */
internal class WorkerBehaviour(
    val service: String,
    val slots: Int,
    val coldSlots: Int,
    val warmAfterRequests: Int,
    @Volatile var serviceTimeMs: Double,
) {
    @Volatile
    var shedding = false

    @Volatile
    var slowFactor = 1.0

    /** Answers echo the request id of the previous request. */
    @Volatile
    var echoesPreviousId = false

    /** Each answer is truncated in the middle. */
    @Volatile
    var truncatesAnswers = false

    /** Accepts requests and never answers them. */
    @Volatile
    var neverAnswers = false
}
