package org.endivestep.ingress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldNotContain
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.endivestep.document.ApiKey
import org.endivestep.document.Document
import org.endivestep.document.KeyDigest
import org.endivestep.document.RequestSemantics
import org.endivestep.document.RouteRule
import org.endivestep.document.RouteTable
import org.endivestep.document.Team
import org.endivestep.document.TeamTable
import org.endivestep.document.WeightedDestination
import org.endivestep.exchange.MessageHeaders
import org.endivestep.exchange.RequestBody
import org.endivestep.exchange.monotonicMs
import org.endivestep.fakes.CallerServerFixture
import org.endivestep.fakes.sampleDocument
import org.endivestep.identity.KindName
import org.endivestep.identity.ServiceName
import org.endivestep.identity.TeamName
import org.endivestep.metrics.OutcomeCounters
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.HeaderField
import org.endivestep.outcome.NotRunReason
import java.util.SplittableRandom

private const val KEY = "k-first-0123456789"
private const val SECOND_KEY = "k-second-0123456789"
private const val TEAM = "Team"
private const val CREDENTIALS = "Authorization"
private val names = MessageHeaders("Id", "Deadline", "Caller", "Expect", "Retry-After", credentials = CREDENTIALS, team = TEAM)

private fun rule(name: String, prefix: String, isPublic: Boolean) =
    RouteRule(
        name = KindName(name),
        host = "a.example",
        pathPrefix = prefix,
        destinations = listOf(WeightedDestination(ServiceName("bestel"), 1)),
        semantics = RequestSemantics.Idempotent,
        objectiveMs = 500,
        timeoutMs = 1_000,
        maxAttempts = 2,
        priority = 1,
        isPublic = isPublic,
    )

private fun team(name: String, priority: Int?, vararg keys: String) = Team(TeamName(name), keys.map(::ApiKey).toSet(), priority, null)

private val withoutTeams =
    sampleDocument().copy(routes = RouteTable(listOf(rule("keyed", "/x/", isPublic = false), rule("open", "/open/", isPublic = true))))

private val withTeams =
    withoutTeams.copy(
        teams = TeamTable(
            listOf(team("first", 0, KEY, "k-first-new"), team("second", null, SECOND_KEY), team("odd", null, "k-\u00e9", "")),
        ),
    )

/** Answers with the status 200 what was dispatched, and keeps it. */
private class Gateway(document: Document, isCurrent: Boolean = true) {
    val dispatched = mutableListOf<IncomingCall>()
    val counters = OutcomeCounters(SimpleMeterRegistry())
    val ingress =
        RoutedIngress(
            callerService = ServiceName("voorraad"),
            headers = names,
            document = { document },
            weights = WeightedChoice(SplittableRandom(1)),
            dispatch = { call, _ ->
                dispatched += call
                AttemptResult.NotRun(NotRunReason.OVERLOADED)
            },
            retryDelay = { _, _, _ -> 0 },
            counters = counters,
            keysAreCurrent = { isCurrent },
            configurationVersion = { 1 },
        )

    fun send(path: String, vararg headers: Pair<String, String>): CallerReply {
        val fields = listOf("Host" to "a.example", "Deadline" to "1000", "Id" to "r1") + headers
        val request =
            CallerRequest("GET", path, fields.map { HeaderField(it.first, it.second) }, RequestBody.Inline(ByteArray(0)), monotonicMs())
        return ingress.answer(request)
    }

    fun forwarded(name: String): List<String> = dispatched.single().headers.filter {
        it.name.equals(name, ignoreCase = true)
    }.map { it.value }
}

