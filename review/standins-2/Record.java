import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, with the time in ms since the start, in record.txt. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    long ms() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void line(String text) {
        out.println(String.format("%7d ", ms()) + text);
    }

    @Override
    public void close() {
        out.close();
    }
}
