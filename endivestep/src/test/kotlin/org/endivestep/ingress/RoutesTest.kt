package org.endivestep.ingress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import org.endivestep.document.RequestSemantics
import org.endivestep.document.RouteRule
import org.endivestep.document.RouteTable
import org.endivestep.document.WeightedDestination
import org.endivestep.identity.KindName
import org.endivestep.identity.ServiceName
import java.util.SplittableRandom

private fun rule(name: String, host: String, prefix: String, vararg weights: Pair<String, Int>) =
    RouteRule(
        name = KindName(name),
        host = host,
        pathPrefix = prefix,
        destinations = weights.map { WeightedDestination(ServiceName(it.first), it.second) },
        semantics = RequestSemantics.Idempotent,
        objectiveMs = 500,
        timeoutMs = 1_000,
        maxAttempts = 2,
        priority = 0,
    )

class RoutesTest :
    FunSpec({
        test("a request matches the route with the longest path prefix of its host") {
            val table =
                RouteTable(
                    listOf(
                        rule("short", "a.example", "/x/", "s" to 1),
                        rule("long", "a.example", "/x/y/", "s" to 1),
                        rule("other", "b.example", "/x/y/z/", "s" to 1),
                    ),
                )

            class Case(val host: String, val path: String, val name: String?)
            listOf(
                Case("a.example", "/x/1", "short"),
                Case("a.example", "/x/y/1", "long"),
                Case("a.example", "/x/y/z/1", "long"),
                Case("a.example", "/x/y", "short"),
                Case("a.example", "/x", null),
                Case("a.example", "/", null),
                Case("b.example", "/x/y/z/", "other"),
                Case("b.example", "/x/y/", null),
                Case("c.example", "/x/1", null),
            ).forEach { withClue("${it.host}${it.path}") { table.find(it.host, it.path)?.name?.text shouldBe it.name } }
        }

        test("each service of a route gets its weighted share of any 100 consecutive requests") {
            class Case(val weights: List<Int>)
            listOf(Case(listOf(90, 10)), Case(listOf(1, 1)), Case(listOf(70, 20, 10)), Case(listOf(100, 0))).forEach { case ->
                val names = case.weights.mapIndexed { index, weight -> "s$index" to weight }.toTypedArray()
                val split = rule("split", "a.example", "/", *names)
                val choice = WeightedChoice(SplittableRandom(1))
                val sum = case.weights.sum()
                val chosen = List(400) { choice.choose(split).text }
                chosen.windowed(100).forEach { window ->
                    case.weights.forEachIndexed { index, weight ->
                        withClue("weights ${case.weights}, service $index") {
                            window.count { it == "s$index" } shouldBeInRange (100 * weight / sum - 2)..(100 * weight / sum + 2)
                        }
                    }
                }
            }
        }
    })
