package review;

import java.io.IOException;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in for the platform's metadata store: objects by kind and name, one revision counter, and watches. */
final class Store {
    private record Change(String kind, Map<String, Object> object, boolean deleted, long rev) {}

    private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new HashMap<>();
    private final List<Change> history = new ArrayList<>();
    private long rev = 100;

    Store(String address) throws IOException {
        new Http.Server(address, this::serve);
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        while (true) {
            Http.Message request = Http.readHead(socket.getInputStream());
            if (request == null) return;
            Http.readBody(request, socket.getInputStream(), false);
            Object[] answer = answer(request);
            Http.answer(socket.getOutputStream(), (Integer) answer[0], Http.headers("Content-Type", "application/json"), (String) answer[1]);
        }
    }

    private Object[] answer(Http.Message request) throws InterruptedException {
        String target = request.target();
        String path = target.split("\\?")[0];
        String[] parts = path.substring("/-/objects/".length()).split("/");
        Map<String, String> query = new HashMap<>();
        if (target.contains("?")) {
            for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
                int equals = pair.indexOf('=');
                if (equals > 0) query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        String body = new String(request.body, StandardCharsets.UTF_8);
        switch (request.method()) {
            case "GET":
                if (parts.length > 1) return get(parts[0], parts[1]);
                return query.containsKey("watch")
                    ? watch(parts[0], Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("wait_ms", "0")))
                    : list(parts[0], query.getOrDefault("after", ""));
            case "POST":
                return create(parts[0], body);
            case "PUT":
                return put(parts[0], parts[1], body);
            default:
                return delete(parts[0], parts[1]);
        }
    }

    private synchronized Object[] list(String kind, String after) {
        List<Object> items = new ArrayList<>(objects(kind).tailMap(after, false).values());
        return new Object[] {200, Json.write(Map.of("items", items, "more", false, "at", rev))};
    }

    private synchronized Object[] get(String kind, String name) {
        Map<String, Object> object = objects(kind).get(name);
        return object == null ? new Object[] {404, "{}"} : new Object[] {200, Json.write(object)};
    }

    private synchronized Object[] watch(String kind, long since, long waitMs) throws InterruptedException {
        long until = System.nanoTime() + waitMs * 1_000_000;
        while (true) {
            List<Object> events = new ArrayList<>();
            for (Change change : history) {
                if (change.rev > since && change.kind.equals(kind)) events.add(Map.of("object", change.object, "deleted", change.deleted));
            }
            long leftMs = (until - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || leftMs <= 0) return new Object[] {200, Json.write(Map.of("events", events, "at", rev))};
            wait(leftMs);
        }
    }

    private Object[] create(String kind, String body) {
        Map<String, Object> given = Json.object(body);
        @SuppressWarnings("unchecked")
        String name = ((Map<String, Object>) given.get("meta")).get("name").toString();
        synchronized (this) {
            if (objects(kind).containsKey(name)) return new Object[] {409, Json.write(objects(kind).get(name))};
            return new Object[] {200, Json.write(record(kind, name, given.get("spec"), false))};
        }
    }

    private synchronized Object[] put(String kind, String name, String body) {
        Map<String, Object> known = objects(kind).get(name);
        if (known == null) return new Object[] {404, "{}"};
        Map<String, Object> given = Json.object(body);
        @SuppressWarnings("unchecked")
        Object expected = given.get("meta") == null ? null : ((Map<String, Object>) given.get("meta")).get("rev");
        @SuppressWarnings("unchecked")
        Object actual = ((Map<String, Object>) known.get("meta")).get("rev");
        if (expected != null && !expected.equals(actual)) return new Object[] {409, Json.write(known)};
        if (java.util.Objects.equals(known.get("spec"), given.get("spec"))) return new Object[] {200, Json.write(known)};
        return new Object[] {200, Json.write(record(kind, name, given.get("spec"), false))};
    }

    private synchronized Object[] delete(String kind, String name) {
        if (!objects(kind).containsKey(name)) return new Object[] {404, "{}"};
        record(kind, name, objects(kind).get(name).get("spec"), true);
        return new Object[] {200, "{}"};
    }

    private TreeMap<String, Map<String, Object>> objects(String kind) {
        return kinds.computeIfAbsent(kind, k -> new TreeMap<>());
    }

    private Map<String, Object> record(String kind, String name, Object spec, boolean deleted) {
        rev++;
        Map<String, Object> meta = new LinkedHashMap<>();
        meta.put("name", name);
        meta.put("rev", rev);
        meta.put("created_rev", rev);
        meta.put("finalizers", List.of());
        meta.put("delete_pending", false);
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("meta", meta);
        object.put("spec", spec);
        object.put("status", null);
        if (deleted) objects(kind).remove(name);
        else objects(kind).put(name, object);
        history.add(new Change(kind, object, deleted, rev));
        notifyAll();
        return object;
    }

    /** What the operator writes; the return is the acknowledgement. */
    synchronized void write(String kind, String name, Object spec) {
        record(kind, name, spec, false);
    }

    synchronized void remove(String kind, String name) {
        record(kind, name, null, true);
    }
}
