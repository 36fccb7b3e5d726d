package review;

import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Map;
import java.util.UUID;

/** Stand-in for a client: sends requests to the daemon of its machine, each on a connection of its own or on one that it keeps. */
final class Client implements AutoCloseable {
    private final Site.Machine machine;
    private final Record record;
    private Socket kept;

    Client(Site.Machine machine, Record record) {
        this.machine = machine;
        this.record = record;
    }

    /** Sends a request under a new id and waits for its end, at most {@code deadlineMs}; the connection is kept after a whole answer. */
    Record.Sent send(String host, String method, String path, byte[] body, int deadlineMs) {
        return send(host, method, path, body, deadlineMs, false);
    }

    /** As above; the body is sent in chunks where {@code inChunks}, and with a length otherwise. */
    Record.Sent send(String host, String method, String path, byte[] body, int deadlineMs, boolean inChunks) {
        String id = UUID.randomUUID().toString().substring(0, 16).replace("-", "0");
        Record.Sent one = record.sent(id, machine.name, method + " " + host + path + ", " + body.length + " bytes");
        long until = System.nanoTime() + deadlineMs * 1_000_000L;
        try {
            if (kept == null) {
                kept = new Socket();
                kept.connect(Http.socketAddress(machine.outbound), 1000);
                kept.setTcpNoDelay(true);
            }
            Socket socket = kept;
            Map<String, String> headers = Http.headers("Host", host, "X-Request-Id", id, "X-Deadline-Ms", "" + deadlineMs);
            Thread writer = Http.daemonThread(() -> {
                try {
                    String first = method + " " + path + " HTTP/1.1";
                    if (inChunks) Http.writeChunked(socket.getOutputStream(), first, headers, body);
                    else Http.write(socket.getOutputStream(), first, headers, body);
                } catch (IOException e) {
                    // The answer, or the end of the connection, is seen by the reader.
                }
            });
            socket.setSoTimeout((int) Math.max(1, (until - System.nanoTime()) / 1_000_000));
            Http.Message answer = Http.readHead(socket.getInputStream());
            if (answer == null) throw new EOFException("closed");
            Http.readBody(answer, socket.getInputStream(), true);
            one.answer = answer.body;
            record.answered(one, answer.status(), answer.header("X-Server-Stamp", "no stamp") + ", Retry-After "
                + answer.header("Retry-After", "none"));
            writer.join(1000);
            if (answer.header("Connection", "").equalsIgnoreCase("close")) close();
        } catch (SocketTimeoutException e) {
            record.answered(one, -1, "after " + deadlineMs + " ms");
            close();
        } catch (IOException e) {
            record.answered(one, 0, "without a whole answer: " + e);
            close();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
        return one;
    }

    @Override
    public void close() {
        try {
            if (kept != null) kept.close();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        kept = null;
    }
}
