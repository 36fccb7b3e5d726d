package review;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** BUDGET: a request crashes the worker that runs it and comes again; the worker is back after 3 s under the id that it had. */
final class PoisonCase {
    private static final byte[] POISON = "payout 4711".getBytes(StandardCharsets.UTF_8);
    private static final double CONTACT_S = 3;

    /** Whether the worker comes back under a new id, to compare. */
    private static final boolean NEW_IDS = "1".equals(System.getenv("NEW_IDS"));

    private PoisonCase() {}

    static int run(Path folder, boolean trouble) throws Exception {
        try (Record record = new Record(folder.resolve("record.txt")); Site site = new Site()) {
            List<Double> crashes = new ArrayList<>();
            // A machine whose clients order payouts, the one worker for payouts that is left, and another machine.
            String[] zones = {"agadir", "inezgane", "taroudant"};
            String[] services = {"vitrine", "caisse", "livraison"};
            Worker[] workers = new Worker[zones.length];
            for (int i = 0; i < zones.length; i++) {
                Site.Machine machine = site.machine("sidecar-" + zones[i] + "-" + (i + 1), zones[i], services[i]);
                int number = i;
                workers[i] = new Worker(machine, "i-" + i, 6, record, request -> {
                    if (trouble && new String(request.body, StandardCharsets.UTF_8).equals("payout 4711")) crash(workers[number], record, crashes);
                    Thread.sleep(210);
                    return "done";
                });
            }
            site.start(Site.configuration(
                List.of(Site.listener("payout.example", "non_idempotent", "/payout/", "caisse", 1.5, 0.6, 2)),
                List.of(Site.cluster("caisse", 5.9), Site.cluster("vitrine", 5.9), Site.cluster("livraison", 5.9))));
            for (Worker worker : workers) worker.start(0);
            Thread.sleep(5_000);
            Site.Machine callers = site.machines.get(0);
            try (Client first = new Client(callers, record)) {
                if (first.send("payout.example", "POST", "/payout/first", "payout 1".getBytes(StandardCharsets.UTF_8), 1_500).status != 200) return 2;
            }
            // Other members' payouts, four a second.
            Thread others = Http.daemonThread(() -> {
                try {
                    for (int i = 0; i < 240; i++) {
                        int one = i;
                        Http.daemonThread(() -> {
                            try (Client client = new Client(callers, record)) {
                                client.send("payout.example", "POST", "/payout/other" + one, ("payout " + one).getBytes(StandardCharsets.UTF_8), 1_500);
                            }
                        });
                        Thread.sleep(250);
                    }
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            List<Record.Sent> poison = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                try (Client client = new Client(callers, record)) {
                    poison.add(client.send("payout.example", "POST", "/payout/4711", POISON, 1_500));
                }
                Thread.sleep(6_000);
            }
            others.join();
            Thread.sleep(2_000);
            return judge(record, trouble, crashes, poison);
        }
    }

    private static void crash(Worker worker, Record record, List<Double> crashes) throws InterruptedException {
        record.note("crash     of " + worker.id);
        synchronized (crashes) {
            crashes.add(record.now());
        }
        worker.crash();
        Http.daemonThread(() -> {
            try {
                Thread.sleep(3_000);
                if (NEW_IDS) worker.id = worker.id + "x";
                worker.start(3_000);
                record.note("back      " + worker.id + ", cold for 3 s");
            } catch (Exception e) {
                record.note("the worker did not start: " + e);
            }
        });
        Thread.sleep(1_000);
    }

    private static int judge(Record record, boolean trouble, List<Double> crashes, List<Record.Sent> poison) {
        List<Record.Run> runs = record.runs();
        double from = crashes.size() >= 3 ? crashes.get(2) + CONTACT_S : Double.MAX_VALUE;
        long late = runs.stream().filter(r -> r.at > from && poison.stream().anyMatch(s -> s.request.equals(r.request))).count();
        long cut = record.sent().stream()
            .filter(s -> s.status != 200 && s.status != 503 && poison.stream().noneMatch(p -> p == s))
            .filter(s -> runs.stream().anyMatch(r -> r.request.equals(s.request)))
            .count();
        record.note("the request crashed its worker " + crashes.size() + " times; " + late + " of its retries reached a worker later than 3 s after the third; "
            + cut + " other payouts were running at a crash and ended without an answer of the worker");
        record.note(late > 3 ? "BUDGET is broken" : "BUDGET holds");
        if (!trouble && poison.stream().anyMatch(s -> s.status != 200)) return 2;
        return late > 3 ? 1 : 0;
    }
}
