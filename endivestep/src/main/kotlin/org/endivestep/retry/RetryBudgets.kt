package org.endivestep.retry

import org.endivestep.document.Service
import org.endivestep.identity.ServiceName

/** The retry budget of each service, with the settings that are in force. Thread-safe. */
internal class RetryBudgets {
    private val budgets = HashMap<ServiceName, RetryBudget>()

    /** Adds what a request to [service] earns to which a worker replied; see [RetryBudget.noteReplied]. */
    fun noteReplied(service: Service) = withBudget(service) { it.noteReplied() }

    /** Spends one retry of [service]; returns false when its budget does not allow it. */
    fun trySpend(service: Service): Boolean = withBudget(service) { it.trySpend() }

    @Synchronized
    private fun <T> withBudget(service: Service, use: (RetryBudget) -> T): T {
        val budget = budgets.getOrPut(service.name) { RetryBudget(service.retry) }
        budget.configure(service.retry)
        return use(budget)
    }
}
