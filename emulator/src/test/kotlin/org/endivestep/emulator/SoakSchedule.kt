package org.endivestep.emulator

import kotlin.random.Random

/** Faults of one series follow one another; those of different series overlap. */
internal enum class FaultSeries(val kinds: List<FaultKind>) {
    DAEMONS_OF_A(listOf(FaultKind.DAEMON_STOPPED, FaultKind.DAEMON_KILLED, FaultKind.DAEMON_PAUSED, FaultKind.SETTINGS_REREAD)),
    DAEMONS_OF_B(DAEMONS_OF_A.kinds),
    PEERS(listOf(FaultKind.PEERS_DELAYED, FaultKind.PEERS_RESET, FaultKind.PEERS_CUT_ONE_WAY, FaultKind.PEERS_SILENCED)),
    STORE(
        listOf(
            FaultKind.STORE_DELAYED,
            FaultKind.STORE_RESET,
            FaultKind.STORE_AWAY,
            FaultKind.STORE_SILENCED,
            FaultKind.STORE_ANSWERS_LOST,
            FaultKind.STORE_HISTORY_LOST,
        ),
    ),
    ANSWERS(listOf(FaultKind.ANSWERS_SPOILT)),
    CONFIGURATION(listOf(FaultKind.CONFIGURATION_CHANGED)),
    RESTORES(listOf(FaultKind.STORE_RESTORED)),
    WORKERS(listOf(FaultKind.WORKER_CRASHED, FaultKind.WORKER_NOT_READING)),
    ENDLESS_ANSWERS(listOf(FaultKind.ANSWERS_WITHOUT_END)),
}

internal enum class FaultKind {
    /** SIGTERM, and SIGKILL after the time that the platform grants. */
    DAEMON_STOPPED,
    DAEMON_KILLED,
    DAEMON_PAUSED,

    /** SIGHUP. */
    SETTINGS_REREAD,
    PEERS_DELAYED,
    PEERS_RESET,

    /** What one daemon sends to all others is lost. */
    PEERS_CUT_ONE_WAY,
    PEERS_SILENCED,
    STORE_DELAYED,
    STORE_RESET,

    /** Connections to the store are refused. */
    STORE_AWAY,
    STORE_SILENCED,
    STORE_ANSWERS_LOST,
    STORE_HISTORY_LOST,

    /** The store is away, comes back from a copy without its latest changes, and the operator writes again what was lost. */
    STORE_RESTORED,

    /** One worker spoils a share of its answers. */
    ANSWERS_SPOILT,
    CONFIGURATION_CHANGED,

    /** One worker ends with all of its connections, and comes back under its id or another one. */
    WORKER_CRASHED,

    /** One worker reads nothing from its connections. */
    WORKER_NOT_READING,

    /** One worker sends its answers in chunks of one byte without end. */
    ANSWERS_WITHOUT_END,
}

/**
 * One fault: it begins [pauseMs] after the end of the one before in its series, and lasts for [durationMs]. [target] is the index of
 * the VM, and [severity] is between 0 and 1.
 */
internal data class SoakFault(val kind: FaultKind, val target: Int, val pauseMs: Long, val durationMs: Long, val severity: Double)

/** All faults of one run, drawn from its seed. */
internal class SoakSchedule(val series: Map<FaultSeries, List<SoakFault>>) {
    override fun toString(): String = series.entries.joinToString("\n") { (series, faults) ->
        "$series: ${faults.joinToString("\n  ", "\n  ")}"
    }

    companion object {
        private const val MIN_PAUSE_MS = 300L
        private const val MAX_PAUSE_MS = 3_000L
        private const val MIN_DURATION_MS = 300L
        private const val MAX_DURATION_MS = 4_500L

        // Some rules hold only for daemons that are not disturbed, so not every run has all series of faults.
        private const val SERIES_SHARE = 0.6
        private const val VM_COUNT = 4
        private const val MAX_RESTORES = 2
        private const val MAX_ENDLESS = 2
        private val drawnApart = setOf(FaultSeries.RESTORES, FaultSeries.WORKERS, FaultSeries.ENDLESS_ANSWERS)

        /** Draws the faults of the run [seed], which begin within [lengthMs]. */
        fun draw(seed: Long, lengthMs: Long): SoakSchedule {
            val random = Random(seed)
            val drawn = (FaultSeries.entries - drawnApart).associateWith { drawSeries(it, Random(random.nextLong()), lengthMs) }
            val chosen = drawn.keys.filter { random.nextDouble() < SERIES_SHARE } + FaultSeries.ANSWERS + FaultSeries.CONFIGURATION
            return SoakSchedule(drawn.filterKeys { it in chosen } + drawApart(seed, lengthMs))
        }

        // Drawn apart, so that a seed keeps the faults of the other series.
        private fun drawApart(seed: Long, lengthMs: Long): Map<FaultSeries, List<SoakFault>> =
            mapOf(
                FaultSeries.RESTORES to drawSeries(FaultSeries.RESTORES, Random(seed.inv()), lengthMs).take(MAX_RESTORES),
                FaultSeries.WORKERS to drawSeries(FaultSeries.WORKERS, Random(seed.inv() - 1), lengthMs),
                FaultSeries.ENDLESS_ANSWERS to drawSeries(FaultSeries.ENDLESS_ANSWERS, Random(seed.inv() - 2), lengthMs).take(MAX_ENDLESS),
            )

        private fun drawSeries(series: FaultSeries, random: Random, lengthMs: Long): List<SoakFault> {
            val faults = mutableListOf<SoakFault>()
            var endMs = 0L
            while (true) {
                val pauseMs = random.nextLong(MIN_PAUSE_MS, MAX_PAUSE_MS)
                val durationMs = random.nextLong(MIN_DURATION_MS, MAX_DURATION_MS)
                val fault = SoakFault(series.kinds.random(random), targetOf(series, random), pauseMs, durationMs, random.nextDouble())
                if (endMs + pauseMs > lengthMs) return faults
                endMs += pauseMs + durationMs
                faults += fault
            }
        }

        private fun targetOf(series: FaultSeries, random: Random): Int =
            when (series) {
                FaultSeries.DAEMONS_OF_A -> random.nextInt(VM_COUNT / 2)
                FaultSeries.DAEMONS_OF_B -> VM_COUNT / 2 + random.nextInt(VM_COUNT / 2)
                else -> random.nextInt(VM_COUNT)
            }
    }
}
