package org.endivestep.matrix

/** Steps in the processing of a request, of a configuration change, and of membership. */
internal enum class Step {
    CALLER_TO_INGRESS,
    CLAIM_CREATE,
    INGRESS_TO_EGRESS,
    EGRESS_ADMISSION,
    EGRESS_TO_WORKER,
    WORKER_RUNS,
    ANSWER_FIRST_BYTE,
    ANSWER_MIDDLE,
    ANSWER_END,
    CLAIM_COMPLETION,
    CONFIGURATION_WRITE,
    CONFIGURATION_RELAY,
    GOSSIP,
}

internal enum class Fault {
    KILL,
    SUSPEND_AND_RESUME,
    CUT,
    SILENT_CONNECTION,
    DELAY,
    LOST_ANSWER,
    DUPLICATE,
    MISMATCHED_ANSWER,
    STORE_UNAVAILABLE,
    STORE_SLOW,
    STORE_ANSWER_LOST,
    WORKER_COLD,
    WORKER_SLOW,
    WORKER_CRASH,
    DRAIN,
    RACING_OPERATORS,
}

/** One cell of the fault matrix. */
internal sealed interface Cell {
    /** Runs a request under the fault; [orderOutcomes] and [readOutcomes] are the outcomes that its caller may see. */
    class Request(val orderOutcomes: Set<CallerOutcome>, val readOutcomes: Set<CallerOutcome>, val inject: FaultMatrixFixture.() -> Unit) :
        Cell

    /** Runs [check], which throws when the expected behaviour does not hold. */
    class Check(val check: () -> Unit) : Cell

    class NotApplicable(val reason: String) : Cell
}

/** Collects the cells of one step; [notApplicable] fills those of faults that cannot occur there. */
internal class StepCells {
    val cells = LinkedHashMap<Fault, Cell>()

    fun request(
        fault: Fault,
        orderOutcome: CallerOutcome,
        readOutcome: CallerOutcome = CallerOutcome.ANSWERED,
        inject: FaultMatrixFixture.() -> Unit,
    ) = put(fault, Cell.Request(setOf(orderOutcome), setOf(readOutcome), inject))

    fun check(fault: Fault, check: () -> Unit) = put(fault, Cell.Check(check))

    fun notApplicable(reason: String, vararg faults: Fault) = faults.forEach { put(it, Cell.NotApplicable(reason)) }

    private fun put(fault: Fault, cell: Cell) {
        check(cells.put(fault, cell) == null) { "$fault is defined twice for one step" }
    }
}
