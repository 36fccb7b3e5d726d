package org.endivestep.store

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import java.util.SplittableRandom
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

private val items = ListedCollection.Items(emptyList(), StoreRevision(7))

private class FakeCollections(private val listed: () -> ListedCollection, private val watched: () -> WatchedCollection) :
    ObjectCollections {
    override fun list(collection: CollectionName, allowStale: Boolean) = listed()

    override fun watch(collection: CollectionName, since: StoreRevision, timeoutMs: Long) = watched()

    override fun write(collection: CollectionName, name: String, text: String): WriteResult = WriteResult.Unknown("not scripted")
}

class StoreReturnDetectorTest :
    FunSpec({
        test("watches are refreshed once for each return of the store, by the daemon that is assigned") {
            class Case(val name: String, val answers: String, val refreshes: Int, val assigned: Boolean = true)
            listOf(
                Case("no outage", "....", 0),
                Case("an outage from the start", "xx..", 1),
                Case("one outage", "..xxx...", 1),
                Case("two outages", ".x.xx..", 2),
                Case("an outage without an end", "..xxx", 0),
                Case("not assigned", "..xx..", 0, assigned = false),
            ).forEach { case ->
                var refreshes = 0
                val answers = ArrayDeque(case.answers.toList())
                val store =
                    FakeCollections(
                        { if (answers.removeFirst() == '.') items else ListedCollection.Unavailable("silent") },
                        { error("not watched") },
                    )
                val detector = StoreReturnDetector(store, CollectionName("out"), { case.assigned }, { refreshes++ }) { }
                repeat(case.answers.length) { detector.step() }
                withClue(case.name) { refreshes shouldBe case.refreshes }
            }
        }

        test("a follower whose watch is silent for good lists the collection again when it is refreshed") {
            val silent = CountDownLatch(1)
            val listed = CountDownLatch(2)
            val store =
                FakeCollections({ items.also { listed.countDown() } }) {
                    silent.countDown()
                    Thread.sleep(60_000)
                    WatchedCollection.Unavailable("no answer")
                }
            val follower = CollectionFollower(store, CollectionName("config"), SplittableRandom(1), CollectionListener({ }, { }))
            follower.start()
            silent.await(3, TimeUnit.SECONDS) shouldBe true
            follower.refresh()
            listed.await(1, TimeUnit.SECONDS) shouldBe true
            follower.stop()
        }
    })
