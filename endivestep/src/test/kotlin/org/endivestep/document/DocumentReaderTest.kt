package org.endivestep.document

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.endivestep.fakes.sampleText
import org.endivestep.findings.Checked

private fun findings(text: String): String =
    when (val checked = readDocument("fleet.ini", text)) {
        is Checked.Valid -> ""
        is Checked.Invalid -> checked.findings.joinToString("\n") { it.render() }
    }

class DocumentReaderTest :
    FunSpec({
        test("a valid document has no findings") { findings(sampleText()) shouldBe "" }

        test("each problem is reported with its location") {
            data class Case(val name: String, val change: (String) -> String, val finding: String)
            listOf(
                Case("unknown key", { it + "\ncolour = red" }, "fleet.ini:35: [kind bestel.read] colour: is not a known key"),
                Case("unknown section", { "$it\n[winkel]\na = b" }, "[winkel]: is not a known section"),
                Case("wrong type", { it.replaceFirst("limit-max = 20", "limit-max = many") }, "fleet.ini:9: [service voorraad] limit-max"),
                Case("out of range", { it.replaceFirst("limit-max = 20", "limit-max = 0") }, "whole number from 1"),
                Case("cold limit above maximum", {
                    it.replaceFirst("limit-cold = 2", "limit-cold = 30")
                }, "must not exceed limit-max (20)"),
                Case("missing deadline", { it.replaceFirst("deadline-ms = 400", "") }, "deadline-ms: is missing"),
                Case("bad state", { it.replaceFirst("state = in", "state = maybe") }, "must be one of in, out"),
                Case("kind of an undeclared service", { it.replaceFirst("[kind bestel.", "[kind winkel.") }, "which is not declared"),
                Case("duplicate key", { it.replaceFirst("limit-max = 20", "limit-max = 20\nlimit-max = 21") }, "is given more than once"),
                Case("kinds that overlap", {
                    it + "\n[kind bestel.twin]\nmethods = GET\npath = /\ndeadline-ms = 1"
                }, "selects the same requests"),
                Case("timeout too short", {
                    it.replaceFirst("deadline-ms = 400", "deadline-ms = 400\ntimeout-ms = 3")
                }, "must not be shorter"),
                Case("too large", { it + "\n;" + "x".repeat(MAX_DOCUMENT_BYTES) }, "are allowed"),
                Case("empty", { "" }, "declares no data centre"),
            ).forEach { case -> withClue(case.name) { findings(case.change(sampleText())) shouldContain case.finding } }
        }

        test("all problems are reported together") {
            val text = sampleText().replace("state = in", "state = maybe").replaceFirst("limit-max = 20", "limit-max = many")
            findings(text).lines().size shouldBe 4
        }

        test("an edit preserves comments and unrelated values") {
            val text = "# kept\n[data-centre katwijk]\n; kept too\nstate = in\nregion = a\n"
            withDataCentreState(text, "katwijk", DataCentreState.OUT) shouldBe text.replace("state = in", "state = out")
            withValue(text, "data-centre katwijk", "region", "") shouldBe text.replace("region = a\n", "")
            withValue(text, "quarantine", "deaths", "3") shouldBe text + "\n[quarantine]\ndeaths = 3\n"
            withoutSection(text, "data-centre katwijk") shouldBe "# kept"
        }

        test("a difference lists the changed values") {
            difference(sampleText(), sampleText(katwijk = "out")) shouldBe
                "- [data-centre katwijk] state = in\n+ [data-centre katwijk] state = out"
        }
    })
