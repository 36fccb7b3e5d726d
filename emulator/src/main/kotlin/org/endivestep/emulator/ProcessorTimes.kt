package org.endivestep.emulator

import java.io.File

/** Processor time in ms that processes have used since their start, by the name of the thread. */
internal class ProcessorTimes private constructor(private val byThreadMs: Map<ThreadId, Long>) {
    private data class ThreadId(val process: Long, val thread: Long, val name: String)

    /** Processor time of all processes together. */
    val totalMs: Long get() = byThreadMs.values.sum()

    /** Returns the time that was used since [earlier], by the name of the thread without its number, largest first. */
    fun since(earlier: ProcessorTimes): List<Pair<String, Long>> =
        byThreadMs
            .map { (thread, ms) ->
                thread.name.trimEnd { it.isDigit() || it == '-' || it == '#' } to ms - (earlier.byThreadMs[thread] ?: 0)
            }
            .groupBy({ it.first }, { it.second })
            .map { (name, times) -> name to times.sum() }
            .sortedByDescending { it.second }

    companion object {
        private const val MS_PER_TICK = 10L
        private const val USER_TIME_FIELD = 11
        private const val SYSTEM_TIME_FIELD = 12

        /** Reads the times of [processes]; a thread that ends between two readings is missing in the second one. */
        fun read(processes: List<Long>): ProcessorTimes =
            ProcessorTimes(
                processes.flatMap { process ->
                    File("/proc/$process/task").listFiles().orEmpty().mapNotNull { readThread(process, it) }
                }.toMap(),
            )

        private fun readThread(process: Long, directory: File): Pair<ThreadId, Long>? {
            val text = runCatching { File(directory, "stat").readText() }.getOrNull() ?: return null
            // The name stands in parentheses and may hold spaces.
            val name = text.substringAfter('(').substringBeforeLast(')')
            val fields = text.substringAfterLast(") ").split(' ')
            val ticks = fields[USER_TIME_FIELD].toLong() + fields[SYSTEM_TIME_FIELD].toLong()
            return ThreadId(process, directory.name.toLong(), name) to ticks * MS_PER_TICK
        }
    }
}
