package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What was sent, run and answered, with times in seconds since the start; written to record.txt. Thread-safe. */
final class Record implements AutoCloseable {
    /** A run of a request at a worker. */
    static final class Run {
        final String request;
        final String worker;
        final double at;
        volatile double endedAt = -1;

        private Run(String request, String worker, double at) {
            this.request = request;
            this.worker = worker;
            this.at = at;
        }
    }

    /** A request of a client and its end; the status is 0 when the connection ended without a whole answer, -1 when the client gave up. */
    static final class Sent {
        final String request;
        final String machine;
        final double at;
        volatile double endedAt = -1;
        volatile int status = -2;
        volatile String detail = "";
        volatile byte[] answer = new byte[0];

        private Sent(String request, String machine, double at) {
            this.request = request;
            this.machine = machine;
            this.at = at;
        }
    }

    private final long startNanos = System.nanoTime();
    private final PrintWriter file;
    final List<Run> runs = new ArrayList<>();
    final List<Sent> sent = new ArrayList<>();

    Record(Path path) throws IOException {
        file = new PrintWriter(Files.newBufferedWriter(path), true);
    }

    double now() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void note(String text) {
        file.printf("%8.3f  %s%n", now(), text);
    }

    synchronized Sent sent(String request, String machine, String what) {
        Sent one = new Sent(request, machine, now());
        sent.add(one);
        note("sent      " + request + " to " + machine + ": " + what);
        return one;
    }

    synchronized void answered(Sent one, int status, String detail) {
        one.endedAt = now();
        one.status = status;
        one.detail = detail;
        note("answered  " + one.request + ": " + (status == 0 ? "connection ended" : status == -1 ? "client gave up" : "" + status) + " " + detail);
    }

    synchronized Run ran(String request, String worker, Http.Message message) {
        Run run = new Run(request, worker, now());
        runs.add(run);
        note("runs      " + request + " at " + worker + ": " + message.first + ", deadline " + message.header("X-Deadline-Ms", "none"));
        return run;
    }

    synchronized void ended(String request, String worker) {
        for (Run run : runs) if (run.request.equals(request) && run.worker.equals(worker)) run.endedAt = now();
        note("run ends  " + request + " at " + worker);
    }

    synchronized List<Run> runs() {
        return new ArrayList<>(runs);
    }

    synchronized List<Sent> sent() {
        return new ArrayList<>(sent);
    }

    @Override
    public synchronized void close() {
        file.close();
    }
}
