package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** CONFIG: a worker does not read, and never answers, a part of the uploads that it accepts. */
final class StallCase {
    private static final int BODY_BYTES = 8 * 1024 * 1024;
    private static final double TIMEOUT_S = 2.5;
    private static final int CLIENT_MS = 5_000;

    private StallCase() {}

    static int run(Path folder, boolean trouble) throws Exception {
        try (Record record = new Record(folder.resolve("record.txt")); Site site = new Site()) {
            AtomicInteger uploads = new AtomicInteger();
            Worker[] workers = new Worker[4];
            String[] zones = {"haarlem", "leiden", "zandvoort", "katwijk"};
            for (int i = 0; i < 4; i++) {
                Site.Machine machine = site.machine("sidecar-" + zones[i] + "-1", zones[i], "ontwerp");
                workers[i] = new Worker(machine, "i-" + i, 18, record, request -> {
                    Thread.sleep(190);
                    return "stored";
                });
            }
            site.start(Site.configuration(
                List.of(Site.listener("design.example", "upload", "/design/", "ontwerp", TIMEOUT_S, 0.6, 2)),
                List.of(Site.cluster("ontwerp", 18))));
            for (Worker worker : workers) worker.start(0);
            Thread.sleep(5_000);
            Site.Machine machine = site.machines.get(0);
            try (Client client = new Client(machine, record)) {
                if (client.send("design.example", "POST", "/design/first", new byte[BODY_BYTES], CLIENT_MS).status != 200) return 2;
            }
            // Of the uploads that come to the worker on this machine, nine of twenty are not read and not answered.
            if (trouble) {
                workers[0].onHead((head, socket) -> {
                    if (uploads.getAndIncrement() * 45 % 100 >= 45) return false;
                    record.note("hangs     " + head.header("X-Request-Id", "") + " at i-0: not read, not answered");
                    Thread.sleep(60_000);
                    return true;
                });
            }
            double begin = record.now();
            List<Thread> threads = new ArrayList<>();
            List<Record.Sent> sent = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                int one = i;
                threads.add(Http.daemonThread(() -> {
                    try (Client client = new Client(machine, record)) {
                        Record.Sent end = client.send("design.example", "POST", "/design/" + one, new byte[BODY_BYTES], CLIENT_MS);
                        synchronized (sent) {
                            sent.add(end);
                        }
                    }
                }));
                Thread.sleep(210);
            }
            for (Thread thread : threads) thread.join();
            long lasted = sent.stream().filter(s -> s.endedAt - s.at > TIMEOUT_S).count();
            long unanswered = sent.stream().filter(s -> s.endedAt - s.at > TIMEOUT_S + 0.5).count();
            boolean broken = unanswered >= 8 && unanswered * 4 > lasted;
            record.note("of " + sent.size() + " uploads sent from " + String.format("%.1f", begin) + " s on, " + lasted + " lasted longer than the timeout of "
                + TIMEOUT_S + " s, and " + unanswered + " had no final answer 0.5 s after it");
            record.note(broken ? "CONFIG is broken" : "CONFIG holds");
            if (!trouble && sent.stream().filter(s -> s.status == 200).count() * 2 < sent.size()) return 2;
            return broken ? 1 : 0;
        }
    }
}
