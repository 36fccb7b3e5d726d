package org.endivestep.store

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class CurrentStoreEraTest :
    FunSpec({
        test("each rise after the first era is told once, and answers of earlier eras are known as such") {
            class Case(val name: String, val observed: List<Long>, val areCurrent: List<Boolean>, val rises: Int)
            listOf(
                Case("the first era is no rise", listOf(0, 0), listOf(true, true), 0),
                Case("a store that was restored before this daemon started", listOf(3, 3), listOf(true, true), 0),
                Case("a restore", listOf(0, 1, 1), listOf(true, true, true), 1),
                Case("an answer that the restore overtook", listOf(1, 2, 1, 2), listOf(true, true, false, true), 1),
                Case("two restores, one of them unheard of", listOf(1, 3, 2), listOf(true, true, false), 1),
            ).forEach { case ->
                var rises = 0
                val era = CurrentStoreEra { rises++ }
                val areCurrent = case.observed.map { era.observe(StoreEra(it), "the store") }
                withClue(case.name) {
                    areCurrent shouldBe case.areCurrent
                    rises shouldBe case.rises
                }
            }
        }
    })
