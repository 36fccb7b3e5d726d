package org.endivestep.emulator

/**
 * The configurations of a run, by their number: 0, 1, and so on. Each sends reads to another service than the one before, and orders
 * always to the same one; it adds a route of its own and drops the one that was added two configurations before.
 */
internal object SoakConfiguration {
    const val HOST = "shop.example"
    private const val FIRST_VERSION = 3
    private const val VERSION_STEP = 2

    fun text(number: Int): String {
        val added = listOf(number - 1, number).filter { it >= 0 }.joinToString("") { "," + rule("/added-$it/", "idempotent", "stock") }
        val rules = rule("/reads/", "idempotent", readService(number)) + "," + rule("/orders/", "non_idempotent", "orders") + added
        return """{"version":"r${FIRST_VERSION + VERSION_STEP * number}","limits":{"max_header_bytes":16384,"max_body_bytes":1048576,""" +
            """"header_timeout_s":3,"idle_timeout_s":15},"listeners":[{"host":"$HOST","rules":[$rules]}],""" +
            """"clusters":[${cluster("stock")},${cluster("orders")}]}"""
    }

    /** Returns the service that the configuration [number] selects for [path], or null when it has no route for it. */
    fun service(number: Int, path: String): String? =
        when {
            path.startsWith("/reads/") -> readService(number)
            path.startsWith("/orders/") -> "orders"
            listOf(number - 1, number).any { it >= 0 && path.startsWith("/added-$it/") } -> "stock"
            else -> null
        }

    private fun readService(number: Int) = if (number % 2 == 0) "stock" else "orders"

    private fun rule(prefix: String, kind: String, service: String) =
        """{"name":"rule$prefix","kind":"$kind","slo_s":0.5,"priority":1,"match":{"path_prefix":"$prefix"},""" +
            """"action":{"service":"$service","timeout_s":2,"attempts":2}}"""

    private fun cluster(name: String) = """{"name":"$name","health_path":"/health","cold_start_s":0.0,"cold_per_s":1000.0}"""
}
