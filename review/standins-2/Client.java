import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** A client with one connection that it keeps for many requests. */
final class Client implements AutoCloseable {
    /** What came back: [status] 0 when no whole answer came within the client's time; [ms] is how long it took. */
    static final class Answer {
        String requestId;
        int status;
        long sentMs;
        long ms;
        int bytes;
        boolean stamped;
        boolean bodyIsRight;

        /** Whether the connection had carried a request before. */
        boolean wasKept;

        /** Whether the daemon closed the connection before a byte of an answer came. */
        boolean closedUnanswered;
        String failure = "";

        @Override
        public String toString() {
            return requestId + " status " + status + " after " + ms + " ms, " + bytes + " bytes" + (failure.isEmpty() ? "" : ", " + failure);
        }
    }

    private final InetSocketAddress address;
    private final Record record;
    private final String headers;
    private Socket socket;
    private BufferedInputStream in;

    Client(InetSocketAddress address, Record record) {
        this(address, record, "");
    }

    /** [headers] are lines that each request bears, each with its end. */
    Client(InetSocketAddress address, Record record, String headers) {
        this.address = address;
        this.record = record;
        this.headers = headers;
    }

    /** Sends one request and waits for its whole answer until [deadlineMs] have passed. */
    Answer send(String method, String host, String target, String requestId, byte[] body, long deadlineMs) {
        Answer answer = new Answer();
        answer.requestId = requestId;
        long sentMs = record.ms();
        answer.sentMs = sentMs;
        record.line("client sends " + requestId + " " + method + " " + target + ", body " + body.length + ", deadline " + deadlineMs);
        try {
            answer.wasKept = socket != null;
            if (socket == null) connect();
            StringBuilder head = new StringBuilder();
            head.append(method).append(' ').append(target).append(" HTTP/1.1\r\nHost: ").append(host).append("\r\nX-Request-Id: ").append(requestId);
            head.append("\r\nX-Deadline-Ms: ").append(deadlineMs).append("\r\n").append(headers);
            if (!method.equals("GET")) head.append("Content-Length: ").append(body.length).append("\r\n");
            socket.getOutputStream().write((head + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(body);
            read(answer, sentMs + deadlineMs);
        } catch (SocketTimeoutException e) {
            answer.failure = "no whole answer before the client's deadline";
            close();
        } catch (IOException e) {
            answer.failure = "the connection ended: " + e.getMessage();
            close();
        }
        answer.ms = record.ms() - sentMs;
        record.line("client has for " + answer);
        return answer;
    }

    private void connect() throws IOException {
        socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(address, 1_000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    private void read(Answer answer, long untilMs) throws IOException {
        TimedInput timed = new TimedInput(socket, in, record, untilMs);
        Http.Head head = Http.readHead(timed);
        if (head == null) {
            answer.closedUnanswered = true;
            throw new IOException("closed without an answer");
        }
        byte[] body = Http.readBody(timed, head);
        answer.status = Integer.parseInt(head.line().split(" ")[1]);
        answer.bytes = body.length;
        answer.stamped = head.header("X-Server-Stamp") != null;
        answer.bodyIsRight = java.util.Arrays.equals(body, Worker.bodyOf(answer.requestId, body.length));
        if ("close".equalsIgnoreCase(head.header("Connection"))) close();
    }

    @Override
    public void close() {
        try {
            if (socket != null) socket.close();
        } catch (IOException e) {
            // It is closed for this client in any case.
        }
        socket = null;
    }
}
