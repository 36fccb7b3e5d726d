package org.endivestep.fakes

import org.endivestep.choice.ChoicePolicy

/** Returns a policy that takes the candidates in turn. */
internal fun roundRobin(): ChoicePolicy {
    var next = 0
    return { _, candidates -> candidates[Math.floorMod(next++, candidates.size)] }
}
