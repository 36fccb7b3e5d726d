package org.endivestep.choice

import org.endivestep.identity.KindName
import org.endivestep.identity.VmName
import org.endivestep.outcome.Load

/** What one daemon learns of the load of workers from the attempts that it sends. Not thread-safe. */
internal interface WorkerLoads {
    /** An attempt at [vm] begins. */
    fun begin(vm: VmName)

    /**
     * An attempt at [vm] has ended; [load] is what its daemon reported, null when it was not reached.
     * [workerMs] is how long the worker had it, null when no worker had it.
     */
    fun end(vm: VmName, kind: KindName, load: Load?, workerMs: Long?)

    /** Prefers other workers than [vm] for [durationMs]. */
    fun avoid(vm: VmName, durationMs: Long)
}
