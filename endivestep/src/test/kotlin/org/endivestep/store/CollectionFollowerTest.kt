package org.endivestep.store

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import java.util.SplittableRandom

/** A store that returns scripted answers and counts the calls. */
private class ScriptedCollections(private val listed: () -> ListedCollection, private val watched: (StoreRevision) -> WatchedCollection) :
    ObjectCollections {
    var calls = 0
    val staleLists = mutableListOf<Boolean>()

    override fun list(collection: CollectionName, allowStale: Boolean): ListedCollection =
        listed().also {
            calls++
            staleLists += allowStale
        }

    override fun watch(collection: CollectionName, since: StoreRevision, timeoutMs: Long): WatchedCollection = watched(since).also {
        calls++
    }

    override fun write(collection: CollectionName, name: String, text: String): WriteResult = WriteResult.Unknown("not scripted")
}

private fun callsIn(virtualMs: Long, store: ScriptedCollections): Int {
    var nowMs = 0L
    val follower =
        CollectionFollower(store, CollectionName("config"), SplittableRandom(1), CollectionListener({ }, { })) { nowMs += it }
    var steps = 0
    while (nowMs < virtualMs && steps++ < 100_000) follower.step()
    return store.calls
}

class CollectionFollowerTest :
    FunSpec({
        val none = ListedCollection.Items(emptyList(), StoreRevision(7))

        test("the call rate is bounded while the store returns no changes, whatever its answers") {
            class Case(val name: String, val listed: ListedCollection, val watched: (StoreRevision) -> WatchedCollection, val maxCalls: Int)
            listOf(
                Case("an outage", ListedCollection.Unavailable("status 503"), { WatchedCollection.Unavailable("") }, 60),
                Case("an outage after the list", none, { WatchedCollection.Unavailable("status 429") }, 60),
                Case("a history that is always gone", none, { WatchedCollection.HistoryGone }, 120),
                Case("watches that return at once without changes", none, { WatchedCollection.Events(emptyList(), it) }, 1_300),
            ).forEach { case ->
                val calls = callsIn(virtualMs = 60_000, ScriptedCollections({ case.listed }, case.watched))
                withClue(case.name) { calls shouldBeLessThanOrEqual case.maxCalls }
            }
        }

        test("changes are reported in order, and the collection is listed again when its history is gone") {
            val seen = mutableListOf<String>()
            val item = CollectionItem("main", StoreRevision(8), "second")
            val script =
                ArrayDeque(
                    listOf(
                        WatchedCollection.Events(listOf(CollectionEvent(item, deleted = false)), StoreRevision(8)),
                        WatchedCollection.HistoryGone,
                        WatchedCollection.Events(listOf(CollectionEvent(item, deleted = true)), StoreRevision(9)),
                    ),
                )
            val store = ScriptedCollections({ none }, { script.removeFirst() })
            val listener = CollectionListener({ seen += "list" }, { seen += if (it.deleted) "deleted" else it.item.text })
            val follower = CollectionFollower(store, CollectionName("config"), SplittableRandom(1), listener) { }
            repeat(5) { follower.step() }
            seen shouldBe listOf("list", "second", "list", "deleted")
        }

        test("a list may be old unless the changes since an old one were gone") {
            val events = WatchedCollection.Events(emptyList(), StoreRevision(8))
            class Case(val name: String, val watched: List<WatchedCollection>, val staleLists: List<Boolean>)
            listOf(
                Case("a first list", listOf(events), listOf(true)),
                Case("a list after the history was gone", listOf(WatchedCollection.HistoryGone, events), listOf(true, false)),
                Case(
                    "a list after the history was gone twice",
                    listOf(WatchedCollection.HistoryGone, WatchedCollection.HistoryGone, events),
                    listOf(true, false, false),
                ),
                Case(
                    "a list after a watch in between",
                    listOf(WatchedCollection.HistoryGone, events, WatchedCollection.HistoryGone, events),
                    listOf(true, false, false),
                ),
            ).forEach { case ->
                val script = ArrayDeque(case.watched)
                val store = ScriptedCollections({ none }, { script.removeFirst() })
                val follower = CollectionFollower(store, CollectionName("config"), SplittableRandom(1), CollectionListener({ }, { })) { }
                while (script.isNotEmpty()) follower.step()
                withClue(case.name) { store.staleLists shouldBe case.staleLists }
            }
        }

        // Guards against a list from before a restore, or events after it, that are taken for a continuation.
        test("after a restore the next list is current, and the events of a watch from before it are not used") {
            fun at(era: Long) = StoreRevision(7, StoreEra(era))

            fun events(era: Long) =
                WatchedCollection.Events(listOf(CollectionEvent(CollectionItem("main", at(era), "event"), deleted = false)), at(era))
            class Case(
                val name: String,
                val lists: List<Long>,
                val watches: List<Long>,
                val staleLists: List<Boolean>,
                val seen: List<String>,
            )
            listOf(
                Case("never restored", listOf(0), listOf(0), listOf(true), listOf("list", "event")),
                Case("restored before the first list", listOf(1, 1), listOf(1), listOf(true, false), listOf("list", "event")),
                Case("restored during a watch", listOf(0, 1), listOf(1, 1), listOf(true, false), listOf("list", "list", "event")),
                Case(
                    "restored twice",
                    listOf(0, 1, 2),
                    listOf(1, 2, 2),
                    listOf(true, false, false),
                    listOf("list", "list", "list", "event"),
                ),
            ).forEach { case ->
                val seen = mutableListOf<String>()
                val lists = ArrayDeque(case.lists)
                val watches = ArrayDeque(case.watches)
                val store =
                    ScriptedCollections({ ListedCollection.Items(emptyList(), at(lists.removeFirst())) }, { events(watches.removeFirst()) })
                val listener = CollectionListener({ seen += "list" }, { seen += it.item.text })
                val follower = CollectionFollower(store, CollectionName("config"), SplittableRandom(1), listener) { }
                while (watches.isNotEmpty()) follower.step()
                withClue(case.name) {
                    store.staleLists shouldBe case.staleLists
                    seen shouldBe case.seen
                }
            }
        }
    })
