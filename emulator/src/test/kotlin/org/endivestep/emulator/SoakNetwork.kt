package org.endivestep.emulator

import org.endivestep.fakes.LinkFault
import org.endivestep.fakes.TcpProxy
import java.io.Closeable
import java.net.InetAddress
import java.net.InetSocketAddress
import java.nio.file.Files

/**
 * Loopback network in which the path between any two daemons, and from each daemon to the store, is a proxy.
 *
 * A daemon announces its address to the others by a host name. Each daemon has a hosts file of its own, in which that name stands for
 * 127.0.0.1 on the VM itself, and for the listening address of the proxy on another one.
 */
internal class SoakNetwork(private val nodes: List<PlatformNode>, storePort: Int) : Closeable {
    private val directory = Files.createTempDirectory("soak-hosts").toFile()
    private val links =
        nodes.flatMap { from -> nodes.filter { it != from }.map { from to it } }.associateWith { (from, to) ->
            PeerLink(addressOf(from, to), to.innerPort)
        }
    private val storeLinks =
        nodes.associateWith {
            TcpProxy(InetSocketAddress(InetAddress.getLoopbackAddress(), storePort), InetSocketAddress(storeAddressOf(it), storePort))
        }

    val asFleetNetwork = FleetNetwork(::hostOf, STORE_HOST, ::javaOptions)

    init {
        links.forEach { (ends, link) -> link.forwardDatagrams(links.getValue(ends.second to ends.first)) }
        nodes.forEach { directory.resolve(it.vm).writeText(hostsFileOf(it)) }
    }

    /** Applies [fault] to the paths between [node] and all other daemons. */
    fun disturbPeers(node: PlatformNode, fault: PathFaults) {
        links.forEach { (ends, link) ->
            if (ends.first == node) link.tcp.fault = fault.there
            if (ends.second == node) link.tcp.fault = fault.back
        }
    }

    fun resetPeers(node: PlatformNode) = links.filterKeys { node in it.toList() }.values.forEach { it.tcp.resetConnections() }

    fun disturbStore(affected: List<PlatformNode>, fault: LinkFault) = affected.forEach { storeLinks.getValue(it).fault = fault }

    fun resetStore(affected: List<PlatformNode>) = affected.forEach { storeLinks.getValue(it).resetConnections() }

    override fun close() {
        links.values.forEach { it.close() }
        storeLinks.values.forEach { it.close() }
        directory.deleteRecursively()
    }

    private fun hostOf(node: PlatformNode) = "${node.vm}.soak"

    private fun hostsFileOf(node: PlatformNode): String =
        nodes.joinToString("\n", postfix = "\n") { "${addressOf(node, it).hostAddress} ${hostOf(it)}" } +
            "${storeAddressOf(node).hostAddress} $STORE_HOST\n"

    private fun javaOptions(node: PlatformNode) = "-Djdk.net.hosts.file=${directory.resolve(node.vm).path}"

    private fun addressOf(from: PlatformNode, to: PlatformNode): InetAddress =
        InetAddress.getByName(if (from == to) "127.0.0.1" else "127.1.${nodes.indexOf(from) + 1}.${nodes.indexOf(to) + 1}")

    private fun storeAddressOf(node: PlatformNode): InetAddress = InetAddress.getByName("127.2.0.${nodes.indexOf(node) + 1}")

    private companion object {
        const val STORE_HOST = "store.soak"
    }
}
