package org.endivestep.commands

/** Exit codes of all commands. */
internal enum class ExitCode(val code: Int) {
    SUCCESS(0),

    /** The command failed, for example because a port is in use or a daemon stopped with requests in flight. */
    FAILURE(1),

    /** Invalid settings, document or command line arguments. */
    INVALID(2),

    /** Another change was accepted first. */
    LOST_RACE(3),

    /** The store has not confirmed yet whether the change was written. */
    PENDING(4),

    /** The daemon did not answer. */
    UNREACHABLE(5),

    /** The daemon refused the sign-in. */
    UNAUTHORIZED(6),
}