class CallerIdentityTest :
    FunSpec({
        // Guards against requests that run without a valid key, and against callers that are refused although they have one.
        test("a request on a route that needs a key runs for the team of its only key, and gets 401 otherwise") {
            class Case(val name: String, val headers: List<Pair<String, String>>, val team: String?)
            fun bearing(name: String, vararg values: String, team: String?) = Case(name, values.map { CREDENTIALS to it }, team)
            listOf(
                bearing("a key", "Bearer $KEY", team = "first"),
                bearing("another key of the team", "Bearer k-first-new", team = "first"),
                bearing("a key of another team", "Bearer $SECOND_KEY", team = "second"),
                bearing("a lower-case scheme", "bearer $KEY", team = "first"),
                bearing("an upper-case scheme", "BEARER $KEY", team = "first"),
                Case("a lower-case header", listOf("authorization" to "Bearer $KEY"), "first"),
                Case("an odd header case", listOf("aUTHORIZATION" to "Bearer $KEY"), "first"),
                bearing("more blanks", "  Bearer   $KEY \t", team = "first"),
                bearing("a key with bytes that are not ASCII, as UTF-8", "Bearer k-\u00c3\u00a9", team = "odd"),
                Case("a team header beside the key", listOf(TEAM to "second", CREDENTIALS to "Bearer $KEY"), "first"),
                Case(
                    "credentials named as a header of the connection",
                    listOf("Connection" to CREDENTIALS, CREDENTIALS to "Bearer $KEY"),
                    "first",
                ),
                Case(
                    "the team header named as a header of the connection",
                    listOf("Connection" to TEAM, CREDENTIALS to "Bearer $KEY"),
                    "first",
                ),
                Case("nothing", emptyList(), null),
                Case("only a team header", listOf(TEAM to "first"), null),
                bearing("the same key twice", "Bearer $KEY", "Bearer $KEY", team = null),
                Case("two headers in different case", listOf(CREDENTIALS to "Bearer $KEY", "authorization" to "Basic eA=="), null),
                bearing("two keys in one header", "Bearer $KEY, Bearer $SECOND_KEY", team = null),
                bearing("an unknown key", "Bearer k-unknown", team = null),
                bearing("a key in another case", "Bearer ${KEY.uppercase()}", team = null),
                bearing("the beginning of a key", "Bearer ${KEY.dropLast(1)}", team = null),
                bearing("more than a key", "Bearer ${KEY}x", team = null),
                bearing("a key in two parts", "Bearer ${KEY.take(5)} ${KEY.drop(5)}", team = null),
                bearing("another scheme", "Basic $KEY", team = null),
                bearing("a longer scheme", "Bearers $KEY", team = null),
                bearing("no scheme", KEY, team = null),
                bearing("no blank", "Bearer$KEY", team = null),
                bearing("a tab in place of the blank", "Bearer\t$KEY", team = null),
                bearing("a quoted key", "Bearer \"$KEY\"", team = null),
                bearing("only a scheme", "Bearer", team = null),
                bearing("a scheme and a blank, where a team has an empty key", "Bearer ", team = null),
                bearing("an empty header", "", team = null),
                Case("a proxy's credentials", listOf("Proxy-Authorization" to "Bearer $KEY"), null),
            ).forEach { case ->
                val gateway = Gateway(withTeams)
                val reply = gateway.send("/x/1", *case.headers.toTypedArray())
                withClue(case.name) {
                    (reply.status to gateway.dispatched.size) shouldBe if (case.team == null) 401 to 0 else 503 to 1
                    if (case.team != null) {
                        gateway.forwarded(CREDENTIALS) shouldBe emptyList()
                        gateway.forwarded(TEAM) shouldBe listOf(case.team)
                        gateway.dispatched.single().rank.team shouldBe TeamName(case.team)
                        gateway.dispatched.single().rank.priority shouldBe if (case.team == "first") 0 else 1
                    }
                }
            }
        }

        // Guards against a worker that is told a team by anybody but the daemon, or gets a key.
        test("a request on a public route has no team, and neither its credentials nor its team header are passed on") {
            class Case(val name: String, val headers: List<Pair<String, String>>)
            listOf(
                Case("nothing", emptyList()),
                Case("a key", listOf(CREDENTIALS to "Bearer $KEY")),
                Case("an unknown key", listOf(CREDENTIALS to "Bearer k-unknown")),
                Case("two keys", listOf(CREDENTIALS to "Bearer $KEY", "AUTHORIZATION" to "Bearer $SECOND_KEY")),
                Case("a team header", listOf("team" to "first", "TEAM" to "second")),
            ).forEach { case ->
                val gateway = Gateway(withTeams, isCurrent = false)
                gateway.send("/open/1", *case.headers.toTypedArray(), "Other" to "kept")
                withClue(case.name) {
                    gateway.forwarded(CREDENTIALS) + gateway.forwarded(TEAM) shouldBe emptyList()
                    gateway.forwarded("Other") shouldBe listOf("kept")
                    gateway.dispatched.single().rank.team shouldBe null
                    gateway.dispatched.single().rank.priority shouldBe 1
                }
            }
        }

        test("without teams in the configuration, credentials and the team header are passed on as they came") {
            listOf("/x/1", "/open/1").forEach { path ->
                val gateway = Gateway(withoutTeams, isCurrent = false)
                gateway.send(path, CREDENTIALS to "Basic eA==", CREDENTIALS to "x", TEAM to "y")
                gateway.forwarded(CREDENTIALS) shouldContainExactly listOf("Basic eA==", "x")
                gateway.forwarded(TEAM) shouldContainExactly listOf("y")
                gateway.dispatched.single().rank.team shouldBe null
            }
        }

        // Guards against a revoked key that runs, and against a new key that is refused for good, while the configuration may be old.
        test("while the configuration may be old, requests with keys are refused for the moment and not run") {
            class Case(val name: String, val headers: List<Pair<String, String>>, val status: Int, val reason: NotRunReason)
            listOf(
                Case("a key", listOf(CREDENTIALS to "Bearer $KEY"), 503, NotRunReason.CONFIGURATION_STALE),
                Case("a key that is not known here", listOf(CREDENTIALS to "Bearer k-new"), 503, NotRunReason.CONFIGURATION_STALE),
                Case("no key", emptyList(), 401, NotRunReason.UNAUTHORIZED),
                Case("a malformed header", listOf(CREDENTIALS to "Basic x"), 401, NotRunReason.UNAUTHORIZED),
            ).forEach { case ->
                val gateway = Gateway(withTeams, isCurrent = false)
                val reply = gateway.send("/x/1", *case.headers.toTypedArray())
                withClue(case.name) {
                    (reply.status to gateway.dispatched.size) shouldBe (case.status to 0)
                    reply.headers.any { it.name == "Retry-After" } shouldBe true
                    gateway.counters.snapshot().keys.single().reason shouldBe case.reason.text
                }
            }
        }

        // Guards against a request of one team that is taken for the repeated request of another one.
        test("the same request of two teams has different fingerprints and the same signature") {
            val fingerprints =
                listOf(KEY, "k-first-new", SECOND_KEY).map { key ->
                    Gateway(withTeams).also { it.send("/x/1", CREDENTIALS to "Bearer $key") }.dispatched.single().fingerprint
                }
            fingerprints[0] shouldBe fingerprints[1]
            (fingerprints[0] == fingerprints[2]) shouldBe false
            fingerprints.map { it.signature }.distinct().size shouldBe 1
        }

        test("a key appears in no text of the objects that hold it") {
            val team = withTeams.teams.find(TeamName("first"))
            listOf(
                withTeams,
                withTeams.teams,
                team,
                team?.keys,
                KeyDigest.of(ApiKey(KEY)),
                CallerIdentity.Refused(bearsKey = true),
            ).forEach {
                it.toString() shouldNotContain KEY
            }
        }

        // Guards against credentials that reach the daemon in another way than by the head of their own request.
        test("on the wire, only the head of a request identifies its caller") {
            class Case(val name: String, val text: String, val statuses: List<Int>)
            val head = "Host: a.example\r\nId: r1\r\nDeadline: 1000\r\n"
            val key = "$CREDENTIALS: Bearer $KEY\r\n"
            val chunked = "Transfer-Encoding: chunked\r\nTrailer: $CREDENTIALS, $TEAM\r\n"
            val body = "1\r\nx\r\n0\r\n"
            val end = "Connection: close\r\n"
            listOf(
                Case("a key", "GET /x/1 HTTP/1.1\r\n$head$key$end\r\n", listOf(503)),
                Case("folded behind the scheme", "GET /x/1 HTTP/1.1\r\n$head$CREDENTIALS: Bearer\r\n $KEY\r\n$end\r\n", listOf(503)),
                Case(
                    "folded within the key",
                    "GET /x/1 HTTP/1.1\r\n$head$CREDENTIALS: Bearer ${KEY.take(4)}\r\n ${KEY.drop(4)}\r\n$end\r\n",
                    listOf(401),
                ),
                Case("a blank before the colon", "GET /x/1 HTTP/1.1\r\n$head$CREDENTIALS : Bearer $KEY\r\n$end\r\n", listOf(400)),
                Case("a key in a trailer", "POST /x/1 HTTP/1.1\r\n$head$chunked$end\r\n$body$key\r\n", listOf(401)),
                Case("a team in a trailer", "POST /x/1 HTTP/1.1\r\n$head$key$chunked$end\r\n$body$TEAM: second\r\n\r\n", listOf(503)),
                Case(
                    "the next request has no key",
                    "GET /x/1 HTTP/1.1\r\n$head$key\r\nGET /x/2 HTTP/1.1\r\n$head$end\r\n",
                    listOf(503, 401),
                ),
                Case("the next request has one", "GET /x/1 HTTP/1.1\r\n$head\r\nGET /x/2 HTTP/1.1\r\n$head$key$end\r\n", listOf(401, 503)),
            ).forEach { case ->
                val gateway = Gateway(withTeams)
                CallerServerFixture(gateway.ingress::answer).use { server ->
                    val statuses = Regex("HTTP/1.1 (\\d+)").findAll(server.exchange(case.text)).map { it.groupValues[1].toInt() }.toList()
                    withClue(case.name) {
                        statuses shouldBe case.statuses
                        gateway.dispatched.forEach { call ->
                            call.headers.filter { it.name.equals(CREDENTIALS, ignoreCase = true) } shouldBe emptyList()
                            call.headers.filter { it.name.equals(TEAM, ignoreCase = true) } shouldBe listOf(HeaderField(TEAM, "first"))
                        }
                    }
                }
            }
        }
    })
