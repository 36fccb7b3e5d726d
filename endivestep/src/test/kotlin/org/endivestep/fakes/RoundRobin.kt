package org.endivestep.fakes

import org.endivestep.choice.ChoicePolicy

/** Returns a policy that chooses the candidates in round-robin order. */
internal fun roundRobin(): ChoicePolicy {
    var next = 0
    return { _, candidates -> candidates[Math.floorMod(next++, candidates.size)] }
}
