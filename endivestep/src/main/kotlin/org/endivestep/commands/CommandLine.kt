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

/** Runs the command that [arguments] name. `--help` prints usage and exits with 0. */
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
            StateCommand("drain", "Take a data centre out", DataCentreState.OUT) { result = it },
            StateCommand("restore", "Bring a data centre back", DataCentreState.IN) { result = it },
            AuditCommand { result = it },
            HashPasswordCommand { result = it },
            VersionCommand { result = it },
        )
    parser.subcommands(*commands.toTypedArray())
    parser.parse(if (arguments.isEmpty()) arrayOf("--help") else arguments)
    return result ?: ExitCode.INVALID
}

/** One verb; hands its exit code to [done]. */
@OptIn(ExperimentalCli::class)
internal abstract class Command(name: String, description: String, private val done: (ExitCode) -> Unit) :
    Subcommand(name, description) {
    final override fun execute() = done(run())

    abstract fun run(): ExitCode
}

/** A verb that calls a daemon's admin port. */
internal abstract class ClientCommand(name: String, description: String, done: (ExitCode) -> Unit) : Command(name, description, done) {
    private val server by option(ArgType.String, description = "Admin port of a daemon").default(DEFAULT_SERVER)
    private val user by option(ArgType.String, description = "Operator; the password is read from ENDIVESTEP_PASSWORD")
        .default(System.getenv("ENDIVESTEP_USER").orEmpty())
    protected val json by option(ArgType.Boolean, description = "Print JSON").default(false)

    final override fun run(): ExitCode = call(AdminClient(server, user, System.getenv("ENDIVESTEP_PASSWORD").orEmpty()))

    abstract fun call(client: AdminClient): ExitCode
}

private class DaemonCommand(done: (ExitCode) -> Unit) : Command("daemon", "Run a daemon until SIGTERM", done) {
    private val settings by option(ArgType.String, description = "Settings file").required()

    override fun run(): ExitCode = runDaemon(settings)
}

private class PlatformDaemonCommand(done: (ExitCode) -> Unit) :
    Command("platform-daemon", "Run a daemon on the users' platform until SIGTERM", done) {
    override fun run(): ExitCode = runPlatformDaemon()
}

private class CheckCommand(done: (ExitCode) -> Unit) : Command("check", "Check settings and documents", done) {
    private val settings by option(ArgType.String, description = "Settings file")
    private val document by option(ArgType.String, description = "Configuration document")
    private val json by option(ArgType.Boolean, description = "Print JSON").default(false)

    override fun run(): ExitCode = checkFiles(settings, document, json)
}

private class ApplyCommand(done: (ExitCode) -> Unit) : ClientCommand("apply", "Submit a configuration document", done) {
    private val base by option(ArgType.Int, description = "Version that the document was made from")
    private val change by option(ArgType.String, description = "Id of an earlier submission, to ask what became of it")
    private val file by argument(ArgType.String, description = "Configuration document")

    override fun call(client: AdminClient): ExitCode = applyDocument(client, file, base?.toLong(), change, json)
}

private class GetCommand(done: (ExitCode) -> Unit) : ClientCommand("get", "Print the configuration in force", done) {
    override fun call(client: AdminClient): ExitCode = printConfiguration(client, json)
}

private class DiffCommand(done: (ExitCode) -> Unit) : ClientCommand("diff", "Compare a document with the one in force", done) {
    private val file by argument(ArgType.String, description = "Configuration document")

    override fun call(client: AdminClient): ExitCode = printDifference(client, file)
}

private class StatusCommand(done: (ExitCode) -> Unit) : ClientCommand("status", "Print daemons and outcomes", done) {
    override fun call(client: AdminClient): ExitCode = printStatus(client, json)
}

private class StateCommand(name: String, description: String, private val state: DataCentreState, done: (ExitCode) -> Unit) :
    ClientCommand(name, description, done) {
    private val dataCentre by argument(ArgType.String, fullName = "data-centre", description = "Name of the data centre")

    override fun call(client: AdminClient): ExitCode = changeState(client, dataCentre, state, json)
}

private class AuditCommand(done: (ExitCode) -> Unit) : ClientCommand("audit", "Print the last changes", done) {
    private val last by option(ArgType.Int, description = "How many changes").default(20)

    override fun call(client: AdminClient): ExitCode = printAudit(client, last, json)
}

private class HashPasswordCommand(done: (ExitCode) -> Unit) :
    Command("hash-password", "Read a password from standard input and print its hash for the settings", done) {
    override fun run(): ExitCode {
        val password = readlnOrNull().orEmpty()
        if (password.isEmpty()) return ExitCode.INVALID
        println(hashPassword(password))
        return ExitCode.SUCCESS
    }
}

private class VersionCommand(done: (ExitCode) -> Unit) : Command("version", "Print the version", done) {
    override fun run(): ExitCode {
        println("endivestep " + productVersion())
        return ExitCode.SUCCESS
    }
}

/** Returns the version that the build wrote into the program. */
internal fun productVersion(): String =
    Command::class.java.getResource("/endivestep-version.txt")?.readText()?.trim() ?: "unknown"
