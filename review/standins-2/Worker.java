import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in for an application worker: it beats to the daemon beside it, runs up to [slots] requests at a time and answers each with
 * its whole body. The query of a request says how long its work takes (work, ms), how long the answer is (bytes) and over what time
 * the worker writes it (over, ms).
 */
final class Worker implements AutoCloseable {
    /** A request that the worker began to work on. */
    record Run(String requestId, String caller, String line, int bodyBytes, long ms) { }

    final String id;
    final String service;
    final Queue<Run> runs = new ConcurrentLinkedQueue<>();
    private final String host;
    private final int port;
    private final String zone;
    private final String control;
    private final int slots;
    private final Record record;
    private final ServerSocket listener;
    private final Semaphore free;
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger waiting = new AtomicInteger();
    private final long born = System.currentTimeMillis();
    private long sequence = 0;
    private volatile boolean closed = false;

    Worker(String id, String service, String zone, String host, int port, String control, int slots, Record record) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.host = host;
        this.port = port;
        this.control = control;
        this.slots = slots;
        this.record = record;
        free = new Semaphore(slots, true);
        listener = new ServerSocket(port, 240, InetAddress.getByName(host));
        start("accept", this::accept);
        start("beat", this::beat);
    }

    private void start(String name, Runnable task) {
        Thread thread = new Thread(task, id + "-" + name);
        thread.setDaemon(true);
        thread.start();
    }

    private void beat() {
        HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        while (!closed) {
            try {
                Map<String, Object> body = new LinkedHashMap<>();
                body.put("service", service);
                body.put("address", host + ":" + port);
                body.put("zone", zone);
                body.put("version", "v1");
                body.put("capacity", slots);
                body.put("state", "ready");
                body.put("cold_left_s", 0);
                body.put("sequence", ++sequence);
                body.put("born", born);
                HttpRequest request =
                    HttpRequest.newBuilder(URI.create("http://" + control + "/-/instances/" + id))
                        .timeout(Duration.ofSeconds(1))
                        .header("Content-Type", "application/json")
                        .PUT(HttpRequest.BodyPublishers.ofString(Json.write(body)))
                        .build();
                client.send(request, HttpResponse.BodyHandlers.ofString());
            } catch (IOException e) {
                // The daemon does not answer; the next beat follows.
            } catch (InterruptedException e) {
                return;
            }
            sleep(1_500);
        }
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = listener.accept();
                start("connection", () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            BufferedOutputStream out = new BufferedOutputStream(socket.getOutputStream(), 65_536);
            Http.Head head;
            while ((head = Http.readHead(in)) != null) answer(head, Http.readBody(in, head), out);
        } catch (IOException | RuntimeException e) {
            if (!closed) record.line("worker " + id + ": connection ended: " + e);
        }
    }

    private String load() {
        return running.get() + "," + waiting.get() + "," + slots + ",100";
    }

    private void answer(Http.Head head, byte[] body, OutputStream out) throws IOException {
        String[] line = head.line().split(" ");
        if (line[1].startsWith("/health")) {
            write(out, "200 OK", "X-Instance-Id: " + id + "\r\nX-Server-Load: " + load() + "\r\n", new byte[0], 0);
            return;
        }
        String requestId = head.header("X-Request-Id");
        String expected = head.header("X-Expect-Instance");
        String echo = "X-Request-Id: " + requestId + "\r\n";
        if (expected != null && !expected.equals(id)) {
            write(out, "421 Misdirected Request", echo + "X-Instance-Id: " + id + "\r\n", new byte[0], 0);
            return;
        }
        if (waiting.get() >= 2 * slots) {
            write(out, "503 Service Unavailable", echo + "X-Not-Run: 1\r\n", new byte[0], 0);
            return;
        }
        waiting.incrementAndGet();
        free.acquireUninterruptibly();
        waiting.decrementAndGet();
        running.incrementAndGet();
        try {
            Run run = new Run(requestId, head.header("X-Caller"), line[0] + " " + line[1], body.length, record.ms());
            runs.add(run);
            record.line("worker " + id + " runs " + requestId + " " + run.line + ", body " + body.length + ", deadline " + head.header("X-Deadline-Ms"));
            sleep(number(line[1], "work", 100));
            byte[] text = bodyOf(requestId, number(line[1], "bytes", 100));
            write(out, "200 OK", echo + "X-Server-Stamp: " + id + "." + requestId + "\r\nX-Server-Load: " + load() + "\r\n", text, number(line[1], "over", 0));
            record.line("worker " + id + " has answered " + requestId);
        } finally {
            running.decrementAndGet();
            free.release();
        }
    }

    /** The body that a worker answers to a request. */
    static byte[] bodyOf(String requestId, int length) {
        byte[] pattern = (requestId + ";").getBytes(StandardCharsets.ISO_8859_1);
        byte[] body = new byte[length];
        for (int i = 0; i < length; i++) body[i] = pattern[i % pattern.length];
        return body;
    }

    static int number(String target, String name, int otherwise) {
        int at = target.indexOf(name + "=");
        if (at < 0) return otherwise;
        String rest = target.substring(at + name.length() + 1);
        int end = rest.indexOf('&');
        return Integer.parseInt(end < 0 ? rest : rest.substring(0, end));
    }

    private static void write(OutputStream out, String status, String headers, byte[] body, int overMs) throws IOException {
        out.write(("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        int parts = overMs == 0 ? 1 : Math.max(1, overMs / 20);
        for (int part = 0; part < parts; part++) {
            int from = (int) ((long) body.length * part / parts);
            int to = (int) ((long) body.length * (part + 1) / parts);
            out.write(body, from, to - from);
            out.flush();
            if (parts > 1) sleep(20);
        }
        out.flush();
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
    }
}
