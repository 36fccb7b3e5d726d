import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A small deployment on loopback: a store, and on each machine a daemon, started with the command of the deploy file, and a worker. */
final class Fleet implements AutoCloseable {
    /** One machine with a loopback address of its own; the ports are the same on all machines. */
    final class Machine {
        final String name;
        final String zone;
        final String service;
        final String ip;
        Process daemon;
        Worker worker;

        Machine(String name, String zone, String service, String ip) {
            this.name = name;
            this.zone = zone;
            this.service = service;
            this.ip = ip;
        }

        void startDaemon() throws IOException {
            Path settings = directory.resolve(name + ".ini");
            Files.writeString(settings, settings(this));
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("ENDIVESTEP_SETTINGS", settings.toString());
            if (links != null) builder.environment().put("JAVA_TOOL_OPTIONS", "-Djdk.net.hosts.file=" + hosts(this));
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(directory.resolve(name + ".log").toFile()));
            daemon = builder.start();
            processes.add(daemon);
        }

        void startWorker(int slots) throws IOException {
            worker = new Worker("i-" + name, service, zone, ip, appPort, ip + ":" + controlPort, slots, record);
        }

        void signal(String signal) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + signal, Long.toString(daemon.pid())).start().waitFor();
            record.line("SIG" + signal + " to the daemon of " + name);
        }

        InetSocketAddress outbound() {
            return new InetSocketAddress(ip, outboundPort);
        }

        /** Returns when the daemon accepts connections at its readiness address, or after [timeoutMs]. */
        void awaitListening(long timeoutMs) throws InterruptedException {
            long untilMs = record.ms() + timeoutMs;
            while (record.ms() < untilMs) {
                try (Socket socket = new Socket()) {
                    socket.connect(new InetSocketAddress(ip, readyPort), 500);
                    return;
                } catch (IOException e) {
                    Thread.sleep(5);
                }
            }
        }

        boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(ip, readyPort), 500);
                socket.setSoTimeout(500);
                socket.getOutputStream().write(("GET /-/ready HTTP/1.1\r\nHost: " + ip + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
                Http.Head head = Http.readHead(socket.getInputStream());
                return head != null && head.line().contains(" 200 ");
            } catch (IOException e) {
                return false;
            }
        }

        String log() throws IOException {
            return Files.readString(directory.resolve(name + ".log"));
        }
    }

    final Record record;
    final Store store;
    final Links links;
    final List<Machine> machines = new ArrayList<>();
    final Path directory;
    private final List<Process> processes = new ArrayList<>();
    private final List<String> command;
    private final Map<String, String> parameters;
    private final String network;
    private final String storeAddress;
    private final int innerPort;
    private final int outboundPort;
    private final int readyPort;
    private final int controlPort;
    private final int appPort;

    /** With [hasLinks], the daemons reach each other through [links] only. */
    Fleet(Record record, Map<String, String> parameters, boolean hasLinks) throws IOException {
        this.record = record;
        links = hasLinks ? new Links() : null;
        this.parameters = parameters;
        directory = Files.createTempDirectory("review-fleet");
        command = command();
        Random random = new Random();
        network = "127." + (20 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
        int base = freeBlock(random);
        innerPort = base;
        outboundPort = base + 20;
        readyPort = base + 21;
        controlPort = base + 22;
        appPort = base + 23;
        storeAddress = network + "1:" + (base + 24);
        store = new Store(network + "1", base + 24);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.forEach(Process::destroyForcibly)));
    }

    // The ports of the fleet's machines must be free at all addresses; some other program may listen at any address.
    private static int freeBlock(Random random) {
        while (true) {
            int base = 20_000 + random.nextInt(10_000);
            boolean free = true;
            for (int port = base; port < base + 25 && free; port++) {
                try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                    free = probe.isBound();
                } catch (IOException e) {
                    free = false;
                }
            }
            if (free) return base;
        }
    }

    private String hostOf(Machine machine) {
        return links == null ? machine.ip : machine.name + ".fleet";
    }

    // The address at which [from] reaches the daemon of [to].
    private String seen(Machine from, Machine to) {
        return from == to ? to.ip : network + (100 + 10 * machines.indexOf(from) + machines.indexOf(to));
    }

    // Each daemon announces a name, which its own hosts file, and that of each other daemon, resolves.
    private Path hosts(Machine machine) throws IOException {
        StringBuilder lines = new StringBuilder();
        machines.forEach(other -> lines.append(seen(machine, other)).append(' ').append(hostOf(other)).append('\n'));
        return Files.writeString(directory.resolve(machine.name + ".hosts"), lines);
    }

    private void openLinks() throws IOException {
        for (Machine a : machines) {
            for (Machine b : machines) {
                if (machines.indexOf(a) < machines.indexOf(b)) links.connect(a.name, a.ip, seen(b, a), b.name, b.ip, seen(a, b), innerPort, 5);
            }
        }
    }

    private static List<String> command() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) throw new IOException("the deploy file has no command");
        return List.of(run.group(1).split(" "));
    }

    Machine add(String name, String zone, String service) {
        Machine machine = new Machine(name, zone, service, network + (10 + machines.size()));
        machines.add(machine);
        return machine;
    }

    // Fills in the template of the project's settings as the platform does.
    private String settings(Machine machine) throws IOException {
        Map<String, String> values = new TreeMap<>();
        values.put("node_name", machine.name);
        values.put("zone", machine.zone);
        values.put("ip", hostOf(machine));
        values.put("port_range", innerPort + "," + (innerPort + 15));
        values.put("bind.outbound", machine.ip + ":" + outboundPort);
        values.put("bind.ready", machine.ip + ":" + readyPort);
        values.put("bind.control", machine.ip + ":" + controlPort);
        values.put("service", machine.service);
        values.put("app_addr", machine.ip + ":" + appPort);
        values.put("heartbeat_s", "1.5");
        values.put("platform.address", storeAddress);
        Map<String, String> zones = new TreeMap<>();
        machines.forEach(other -> zones.put(other.zone, "region-1"));
        String text = Files.readString(Path.of("platform/settings.ini"));
        text = section(section(text, "zones", zones), "parameters", parameters);
        for (Map.Entry<String, String> value : values.entrySet()) text = text.replace("{{" + value.getKey() + "}}", value.getValue());
        return text;
    }

    private static String section(String text, String name, Map<String, String> entries) {
        Matcher section = Pattern.compile("\\{\\{#" + name + "}}(.*?)\\{\\{/" + name + "}}", Pattern.DOTALL).matcher(text);
        if (!section.find()) return text;
        StringBuilder filled = new StringBuilder();
        entries.forEach((key, value) -> filled.append(section.group(1).replace("{{@}}", key).replace("{{.}}", value)));
        return text.substring(0, section.start()) + filled + text.substring(section.end());
    }

    /** Starts all daemons and workers; returns whether all daemons are ready within [timeoutMs]. */
    boolean start(int slots, long timeoutMs) throws IOException, InterruptedException {
        if (links != null) openLinks();
        for (Machine machine : machines) machine.startDaemon();
        for (Machine machine : machines) machine.startWorker(slots);
        long untilMs = record.ms() + timeoutMs;
        while (record.ms() < untilMs) {
            if (machines.stream().allMatch(Machine::isReady)) {
                record.line("all daemons are ready");
                return true;
            }
            Thread.sleep(100);
        }
        record.line("not all daemons became ready");
        return false;
    }

    @Override
    public void close() throws IOException {
        for (Process process : processes) process.destroyForcibly();
        for (Process process : processes) {
            try {
                process.waitFor(10, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        for (Machine machine : machines) if (machine.worker != null) machine.worker.close();
        store.close();
        if (links != null) links.close();
        if (System.getenv("KEEP") != null) return;
        for (File file : directory.toFile().listFiles()) file.delete();
        directory.toFile().delete();
    }
}
