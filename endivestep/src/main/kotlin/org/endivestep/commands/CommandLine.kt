package org.endivestep.commands

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import org.endivestep.document.DataCentreState
import org.endivestep.settings.hashPassword

private const val DEFAULT_SERVER = "http://127.0.0.1:9003"

/** Name of the command that runs a daemon on the users' platform. */
internal const val PLATFORM_DAEMON = "platform-daemon"

/** Runs the subcommand that [arguments] name. `--help` prints usage and exits with 0. */
@OptIn(ExperimentalCli::class)
internal fun runCommandLine(arguments: Array<String>): ExitCode {
    val parser = ArgParser("endivestep", strictSubcommandOptionsOrder = true)
    var result: ExitCode? = null
    val commands =
        listOf(
            DaemonCommand { result = it },
            PlatformDaemonCommand { result = it },
            CheckCommand { result = it },
            ApplyCommand { result = it },
            GetCommand { result = it },
            DiffCommand { result = it },
            StatusCommand { result = it },
            ChangeStateCommand("drain", "Take a data centre out of service", DataCentreState.OUT) { result = it },
            ChangeStateCommand("restore", "Return a data centre to service", DataCentreState.IN) { result = it },
            AuditCommand { result = it },
            HashPasswordCommand { result = it },
            VersionCommand { result = it },
        )
    parser.subcommands(*commands.toTypedArray())
    parser.parse(if (arguments.isEmpty()) arrayOf("--help") else arguments)
    return result ?: ExitCode.INVALID
}

/** A subcommand; passes its exit code to [onExit]. */
@OptIn(ExperimentalCli::class)
internal abstract class Command(name: String, description: String, private val onExit: (ExitCode) -> Unit) :
    Subcommand(name, description) {
    final override fun execute() = onExit(run())

    abstract fun run(): ExitCode
}

/** A subcommand that calls a daemon's admin port. */
internal abstract class ClientCommand(name: String, description: String, onExit: (ExitCode) -> Unit) : Command(name, description, onExit) {
    private val server by option(ArgType.String, description = "URL of a daemon's admin port").default(DEFAULT_SERVER)
    private val user by option(ArgType.String, description = "Name of the operator; the password is read from ENDIVESTEP_PASSWORD")
        .default(System.getenv("ENDIVESTEP_USER").orEmpty())
    protected val json by option(ArgType.Boolean, description = "Print JSON").default(false)

    final override fun run(): ExitCode = call(AdminClient(server, user, System.getenv("ENDIVESTEP_PASSWORD").orEmpty()))

    abstract fun call(client: AdminClient): ExitCode
}

private class DaemonCommand(onExit: (ExitCode) -> Unit) : Command("daemon", "Run a daemon until SIGTERM", onExit) {
    private val settings by option(ArgType.String, description = "Settings file").required()

    override fun run(): ExitCode = runDaemon(settings)
}

private class PlatformDaemonCommand(onExit: (ExitCode) -> Unit) :
    Command(PLATFORM_DAEMON, "Run a daemon on the platform until SIGTERM", onExit) {
    override fun run(): ExitCode = runPlatformDaemon()
}

private class CheckCommand(onExit: (ExitCode) -> Unit) : Command("check", "Check settings and documents", onExit) {
    private val settings by option(ArgType.String, description = "Settings file")
    private val document by option(ArgType.String, description = "Configuration document")
    private val json by option(ArgType.Boolean, description = "Print JSON").default(false)

    override fun run(): ExitCode = checkFiles(settings, document, json)
}

private class ApplyCommand(onExit: (ExitCode) -> Unit) : ClientCommand("apply", "Submit a configuration document", onExit) {
    private val base by option(ArgType.Int, description = "Version that the document is based on")
    private val change by option(ArgType.String, description = "Id of an earlier submission whose outcome to query")
    private val file by argument(ArgType.String, description = "Configuration document")

    override fun call(client: AdminClient): ExitCode = applyDocument(client, file, base?.toLong(), change, json)
}

private class GetCommand(onExit: (ExitCode) -> Unit) : ClientCommand("get", "Print the configuration in force", onExit) {
    override fun call(client: AdminClient): ExitCode = printConfiguration(client, json)
}

private class DiffCommand(onExit: (ExitCode) -> Unit) : ClientCommand("diff", "Compare a document with the one in force", onExit) {
    private val file by argument(ArgType.String, description = "Configuration document")

    override fun call(client: AdminClient): ExitCode = printDifference(client, file)
}

private class StatusCommand(onExit: (ExitCode) -> Unit) : ClientCommand("status", "Print daemons and request outcomes", onExit) {
    override fun call(client: AdminClient): ExitCode = printStatus(client, json)
}

private class ChangeStateCommand(name: String, description: String, private val state: DataCentreState, onExit: (ExitCode) -> Unit) :
    ClientCommand(name, description, onExit) {
    private val dataCentre by argument(ArgType.String, fullName = "data-centre", description = "Name of the data centre")

    override fun call(client: AdminClient): ExitCode = changeDataCentreState(client, dataCentre, state, json)
}

private class AuditCommand(onExit: (ExitCode) -> Unit) : ClientCommand("audit", "Print latest changes and refused sign-ins", onExit) {
    private val last by option(ArgType.Int, description = "Number of entries").default(20)

    override fun call(client: AdminClient): ExitCode = printAudit(client, last, json)
}

private class HashPasswordCommand(onExit: (ExitCode) -> Unit) :
    Command("hash-password", "Read a password from standard input and print its hash for the settings", onExit) {
    override fun run(): ExitCode {
        val password = readlnOrNull().orEmpty()
        if (password.isEmpty()) return ExitCode.INVALID
        println(hashPassword(password))
        return ExitCode.SUCCESS
    }
}

private class VersionCommand(onExit: (ExitCode) -> Unit) : Command("version", "Print the version", onExit) {
    override fun run(): ExitCode {
        println("endivestep " + productVersion())
        return ExitCode.SUCCESS
    }
}

/** Returns the version that the build wrote into the jar. */
internal fun productVersion(): String =
    Command::class.java.getResource("/endivestep-version.txt")?.readText()?.trim() ?: "unknown"
