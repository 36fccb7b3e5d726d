package org.endivestep.settings

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.endivestep.findings.Checked

private val valid =
    """
    [daemon]
    vm = vm-1
    data-centre = haarlem
    host = 127.0.0.1
    caller-port = 9001
    inner-port = 9002
    admin-port = 9003
    [store]
    url = http://127.0.0.1:9000
    [security]
    shared-secret = sixteen characters
    """.trimIndent()

private fun findings(text: String): String =
    when (val checked = readDaemonSettings("d.ini", text)) {
        is Checked.Valid -> ""
        is Checked.Invalid -> checked.findings.joinToString("\n") { it.render() }
    }

class DaemonSettingsTest :
    FunSpec({
        test("valid settings have no findings") { findings(valid) shouldBe "" }

        test("each problem is reported with its location") {
            data class Case(val name: String, val change: (String) -> String, val finding: String)
            listOf(
                Case("truncated file", { it.take(60) }, "inner-port: is missing"),
                Case("host name", { it.replace("host = 127.0.0.1", "host = localhost") }, "d.ini:4: [daemon] host: must be an IP address"),
                Case("same port", { it.replace("9002", "9001") }, "the three ports must differ"),
                Case("short secret", { it.replace("sixteen characters", "short") }, "at least 16 characters"),
                Case("bad seed", { it.replace("[store]", "seeds = somewhere\n[store]") }, "must be an IP address and a port"),
                Case("bad hash", { "$it\n[operators]\nanna = plain" }, "[operators] anna: must be iterations:salt:hash"),
                Case("unknown section", { "$it\n[daemn]\nvm = a" }, "[daemn]: is not a known section"),
                Case("share above 1", { "$it\n[hedging]\nextra-share = 2" }, "[hedging] extra-share: must be a number from 0 to 1"),
                Case("unknown key of hedging", { "$it\n[hedging]\nshare = 0.1" }, "[hedging] share: is not a known key"),
                Case("no url scheme", { it.replace("http://", "") }, "must begin with http://"),
            ).forEach { case -> withClue(case.name) { findings(case.change(valid)) shouldContain case.finding } }
        }

        test("second attempts are off unless a share is given") {
            listOf("" to 0.0, "\n[hedging]\n" to 0.0, "\n[hedging]\nextra-share = 0.05" to 0.05).forEach { (section, share) ->
                (readDaemonSettings("d.ini", valid + section) as Checked.Valid).value.hedging.extraShare shouldBe share
            }
        }

        test("a password matches only its own hash") {
            val hash = hashPassword("duin")
            passwordMatches("duin", hash) shouldBe true
            passwordMatches("zand", hash) shouldBe false
            passwordMatches("duin", "no hash") shouldBe false
        }
    })
