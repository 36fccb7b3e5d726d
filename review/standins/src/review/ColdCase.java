package review;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

/** FAILBACK: a zone that was evacuated is taken back; its worker became cold shortly before. */
final class ColdCase {
    private static final double COLD_PER_S = 5.9;
    private static final double BOUND = COLD_PER_S * 1.5 + 5;
    private static final int BEARS = 16;

    private ColdCase() {}

    static int run(Path folder, boolean trouble) throws Exception {
        try (Record record = new Record(folder.resolve("record.txt")); Site site = new Site()) {
            List<Double> cold = new ArrayList<>();
            Worker[] workers = new Worker[3];
            String[] zones = {"agadir", "inezgane", "taroudant"};
            for (int i = 0; i < 3; i++) {
                Site.Machine machine = site.machine("sidecar-" + zones[i] + "-1", zones[i], "caisse");
                int number = i;
                workers[i] = new Worker(machine, "i-" + i, 6, record, request -> {
                    if (workers[number].isCold()) arrivedCold(workers[number], record, cold);
                    Thread.sleep(request.method().equals("POST") ? 210 : 40);
                    return "done";
                });
            }
            site.start(Site.configuration(
                List.of(Site.listener("payout.example", "non_idempotent", "/payout/", "caisse", 1.5, 0.6, 2),
                    Site.listener("ledger.example", "idempotent", "/ledger/", "caisse", 0.5, 0.15, 2)),
                List.of(Site.cluster("caisse", COLD_PER_S))));
            for (Worker worker : workers) worker.start(0);
            Thread.sleep(5_000);
            AtomicBoolean ended = new AtomicBoolean();
            List<Thread> clients = new ArrayList<>();
            // 12 payouts and 33 reads of the ledger a second, in equal parts from the three zones.
            for (int i = 0; i < 45; i++) {
                int one = i;
                Site.Machine machine = site.machines.get(i % 3);
                clients.add(Http.daemonThread(() -> requests(record, machine, one, ended)));
                Thread.sleep(22);
            }
            Thread.sleep(4_000);
            if (trouble) {
                site.storeServer.write("evacuations", "agadir", Map.of());
                record.note("agadir is to be emptied");
                Thread.sleep(5_500);
                workers[0].awaitHeartbeat();
                Thread.sleep(200);
                workers[0].turnCold(3_000);
                record.note("i-0 in agadir becomes cold for 3 s");
                Thread.sleep(200);
                site.storeServer.remove("evacuations", "agadir");
                record.note("agadir is taken back");
            }
            Thread.sleep(6_000);
            ended.set(true);
            for (Thread client : clients) client.join();
            return judge(record, cold, trouble);
        }
    }

    private static void requests(Record record, Site.Machine machine, int number, AtomicBoolean ended) {
        boolean isPayout = number / 3 % 4 == 0;
        byte[] none = new byte[0];
        try (Client client = new Client(machine, record)) {
            long next = System.nanoTime();
            for (int i = 0; !ended.get(); i++) {
                String path = number + "." + i;
                if (isPayout) client.send("payout.example", "POST", "/payout/" + path, path.getBytes(StandardCharsets.UTF_8), 1_500);
                else client.send("ledger.example", "GET", "/ledger/" + path, none, 500);
                next = Math.max(next + 1_000_000_000L, System.nanoTime());
                Thread.sleep(Math.max(0, (next - System.nanoTime()) / 1_000_000));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // A cold worker crashes at a rate well above the one that it bears: here beyond 16 a second, where the rule allows 13.
    private static void arrivedCold(Worker worker, Record record, List<Double> cold) throws InterruptedException {
        double now = record.now();
        long lastSecond;
        synchronized (cold) {
            cold.add(now);
            lastSecond = cold.stream().filter(at -> at > now - 1).count();
        }
        if (lastSecond <= BEARS || !worker.isUp()) return;
        record.note("crash     of " + worker.id + ": cold, and " + lastSecond + " requests in a second");
        worker.crash();
        Thread.sleep(1_000);
    }

    private static int judge(Record record, List<Double> cold, boolean trouble) {
        int most = 0;
        for (double begin : cold) most = Math.max(most, (int) cold.stream().filter(at -> at >= begin && at < begin + 1).count());
        long cut = record.sent().stream()
            .filter(s -> s.status != 200 && s.status != 503 && record.runs().stream().anyMatch(r -> r.request.equals(s.request)))
            .count();
        boolean broken = most > BOUND;
        record.note("the cold worker got at most " + most + " requests in one second, the bound is " + BOUND + "; " + cut
            + " payouts that ran ended without the worker's answer");
        record.note(broken ? "FAILBACK is broken" : "FAILBACK holds");
        long served = record.sent().stream().filter(s -> s.status == 200).count();
        if (served * 2 < record.sent().size()) return 2;
        return broken ? 1 : 0;
    }
}
