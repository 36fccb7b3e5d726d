import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;

/** Reads from a socket until a point in time of the record. */
final class TimedInput extends InputStream {
    private final Socket socket;
    private final InputStream in;
    private final Record record;
    private final long untilMs;

    TimedInput(Socket socket, InputStream in, Record record, long untilMs) {
        this.socket = socket;
        this.in = in;
        this.record = record;
        this.untilMs = untilMs;
    }

    private void limit() throws IOException {
        long leftMs = untilMs - record.ms();
        if (leftMs <= 0) throw new SocketTimeoutException("time is up");
        socket.setSoTimeout((int) leftMs);
    }

    @Override
    public int read() throws IOException {
        limit();
        return in.read();
    }

    @Override
    public int read(byte[] target, int from, int count) throws IOException {
        limit();
        return in.read(target, from, count);
    }
}
