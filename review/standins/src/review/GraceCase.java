package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** LOST: a daemon gets SIGTERM with the grace period of the large deployment, 10 s, while its clients' requests run. */
final class GraceCase {
    private GraceCase() {}

    static int run(Path folder, boolean trouble) throws Exception {
        try (Record record = new Record(folder.resolve("record.txt")); Site site = new Site()) {
            // The parameters of the large site that differ from those of the small ones.
            for (String one : "contact_s=4 ack_s=5 sync_s=6 drain_s=3 grace_s=10 config_apply_s=3 max_stretch_s=6 retry_slack=230 cold_slack=10".split(" ")) {
                site.parameters.put(one.split("=")[0], one.split("=")[1]);
            }
            List<Worker> workers = new ArrayList<>();
            int number = 0;
            for (String zone : new String[] {"haarlem", "leiden", "zandvoort"}) {
                Site.Machine machine = site.machine("sidecar-" + zone + "-1", zone, "verhuur");
                workers.add(new Worker(machine, "i-" + number++, 14, record, request -> {
                    Thread.sleep(request.target().contains("long") ? 5_500 : 100);
                    return "history";
                }));
            }
            site.start(Site.configuration(
                List.of(Site.listener("history.example", "idempotent", "/history/", "verhuur", 6, 3.1, 2)),
                List.of(Site.cluster("verhuur", 7.5))));
            for (Worker worker : workers) worker.start(0);
            Thread.sleep(5_000);
            Site.Machine stopped = site.machines.get(0);
            Client first = new Client(stopped, record);
            if (first.send("history.example", "GET", "/history/short", new byte[0], 12_000).status != 200) {
                record.note("no service before the case began");
                return 2;
            }
            first.close();
            double termAt = record.now();
            record.note(trouble ? "SIGTERM to the daemon on " + stopped.name : "no SIGTERM");
            if (trouble) stopped.terminate();
            // Before the platform can have asked twice whether the daemon is ready.
            Thread.sleep(600);
            List<Thread> threads = new ArrayList<>();
            List<Record.Sent> sent = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                int one = i;
                threads.add(Http.daemonThread(() -> {
                    try (Client client = new Client(stopped, record)) {
                        Record.Sent end = client.send("history.example", "GET", "/history/long" + one, new byte[0], 12_000);
                        synchronized (sent) {
                            sent.add(end);
                        }
                    }
                }));
                Thread.sleep(50);
            }
            for (Thread thread : threads) thread.join();
            if (trouble) record.note("the daemon ended by itself: " + !stopped.daemon.isAlive());
            List<Record.Run> runs = record.runs();
            long lost = sent.stream()
                .filter(s -> s.status == 0 && s.endedAt < termAt + 11 && runs.stream().anyMatch(r -> r.request.equals(s.request)))
                .count();
            long whole = sent.stream().filter(s -> s.status == 200).count();
            record.note("of " + sent.size() + " requests sent 0.6 to 0.9 s after the signal, " + whole + " got a whole answer, and the connection of "
                + lost + " that were passed on to a worker ended without one");
            record.note(lost > 0 ? "LOST is broken" : "LOST holds");
            return lost > 0 ? 1 : whole == sent.size() || trouble ? 0 : 2;
        }
    }
}
