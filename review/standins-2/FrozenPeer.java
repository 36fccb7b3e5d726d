import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;

/**
 * A daemon stands still for 3.5 s while it passes on answers. The requests in flight through it come from clients of another machine,
 * which is in touch all the time. TROUBLE=0 leaves out the freeze.
 */
final class FrozenPeer {
    private static final String HOST = "shop.example";
    private static final int REQUESTS = 12;
    private static final long FREEZE_MS = 3_500;
    private static final long TIMEOUT_MS = 1_500;

    private static final String CONFIGURATION =
        """
        {"version":"r3","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},
        "listeners":[{"host":"shop.example","rules":[{"name":"history","kind":"idempotent","slo_s":1.0,"priority":2,
        "match":{"path_prefix":"/history/"},"action":{"service":"history","timeout_s":1.5,"attempts":2}}]}],
        "clusters":[{"name":"history","health_path":"/health","max_conns":240,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":100},
        {"name":"shop","health_path":"/health","max_conns":240,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":100}]}
        """;

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
            Fleet.Machine back = fleet.add("back", "b", "history");
            fleet.store.put("config", "main", Json.parse(CONFIGURATION));
            if (!fleet.start(18, 40_000)) return 2;
            if (!warmUp(front, record)) return 2;
            List<Client.Answer> answers = new ArrayList<>();
            List<Thread> threads = new ArrayList<>();
            CountDownLatch begin = new CountDownLatch(1);
            for (int i = 0; i < REQUESTS; i++) {
                String id = "h" + i;
                Thread thread = new Thread(() -> {
                    try (Client client = new Client(front.outbound(), record)) {
                        client.send("GET", HOST, "/history/1?work=100&bytes=400", "w" + id, new byte[0], 4_000);
                        begin.await();
                        Client.Answer answer = client.send("GET", HOST, "/history/" + id + "?work=200&bytes=300000&over=600", id, new byte[0], 8_000);
                        synchronized (answers) {
                            answers.add(answer);
                        }
                    } catch (InterruptedException e) {
                        record.line("interrupted");
                    }
                });
                threads.add(thread);
                thread.start();
            }
            // The daemon that takes the requests must have run for contact_s (3 s) before them.
            Thread.sleep(4_000);
            begin.countDown();
            Thread.sleep(500);
            if (trouble) back.signal("STOP");
            Thread.sleep(FREEZE_MS);
            if (trouble) back.signal("CONT");
            for (Thread thread : threads) thread.join();
            return judge(answers, record);
        }
    }

    private static boolean warmUp(Fleet.Machine front, Record record) throws InterruptedException {
        try (Client client = new Client(front.outbound(), record)) {
            for (int i = 0; i < 40; i++) {
                if (client.send("GET", HOST, "/history/warm?work=20&bytes=400", "warm" + i, new byte[0], 1_500).status == 200) return true;
                Thread.sleep(500);
            }
        }
        return false;
    }

    // The rule: of the requests that are still unanswered at their route's timeout_s, more than half have no answer half a second later.
    private static int judge(List<Client.Answer> answers, Record record) {
        long unanswered = answers.stream().filter(it -> it.ms > TIMEOUT_MS).count();
        long late = answers.stream().filter(it -> it.ms > TIMEOUT_MS + 500).count();
        long whole = answers.stream().filter(it -> it.status == 200 && it.bodyIsRight).count();
        boolean broken = late >= 8 && late * 2 > unanswered;
        record.line(whole + " whole answers; unanswered at timeout_s: " + unanswered + ", still half a second later: " + late);
        record.line(broken ? "BROKEN: CONFIG" : "held");
        System.out.println(whole + " whole answers; unanswered at timeout_s: " + unanswered + ", still half a second later: " + late);
        return broken ? 1 : 0;
    }
}
