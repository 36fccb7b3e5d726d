import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Daemons beside workers are killed one after the other, each after the one before has been back for seconds. The requests come from
 * clients of another machine, which is in touch all the time. TROUBLE=0 leaves out the kills.
 */
final class KilledPeer {
    private static final String HOST = "shop.example";
    private static final int CLIENTS = 80;
    private static final int KILLS = 15;
    private static final long BACK_AFTER_MS = 500;
    private static final long PAUSE_MS = 3_500;
    private static final int ALLOWED = 3;

    private static final String CONFIGURATION =
        """
        {"version":"r3","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},
        "listeners":[{"host":"shop.example","rules":[{"name":"history","kind":"idempotent","slo_s":1.0,"priority":2,
        "match":{"path_prefix":"/history/"},"action":{"service":"history","timeout_s":3,"attempts":2}}]}],
        "clusters":[{"name":"history","health_path":"/health","max_conns":240,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":100},
        {"name":"shop","health_path":"/health","max_conns":240,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":100}]}
        """;

    private static volatile boolean ended = false;

    public static void main(String[] arguments) {
        int result = 2;
        try {
            result = run(Path.of(arguments[0]), !"0".equals(System.getenv("TROUBLE")));
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private static int run(Path file, boolean trouble) throws Exception {
        Map<String, String> parameters = new TreeMap<>(Map.of("retry_ratio", "0.2", "retry_slack", "60", "grace_s", "6", "contact_s", "3"));
        try (Record record = new Record(file); Fleet fleet = new Fleet(record, parameters, false)) {
            Fleet.Machine front = fleet.add("front", "a", "shop");
            List<Fleet.Machine> backs = new ArrayList<>();
            for (int i = 1; i <= 3; i++) backs.add(fleet.add("back-" + i, "b", "history"));
            fleet.store.put("config", "main", Json.parse(CONFIGURATION));
            if (!fleet.start(18, 40_000)) return 2;
            Thread.sleep(5_000);
            Map<String, Client.Answer> answers = new ConcurrentHashMap<>();
            List<Thread> threads = new ArrayList<>();
            AtomicInteger number = new AtomicInteger();
            for (int i = 0; i < CLIENTS; i++) {
                Thread thread = new Thread(() -> request(front, number, answers, record));
                threads.add(thread);
                thread.start();
            }
            Thread.sleep(2_000);
            for (int i = 0; i < KILLS; i++) {
                Fleet.Machine back = backs.get(i % backs.size());
                if (trouble) back.signal("KILL");
                Thread.sleep(BACK_AFTER_MS);
                if (trouble) back.startDaemon();
                Thread.sleep(PAUSE_MS);
            }
            ended = true;
            for (Thread thread : threads) thread.join();
            return judge(backs, answers, record);
        }
    }

    private static void request(Fleet.Machine front, AtomicInteger number, Map<String, Client.Answer> answers, Record record) {
        try (Client client = new Client(front.outbound(), record)) {
            while (!ended) {
                String id = "h" + number.incrementAndGet();
                Client.Answer answer = client.send("GET", HOST, "/history/" + id + "?work=10&bytes=60000", id, new byte[0], 3_000);
                answers.put(id, answer);
                if (answer.status != 200) Thread.sleep(100);
            }
        } catch (InterruptedException e) {
            record.line("interrupted");
        }
    }

    // The rule: passed on from a kept connection to a sound worker, and the connection closed without an answer, more than three times.
    private static int judge(List<Fleet.Machine> backs, Map<String, Client.Answer> answers, Record record) {
        Set<String> ran = new HashSet<>();
        backs.forEach(back -> back.worker.runs.forEach(run -> ran.add(run.requestId())));
        long lost = answers.values().stream().filter(it -> it.closedUnanswered && it.wasKept && ran.contains(it.requestId)).count();
        long whole = answers.values().stream().filter(it -> it.status == 200 && it.bodyIsRight).count();
        String text = answers.size() + " requests, " + whole + " whole answers; passed on and closed without an answer: " + lost + ", allowed: " + ALLOWED;
        record.line(text);
        record.line(lost > ALLOWED ? "BROKEN: LOST" : "held");
        System.out.println(text);
        return lost > ALLOWED ? 1 : 0;
    }
}
