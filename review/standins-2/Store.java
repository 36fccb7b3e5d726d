import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stand-in for the platform's metadata store: objects by kind and name, one revision counter, watches, conditional writes. */
final class Store implements AutoCloseable {
    private record Event(long rev, String kind, Map<String, Object> object, boolean deleted) { }

    private final HttpServer server;
    private final TreeMap<String, Map<String, Object>> objects = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private long revision = 1;

    Store(String host, int port) throws IOException {
        server = HttpServer.create(new InetSocketAddress(host, port), 1024);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "store");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/-/objects/", this::handle);
        server.start();
    }

    /** Creates or replaces an object, as the operator does; returns when the store has acknowledged it. */
    synchronized void put(String kind, String name, Object spec) {
        Map<String, Object> known = objects.get(kind + "/" + name);
        save(kind, name, spec, known == null ? null : known.get("status"), known);
    }

    synchronized void delete(String kind, String name) {
        Map<String, Object> known = objects.remove(kind + "/" + name);
        if (known != null) record(kind, known, true);
    }

    private Map<String, Object> save(String kind, String name, Object spec, Object status, Map<String, Object> known) {
        Map<String, Object> meta = new LinkedHashMap<>();
        meta.put("name", name);
        meta.put("rev", revision + 1);
        meta.put("created_rev", known == null ? revision + 1 : Json.object(known.get("meta")).get("created_rev"));
        meta.put("finalizers", new ArrayList<>());
        meta.put("delete_pending", false);
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("meta", meta);
        object.put("spec", spec);
        object.put("status", status);
        objects.put(kind + "/" + name, object);
        record(kind, object, false);
        return object;
    }

    private void record(String kind, Map<String, Object> object, boolean deleted) {
        history.add(new Event(++revision, kind, object, deleted));
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        try {
            String[] path = exchange.getRequestURI().getPath().substring("/-/objects/".length()).split("/");
            byte[] sent = exchange.getRequestBody().readAllBytes();
            Map<String, Object> body = sent.length == 0 ? new LinkedHashMap<>() : Json.object(Json.parse(new String(sent, "UTF-8")));
            Map<String, String> query = query(exchange.getRequestURI().getQuery());
            Object[] answer = answer(exchange.getRequestMethod(), path, query, body);
            byte[] text = answer[1] == null ? new byte[0] : Json.write(answer[1]).getBytes("UTF-8");
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders((int) answer[0], text.length == 0 ? -1 : text.length);
            if (text.length > 0) exchange.getResponseBody().write(text);
        } catch (InterruptedException | RuntimeException e) {
            exchange.sendResponseHeaders(400, -1);
        } finally {
            exchange.close();
        }
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new LinkedHashMap<>();
        if (text == null) return query;
        for (String part : text.split("&")) {
            int equals = part.indexOf('=');
            if (equals > 0) query.put(part.substring(0, equals), part.substring(equals + 1));
        }
        return query;
    }

    private Object[] answer(String method, String[] path, Map<String, String> query, Map<String, Object> body) throws InterruptedException {
        String kind = path[0];
        if (method.equals("GET") && path.length == 1) return query.containsKey("watch") ? watch(kind, query) : list(kind, query);
        return change(method, kind, path, query, body);
    }

    private synchronized Object[] list(String kind, Map<String, String> query) {
        List<Object> items = new ArrayList<>();
        objects.forEach((key, object) -> {
            String after = kind + "/" + query.getOrDefault("after", "");
            if (key.startsWith(kind + "/") && key.compareTo(after) > 0) items.add(object);
        });
        Map<String, Object> page = new LinkedHashMap<>();
        page.put("items", items);
        page.put("more", false);
        page.put("at", revision);
        return new Object[] {200, page};
    }

    private synchronized Object[] watch(String kind, Map<String, String> query) throws InterruptedException {
        long since = Long.parseLong(query.get("watch"));
        long untilMs = System.nanoTime() / 1_000_000 + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        while (true) {
            List<Object> events = new ArrayList<>();
            for (Event event : history) {
                if (event.rev <= since || !event.kind.equals(kind)) continue;
                Map<String, Object> shown = new LinkedHashMap<>();
                shown.put("object", event.object);
                shown.put("deleted", event.deleted);
                events.add(shown);
            }
            long leftMs = untilMs - System.nanoTime() / 1_000_000;
            if (!events.isEmpty() || leftMs <= 0) {
                Map<String, Object> answer = new LinkedHashMap<>();
                answer.put("events", events);
                answer.put("at", revision);
                return new Object[] {200, answer};
            }
            wait(leftMs);
        }
    }

    private synchronized Object[] change(String method, String kind, String[] path, Map<String, String> query, Map<String, Object> body) {
        Map<String, Object> meta = Json.object(body.get("meta"));
        String name = path.length > 1 ? path[1] : String.valueOf(meta.get("name"));
        Map<String, Object> known = objects.get(kind + "/" + name);
        if (method.equals("POST")) return known != null ? new Object[] {409, known} : saved(kind, name, body.get("spec"), null, null);
        if (known == null) return new Object[] {404, null};
        if (method.equals("GET")) return new Object[] {200, known};
        Object expected = query.containsKey("rev") ? Long.valueOf(query.get("rev")) : meta.get("rev");
        if (expected != null && !expected.equals(Json.object(known.get("meta")).get("rev"))) return new Object[] {409, known};
        if (method.equals("DELETE")) {
            delete(kind, name);
            return new Object[] {200, known};
        }
        boolean ofStatus = path.length > 2;
        Object spec = ofStatus ? known.get("spec") : body.get("spec");
        Object status = ofStatus ? body.get("status") : known.get("status");
        return saved(kind, name, spec, status, known);
    }

    private Object[] saved(String kind, String name, Object spec, Object status, Map<String, Object> known) {
        return new Object[] {200, save(kind, name, spec, status, known)};
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
