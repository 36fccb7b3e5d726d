package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in for an application worker: it runs requests, tells its load and its health, and sends heartbeats to the daemon on its
 * machine. What a request does is the {@link Work} that is passed.
 */
final class Worker {
    /** Runs one request. */
    interface Work {
        /** Returns the body of the answer. */
        String run(Http.Message request) throws IOException, InterruptedException;
    }

    /** Handles a request before its body is read; returns whether it took over the connection. */
    interface HeadHook {
        boolean take(Http.Message head, Socket socket) throws IOException, InterruptedException;
    }

    static final long HEARTBEAT_MS = 1500;

    final Site.Machine machine;
    volatile String id;
    final int slots;
    private final Record record;
    private final Work work;
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger sequence = new AtomicInteger();
    private volatile HeadHook headHook = (head, socket) -> false;
    private volatile Http.Server server;
    private volatile long bornMs;
    private volatile long coldUntilNanos = Long.MIN_VALUE;
    private volatile String state = "ready";

    Worker(Site.Machine machine, String id, int slots, Record record, Work work) {
        this.machine = machine;
        this.id = id;
        this.slots = slots;
        this.record = record;
        this.work = work;
    }

    void onHead(HeadHook hook) {
        headHook = hook;
    }

    /** Starts the worker, cold for {@code coldMs}, under its id. */
    synchronized void start(long coldMs) throws IOException {
        bornMs = System.currentTimeMillis();
        sequence.set(0);
        running.set(0);
        state = "ready";
        turnCold(coldMs);
        server = new Http.Server(machine.app, this::serve);
        Http.Server started = server;
        Http.daemonThread(() -> beat(started));
    }

    /** Ends the worker at once, with its connections and heartbeats. */
    synchronized void crash() {
        Http.Server ended = server;
        server = null;
        if (ended != null) ended.close();
    }

    boolean isUp() {
        return server != null;
    }

    /** Waits until a heartbeat was just sent. */
    void awaitHeartbeat() throws InterruptedException {
        int before = sequence.get();
        while (sequence.get() == before) Thread.sleep(5);
    }

    void turnCold(long coldMs) {
        coldUntilNanos = System.nanoTime() + coldMs * 1_000_000;
    }

    boolean isCold() {
        return coldLeftMs() > 0;
    }

    private long coldLeftMs() {
        return Math.max(0, (coldUntilNanos - System.nanoTime()) / 1_000_000);
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        while (true) {
            Http.Message request = Http.readHead(socket.getInputStream());
            if (request == null) return;
            OutputStream out = socket.getOutputStream();
            if (request.target().equals("/health")) {
                Http.answer(out, state.equals("ready") ? 200 : 503, load("X-Instance-Id", id, "X-Cold-Ms", "" + coldLeftMs()), "");
                continue;
            }
            String requestId = request.header("X-Request-Id", "");
            if (!request.header("X-Expect-Instance", id).equals(id)) {
                Http.readBody(request, socket.getInputStream(), false);
                Http.answer(out, 421, Http.headers("X-Request-Id", requestId, "X-Instance-Id", id, "X-Not-Run", "1"), "");
                continue;
            }
            if (headHook.take(request, socket)) return;
            Http.readBody(request, socket.getInputStream(), false);
            if (running.incrementAndGet() > slots) {
                running.decrementAndGet();
                Http.answer(out, 503, load("X-Request-Id", requestId, "X-Not-Run", "1"), "");
                continue;
            }
            record.ran(requestId, id, request);
            String body;
            try {
                body = work.run(request);
            } finally {
                running.decrementAndGet();
            }
            Http.answer(out, 200, load("X-Request-Id", requestId, "X-Server-Stamp", "stamp." + requestId), body);
            record.ended(requestId, id);
        }
    }

    private Map<String, String> load(String... pairs) {
        Map<String, String> headers = Http.headers(pairs);
        headers.put("X-Server-Load", running.get() + ",0," + slots + ",100");
        headers.put("Keep-Alive", "timeout=10");
        return headers;
    }

    /** Says that it leaves, serves on for {@code servesMs}, deregisters and ends. Returns when the leaving was acknowledged, in the record's time. */
    double leave(long servesMs, boolean saysDraining) throws IOException, InterruptedException {
        double acknowledged;
        if (saysDraining) {
            state = "draining";
            sendHeartbeat();
            acknowledged = record.now();
            record.note("draining  " + id + " acknowledged");
            Thread.sleep(servesMs);
            deregister();
        } else {
            Http.Server serving = server;
            server = null;
            deregister();
            acknowledged = record.now();
            record.note("deleted   " + id + " acknowledged");
            server = serving;
            state = "left";
            Thread.sleep(servesMs);
        }
        crash();
        return acknowledged;
    }

    private void deregister() throws IOException {
        Http.call(machine.control, 1000, "DELETE", "/-/instances/" + id, Http.headers("Host", machine.control), new byte[0]);
    }

    private void beat(Http.Server started) {
        while (server == started && !state.equals("left")) {
            sendHeartbeat();
            try {
                Thread.sleep(HEARTBEAT_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void sendHeartbeat() {
        Map<String, Object> beat = new LinkedHashMap<>();
        beat.put("service", machine.service);
        beat.put("address", machine.app);
        beat.put("zone", machine.zone);
        beat.put("version", "v1");
        beat.put("capacity", slots);
        beat.put("state", state);
        beat.put("cold_left_s", coldLeftMs() / 1000.0);
        beat.put("sequence", sequence.incrementAndGet());
        beat.put("born", bornMs);
        try {
            Http.call(machine.control, 1000, "PUT", "/-/instances/" + id, Http.headers("Host", machine.control, "Content-Type", "application/json"),
                Json.write(beat).getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            record.note("heartbeat of " + id + " not acknowledged: " + e);
        }
    }
}
