package org.endivestep.exchange

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import java.io.IOException

class ReadWholeTest :
    FunSpec({
        test("a body of at most the stated length is read completely") {
            data class Case(val name: String, val bytes: Int, val stated: Int)
            listOf(
                Case("as stated", 10, 10),
                Case("empty", 0, 0),
                Case("no body, as after HEAD", 0, 10),
            ).forEach { case ->
                withClue(case.name) {
                    ByteArray(case.bytes) { 1 }.inputStream().readWhole(case.stated) shouldBe ByteArray(case.bytes) { 1 }
                }
            }
        }

        test("a body that is longer than stated is refused") {
            shouldThrow<IOException> { ByteArray(11).inputStream().readWhole(10) }
        }
    })
