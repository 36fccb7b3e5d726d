package org.endivestep.emulator

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required

/** Generates an open-loop load and prints latencies and outcomes. */
@OptIn(ExperimentalCli::class)
internal class LoadCommand : Subcommand("load", "Generate a load and measure latencies and outcomes") {
    private val targets by option(ArgType.String, description = "Addresses that accept requests, comma separated host:port").required()
    private val mix by option(ArgType.String, description = "service:method:path:weight:deadline-ms, comma separated").required()
    private val rate by option(ArgType.Double, description = "Requests per second").default(100.0)
    private val seconds by option(ArgType.Int, description = "Duration in seconds, without the discarded start").default(10)
    private val seed by option(ArgType.Int, description = "Seed of the random number generator").default(1)
    private val label by option(ArgType.String, description = "Name of the run").default("load")
    private val timeMs by option(ArgType.Double, fullName = "time-ms", description = "Service time in ms; -1 for default").default(-1.0)
    private val discard by option(
        ArgType.Int,
        fullName = "discard-seconds",
        description = "Seconds at the start whose requests are not measured",
    ).default(4)
    private val choice by option(
        ArgType.Choice(TargetPolicy.entries, { text -> TargetPolicy.entries.first { it.text == text } }, { it.text }),
        description = "Policy that selects the target of a request",
    ).default(TargetPolicy.RANDOM)
    private val pollMs by option(ArgType.Int, fullName = "poll-ms", description = "Interval between load polls in ms").default(100)
    private val workers by option(ArgType.String, description = "Workers whose runs are checked, comma separated host:port").default("")
    private val keys by option(ArgType.Boolean, description = "Send idempotency keys with POST").default(false)

    override fun execute() {
        val plan =
            LoadPlan(
                selectTarget = targetSelector(choice, targets.split(','), pollMs.toLong()),
                workers = workers.split(',').filter { it.isNotEmpty() },
                label = label.replace(' ', '-'),
                mix = mix.split(',').map(::parseMixEntry),
                rate = rate,
                seconds = seconds + discard,
                discardSeconds = discard,
                seed = seed.toLong(),
                timeMs = timeMs.takeIf { it >= 0 },
                keys = keys,
            )
        val report = LoadRun(plan).run()
        println(report.render(label))
    }
}
