package org.endivestep.fakes

import io.kotest.common.ExperimentalKotest
import io.kotest.property.PropTestConfig

private const val DEFAULT_SEED = 20_261_204L
private const val DEFAULT_ITERATIONS = 300

/**
 * Configuration of the property tests. The options `-Dfuzz.seed=N` and `-Dfuzz.iterations=N` override
 * the default seed and number of iterations.
 */
@OptIn(ExperimentalKotest::class)
internal fun fuzz(): PropTestConfig {
    val seed = System.getProperty("fuzz.seed")?.toLong() ?: DEFAULT_SEED
    val iterations = System.getProperty("fuzz.iterations")?.toInt() ?: DEFAULT_ITERATIONS
    return PropTestConfig(seed = seed, iterations = iterations)
}
