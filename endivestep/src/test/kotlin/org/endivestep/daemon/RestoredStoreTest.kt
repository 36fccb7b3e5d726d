package org.endivestep.daemon

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.netty.channel.nio.NioEventLoopGroup
import org.endivestep.configuration.ConfigurationAdoption
import org.endivestep.configuration.Overrides
import org.endivestep.document.LimitSettings
import org.endivestep.document.RetrySettings
import org.endivestep.fakes.RestorableStore
import org.endivestep.http.HttpConnectionPool
import org.endivestep.identity.DataCentreName
import org.endivestep.platform.DocumentDefaults
import org.endivestep.platform.platformStore
import org.endivestep.platform.readOperatorDocument
import org.endivestep.store.CollectionName
import org.endivestep.store.CurrentStoreEra
import org.endivestep.store.StoreReturnDetector
import java.io.Closeable
import java.util.SplittableRandom
import kotlin.time.Duration.Companion.seconds

private val leiden = DataCentreName("leiden")
private val defaults =
    DocumentDefaults(mapOf(leiden to "nl-west"), LimitSettings(1, 1, 0, 3.0, 10, 100), RetrySettings(0.1, 2, 3))

private fun configuration(version: Int, prefix: String = "/a/"): String =
    """{"version":"r$version","clusters":[{"name":"s"}],"listeners":[{"host":"a.example","rules":[
    {"kind":"idempotent","match":{"path_prefix":"$prefix"},"action":{"service":"s","timeout_s":1}}]}]}"""

/** The parts of a daemon that follow the operator's objects in [store]. */
private class FollowingDaemon(store: RestorableStore) : Closeable {
    private val loops = NioEventLoopGroup(1)
    private val era: CurrentStoreEra = CurrentStoreEra { operator.refresh() }
    private val client = platformStore(store.address, HttpConnectionPool(loops, CONNECT_TIMEOUT_MS), STORE_TIMEOUT_MS, era)
    val overrides: Overrides = Overrides(System::currentTimeMillis)
    val adoption =
        ConfigurationAdoption({ name, text -> readOperatorDocument(name, text, defaults) }) { overrides.adopted(it) }
    private val operator: OperatorObjectsFollower = OperatorObjectsFollower(client, SplittableRandom(1), adoption, overrides)
    private val detector = StoreReturnDetector(client, CollectionName("evacuations"), { true }, operator::refresh)

    init {
        operator.start()
        detector.start()
    }

    val isLeidenIn: Boolean get() = overrides.document?.isIn(leiden) == true

    val prefixes: List<String> get() = overrides.document?.routes?.rules.orEmpty().map { it.pathPrefix }

    override fun close() {
        operator.stop()
        detector.stop()
        loops.shutdownGracefully()
    }

    private companion object {
        const val CONNECT_TIMEOUT_MS = 500
        const val STORE_TIMEOUT_MS = 1_000L
    }
}

private suspend fun inForce(clue: String, condition: () -> Boolean) =
    eventually(5.seconds) { withClue(clue) { condition() shouldBe true } }

class RestoredStoreTest :
    FunSpec({
        // Guards against a watch that goes on across a restore: the revision that it watches from was given out again.
        test("a change written after a restore is followed although its revision was given out before") {
            RestorableStore().use { store ->
                store.write("config", "main", configuration(1))
                val copy = store.copy()
                store.write("config", "main", configuration(2))
                store.write("config", "main", configuration(3))
                FollowingDaemon(store).use { daemon ->
                    inForce("version 3") { daemon.adoption.version.number == 3L }
                    store.restore(copy)
                    store.write("config", "main", configuration(5))
                    store.write("other", "object", "{}")
                    inForce("version 5 after the restore; in force is ${daemon.adoption.version}") { daemon.adoption.version.number == 5L }
                }
            }
        }

        // Guards against a confirmed configuration that is ignored because the version was in use before a restore.
        test("a version that is given out again with another content replaces the one from before the restore") {
            RestorableStore().use { store ->
                store.write("config", "main", configuration(1))
                val copy = store.copy()
                store.write("config", "main", configuration(2, "/lost/"))
                FollowingDaemon(store).use { daemon ->
                    inForce("version 2") { daemon.prefixes == listOf("/lost/") }
                    store.restore(copy)
                    store.write("config", "main", configuration(2, "/again/"))
                    inForce("the second content of version 2; routes are ${daemon.prefixes}") { daemon.prefixes == listOf("/again/") }
                }
            }
        }

        // Guards against workers that get requests although the removal of their data centre was confirmed before a restore.
        test("a data centre stays out across a restore, and returns when its object is deleted at a lower revision than before") {
            RestorableStore().use { store ->
                store.write("config", "main", configuration(1))
                val copy = store.copy()
                repeat(20) { store.write("other", "object-$it", "{}") }
                store.write("evacuations", "leiden", "{}")
                FollowingDaemon(store).use { daemon ->
                    inForce("leiden is out") { daemon.overrides.document != null && !daemon.isLeidenIn }
                    store.restore(copy)
                    repeat(30) {
                        withClue("leiden is out after the restore, check $it") { daemon.isLeidenIn shouldBe false }
                        Thread.sleep(100)
                    }
                    store.write("evacuations", "leiden", "{}")
                    store.delete("evacuations", "leiden")
                    inForce("leiden is in") { daemon.isLeidenIn }
                }
            }
        }
    })
