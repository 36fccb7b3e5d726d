package org.endivestep.choice

import org.endivestep.identity.KindName
import org.endivestep.identity.VmName
import org.endivestep.outcome.Load

/** Records the load of workers as observed from the attempts that one daemon sends. Not thread-safe. */
internal interface WorkerLoads {
    /** Records the start of an attempt at [vm]. */
    fun begin(vm: VmName)

    /**
     * Records the end of an attempt at [vm]. [load] is the load that its daemon reported, null when the
     * daemon was not reached. [workerMs] is the time spent at the worker, null when no worker received it.
     */
    fun end(vm: VmName, kind: KindName, load: Load?, workerMs: Long?)

    /** Prefers workers other than [vm] for [durationMs]. */
    fun avoid(vm: VmName, durationMs: Long)
}
