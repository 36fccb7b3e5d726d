package org.endivestep.daemon

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.endivestep.configuration.ConfigurationAdoption
import org.endivestep.configuration.ConfigurationPosition
import org.endivestep.configuration.Overrides
import org.endivestep.fakes.sampleDocument
import org.endivestep.findings.Checked
import org.endivestep.identity.ConfigurationVersion
import org.endivestep.store.CollectionEvent
import org.endivestep.store.CollectionItem
import org.endivestep.store.CollectionName
import org.endivestep.store.ListedCollection
import org.endivestep.store.ObjectCollections
import org.endivestep.store.StoreEra
import org.endivestep.store.StoreRevision
import org.endivestep.store.WatchedCollection
import org.endivestep.store.WriteResult
import java.util.SplittableRandom
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.time.Duration.Companion.seconds

private const val CONFIGURATION = "config"

private fun item(version: Int, revision: StoreRevision) = CollectionItem("main", revision, """{"version":"r$version"}""")

private fun position(version: Long, revision: Long, era: Long = 0) =
    ConfigurationPosition(ConfigurationVersion(version), StoreRevision(revision, StoreEra(era)))

/** A store whose long watches never end, and which answers those without waiting with [answers]. */
private class SilentCollections(answers: List<WatchedCollection>) : ObjectCollections {
    private val answers = ArrayDeque(answers)
    val asked = ConcurrentLinkedQueue<StoreRevision>()
    val lists = ConcurrentLinkedQueue<Boolean>()

    override fun list(collection: CollectionName, allowStale: Boolean): ListedCollection {
        if (collection.text != CONFIGURATION) return ListedCollection.Unavailable("not scripted")
        lists += allowStale
        return ListedCollection.Items(listOf(item(1, StoreRevision(7))), StoreRevision(7))
    }

    override fun watch(collection: CollectionName, since: StoreRevision, timeoutMs: Long): WatchedCollection {
        if (timeoutMs > 0) Thread.sleep(60_000)
        asked += since
        return answers.removeFirst()
    }

    override fun write(collection: CollectionName, name: String, text: String): WriteResult = WriteResult.Unknown("not scripted")
}

class ConfirmedPositionTest :
    FunSpec({
        // Guards against a proof about a configuration that the store had already replaced when it answered.
        test("an answer confirms the configuration after all changes in it, and none from another era or without a revision does") {
            class Case(
                val name: String,
                val answer: WatchedCollection,
                val confirmed: ConfigurationPosition?,
                val lists: List<Boolean> = listOf(true),
            )
            fun events(revision: StoreRevision, vararg items: CollectionItem, deleted: Boolean = false) =
                WatchedCollection.Events(items.map { CollectionEvent(it, deleted) }, revision)
            val restored = StoreRevision(8, StoreEra(1))
            listOf(
                Case("no change", events(StoreRevision(9)), position(1, 7)),
                Case("a change", events(StoreRevision(9), item(2, StoreRevision(9))), position(2, 9)),
                Case("two changes", events(StoreRevision(9), item(2, StoreRevision(8)), item(3, StoreRevision(9))), position(3, 9)),
                Case("an earlier version", events(StoreRevision(9), item(0, StoreRevision(9))), position(1, 7)),
                Case("a removal", events(StoreRevision(9), item(2, StoreRevision(9)), deleted = true), position(1, 7)),
                Case("a later era without a change", events(restored), null),
                Case("a later era with a change", events(restored, item(2, restored)), null),
                Case("no answer", WatchedCollection.Unavailable("status 503"), null),
                Case("no history", WatchedCollection.HistoryGone, null, lists = listOf(true, false)),
            ).forEach { case ->
                val store = SilentCollections(listOf(case.answer))
                val adoption = ConfigurationAdoption({ _, _ -> Checked.Valid(sampleDocument()) })
                val follower = OperatorObjectsFollower(store, SplittableRandom(1), adoption, Overrides(System::currentTimeMillis))
                withClue(case.name) {
                    follower.confirmedPosition() shouldBe null
                    store.asked.size shouldBe 0
                    follower.start()
                    eventually(5.seconds) { follower.isListed shouldBe true }
                    follower.confirmedPosition() shouldBe case.confirmed
                    eventually(5.seconds) { store.lists.toList() shouldBe case.lists }
                }
                follower.stop()
            }
        }

        // Guards against a question from a revision so old that the store no longer has the changes since then.
        test("a question continues from the revision of the last answer") {
            val none = { number: Long -> WatchedCollection.Events(emptyList(), StoreRevision(number)) }
            val store = SilentCollections(listOf(none(9), WatchedCollection.Unavailable(""), none(12), none(12)))
            val adoption = ConfigurationAdoption({ _, _ -> Checked.Valid(sampleDocument()) })
            val follower = OperatorObjectsFollower(store, SplittableRandom(1), adoption, Overrides(System::currentTimeMillis))
            follower.start()
            eventually(5.seconds) { follower.isListed shouldBe true }
            repeat(4) { follower.confirmedPosition() }
            store.asked.map { it.number } shouldBe listOf(7L, 9L, 9L, 12L)
            follower.stop()
        }
    })
