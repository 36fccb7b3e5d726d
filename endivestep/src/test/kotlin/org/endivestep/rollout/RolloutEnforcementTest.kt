package org.endivestep.rollout

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.endivestep.admission.Completion
import org.endivestep.choice.LoadView
import org.endivestep.egress.RequestEnd
import org.endivestep.egress.RunObserver
import org.endivestep.egress.WorkerCall
import org.endivestep.egress.WorkerResult
import org.endivestep.exchange.monotonicMs
import org.endivestep.fakes.EgressFixture
import org.endivestep.fakes.answering
import org.endivestep.fakes.roundRobin
import org.endivestep.fakes.sampleAttempt
import org.endivestep.identity.AttemptId
import org.endivestep.identity.KindName
import org.endivestep.identity.WorkerVersion
import org.endivestep.ingress.Dispatcher
import org.endivestep.ingress.RerouteSettings
import org.endivestep.ingress.routesOf
import org.endivestep.ingress.sampleCall
import org.endivestep.outcome.AnswerHead
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.NotRunReason
import org.endivestep.store.StoreRevision

private class RecordingObserver : RunObserver {
    val seen = mutableListOf<String>()

    override fun started() {
        seen += "started"
    }

    override fun ended(kind: KindName, completion: Completion, how: RequestEnd) {
        seen += "${kind.text} ${completion::class.simpleName} $how"
    }
}

private fun describe(result: AttemptResult): String =
    when (result) {
        is AttemptResult.Answered -> "answered"
        is AttemptResult.NotRun -> "not run: ${result.reason.text}"
        is AttemptResult.Unknown -> "unknown"
    }

class RolloutEnforcementTest :
    FunSpec({
        // Guards against a request that reaches a worker of a version that is not permitted, also when that changes while it waits.
        test("the daemon beside a worker refuses a version that is not permitted, before the worker has a byte") {
            class Case(val name: String, val permissions: List<Boolean>, val expected: String, val runs: Int, val observed: List<String>)
            listOf(
                Case("permitted", listOf(true), "answered", 1, listOf("started")),
                Case("not permitted", listOf(false), "not run: version-not-permitted", 0, emptyList()),
                Case("no longer permitted when admitted", listOf(true, false), "not run: version-not-permitted", 0, emptyList()),
                Case(
                    "no longer permitted when it counts as in flight",
                    listOf(true, true, true, false),
                    "not run: version-not-permitted",
                    0,
                    listOf("started", "order Cancelled NOT_SENT"),
                ),
            ).forEach { case ->
                val observer = RecordingObserver()
                var asked = 0
                val permits = { _: Any, _: WorkerVersion? -> case.permissions.getOrElse(asked++) { case.permissions.last() } }
                val fixture = EgressFixture(permitsVersion = permits, observer = observer, worker = answering())
                withClue(case.name) {
                    describe(fixture.egress.run(sampleAttempt()) { }) shouldBe case.expected
                    fixture.runs.get() shouldBe case.runs
                    observer.seen shouldBe case.observed
                    fixture.admission.load.inFlight shouldBe (if (case.runs == 1) 1 else 0)
                }
            }
        }

        // Guards against failures that the comparison of versions does not see, and against refusals that it takes for failures.
        test("each run is reported with its end") {
            class Case(val name: String, val expected: String, val worker: WorkerCall)
            listOf(
                Case("no response", "order Failed CONNECTION_LOST") { _, _ -> WorkerResult.Failed("reset", timedOut = false) },
                Case("no response in time", "order Failed OTHER") { _, _ -> WorkerResult.Failed("late", timedOut = true) },
                Case("not sent", "order Failed NOT_SENT") { _, _ -> WorkerResult.NotSent("refused") },
                Case("cancelled", "order Cancelled OTHER") { _, _ -> WorkerResult.Cancelled },
            ).forEach { case ->
                val observer = RecordingObserver()
                EgressFixture(observer = observer, worker = case.worker).egress.run(sampleAttempt()) { }
                withClue(case.name) { observer.seen shouldBe listOf("started", case.expected) }
            }
        }

        // Guards against requests that are lost because their daemon has not heard of the latest step yet.
        test("a daemon that knows an earlier step sends a refused request to the other version") {
            class Case(val name: String, val share: Int?, val served: WorkerVersion)
            listOf(
                Case("all moved, but this daemon knows a share of 0", 0, newVersion),
                Case("all moved, but this daemon knows of no roll-out", null, newVersion),
                Case("reverted, but this daemon knows a share of 100", 100, oldVersion),
            ).forEach { case ->
                val table = RolloutTable({ 0 }, { 0 })
                case.share?.let { share ->
                    val order = RolloutOrder(sampleCall(true).service.name, newVersion, ORDER_MS)
                    val status = RolloutStatus(RolloutState.RUNNING, newVersion, share)
                    table.update(RolloutEntry(order, status, StoreRevision(2)), fromStore = true)
                }
                val choice = VersionChoice(table) { 0.5 }
                val workers = routesOf(WORKERS).mapIndexed { index, route ->
                    route.copy(
                        version = if (index <
                            WORKERS / 2
                        ) {
                            oldVersion
                        } else {
                            newVersion
                        },
                    )
                }
                val dispatcher =
                    Dispatcher(
                        { workers },
                        LoadView(::monotonicMs),
                        roundRobin(),
                        RerouteSettings(maxReroutes = 3, maxWaitMs = 60),
                        selectVersion = { service, routes, refused ->
                            choice.select(service, routes, refused, { it.version }, { it.candidate.vm.text })
                        },
                    ) { route, _ ->
                        if (route.version == case.served) {
                            AttemptResult.Answered(AnswerHead(200, emptyList()), ByteArray(0).inputStream(), null)
                        } else {
                            AttemptResult.NotRun(NotRunReason.VERSION_NOT_PERMITTED)
                        }
                    }
                withClue(case.name) { describe(dispatcher.dispatch(sampleCall(true), AttemptId("a"))) shouldBe "answered" }
            }
        }
    })

private const val WORKERS = 10
