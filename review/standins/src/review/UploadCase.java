package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.zip.CRC32;

/** UNASKED: a worker crashes, and an upload that was on its way to it goes to another worker. */
final class UploadCase {
    private static final int BODY_BYTES = 2 * 1024 * 1024;

    private record Body(int length, long checksum) {
        static Body of(byte[] bytes) {
            CRC32 checksum = new CRC32();
            checksum.update(bytes);
            return new Body(bytes.length, checksum.getValue());
        }
    }

    private UploadCase() {}

    static int run(Path folder, boolean trouble) throws Exception {
        try (Record record = new Record(folder.resolve("record.txt")); Site site = new Site()) {
            Map<String, Body> ran = new ConcurrentHashMap<>();
            // One machine whose clients upload, and a worker for uploads in each zone, of which the one in the clients' zone crashes.
            String[] zones = {"haarlem", "haarlem", "leiden", "zandvoort", "katwijk"};
            List<Worker> workers = new ArrayList<>();
            for (int i = 0; i < zones.length; i++) {
                Site.Machine machine = site.machine("sidecar-" + zones[i] + "-" + (i + 1), zones[i], i == 0 ? "voorraad" : "ontwerp");
                workers.add(new Worker(machine, "i-" + i, 18, record, request -> {
                    Body body = Body.of(request.body);
                    ran.put(request.header("X-Request-Id", ""), body);
                    record.note("body      of " + request.header("X-Request-Id", "") + ": " + body);
                    Thread.sleep(190);
                    return "stored";
                }));
            }
            site.start(Site.configuration(
                List.of(Site.listener("design.example", "upload", "/design/", "ontwerp", 2.5, 0.6, 2)),
                List.of(Site.cluster("voorraad", 18), Site.cluster("ontwerp", 18))));
            for (Worker worker : workers) worker.start(0);
            Thread.sleep(5_000);
            Random random = new Random(27);
            List<Record.Sent> sent = new ArrayList<>();
            Map<String, Body> expected = new ConcurrentHashMap<>();
            for (int round = 0; round < 7; round++) {
                Worker crashing = workers.get(1);
                if (trouble) {
                    record.note("crash     of " + crashing.id);
                    crashing.crash();
                    Thread.sleep(500);
                }
                List<Thread> threads = new ArrayList<>();
                for (int i = 0; i < 3; i++) {
                    byte[] body = new byte[BODY_BYTES];
                    random.nextBytes(body);
                    String path = "/design/" + round + "." + i;
                    threads.add(Http.daemonThread(() -> {
                        try (Client client = new Client(site.machines.get(0), record)) {
                            Record.Sent end = client.send("design.example", "POST", path, body, 2_500, true);
                            expected.put(end.request, Body.of(body));
                            synchronized (sent) {
                                sent.add(end);
                            }
                        }
                    }));
                }
                for (Thread thread : threads) thread.join();
                Thread.sleep(2_500);
                if (trouble) {
                    crashing.id = "i-1." + round;
                    crashing.start(3_000);
                    record.note("back      " + crashing.id + ", cold for 3 s");
                }
                Thread.sleep(4_000);
            }
            long changed = ran.entrySet().stream().filter(e -> !e.getValue().equals(expected.get(e.getKey()))).count();
            long acknowledged = sent.stream()
                .filter(s -> s.status == 200 && ran.containsKey(s.request) && !ran.get(s.request).equals(expected.get(s.request)))
                .count();
            record.note("of " + sent.size() + " uploads of " + BODY_BYTES + " bytes, " + ran.size() + " were run, " + changed + " of them with a changed body; "
                + acknowledged + " of these were answered with 200");
            record.note(changed > 0 ? "UNASKED is broken" : "UNASKED holds");
            if (!trouble && sent.stream().anyMatch(s -> s.status != 200)) return 2;
            return changed > 0 ? 1 : 0;
        }
    }
}
