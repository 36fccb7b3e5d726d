import java.io.IOException;
import java.io.InputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The paths between daemons, as proxies: each daemon reaches each other one at an address of its own. Between two that are cut off from
 * each other nothing passes in either direction, and nothing is reset. The path to the store is not among them.
 */
final class Links implements AutoCloseable {
    private final List<AutoCloseable> open = new CopyOnWriteArrayList<>();
    private volatile String cutOff = null;
    private volatile boolean closed = false;

    /** Cuts the machine off from all others; null ends the cut. */
    void cutOff(String name) {
        cutOff = name;
    }

    private boolean isCut(String from, String to) {
        String name = cutOff;
        return name != null && (name.equals(from) || name.equals(to));
    }

    /** Opens the path between two machines at [ports] each, of which the first also carries TCP. */
    void connect(String a, String ipOfA, String aSeenByB, String b, String ipOfB, String bSeenByA, int port, int ports) throws IOException {
        for (int offset = 0; offset < ports; offset++) {
            DatagramSocket towardsB = socket(bSeenByA, port + offset);
            DatagramSocket towardsA = socket(aSeenByB, port + offset);
            relay(a, b, towardsB, towardsA, new InetSocketAddress(ipOfB, port + offset));
            relay(b, a, towardsA, towardsB, new InetSocketAddress(ipOfA, port + offset));
        }
        accept(a, b, bSeenByA, ipOfB, port);
        accept(b, a, aSeenByB, ipOfA, port);
    }

    private DatagramSocket socket(String ip, int port) throws IOException {
        DatagramSocket socket = new DatagramSocket(new InetSocketAddress(ip, port));
        open.add(socket);
        return socket;
    }

    private void start(Runnable task) {
        Thread thread = new Thread(task, "link");
        thread.setDaemon(true);
        thread.start();
    }

    private void relay(String from, String to, DatagramSocket in, DatagramSocket out, InetSocketAddress target) {
        start(() -> {
            byte[] buffer = new byte[65_507];
            while (!closed) {
                try {
                    DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                    in.receive(packet);
                    if (!isCut(from, to)) out.send(new DatagramPacket(packet.getData(), packet.getLength(), target));
                } catch (IOException e) {
                    // The target is down, or the link is being closed.
                }
            }
        });
    }

    private void accept(String from, String to, String ip, String target, int port) throws IOException {
        ServerSocket listener = new ServerSocket(port, 100, InetAddress.getByName(ip));
        open.add(listener);
        start(() -> {
            while (!closed) {
                try {
                    Socket near = listener.accept();
                    open.add(near);
                    start(() -> forward(from, to, near, target, port));
                } catch (IOException e) {
                    // The link is being closed.
                }
            }
        });
    }

    private void forward(String from, String to, Socket near, String target, int port) {
        try {
            awaitPath(from, to);
            Socket far = new Socket(target, port);
            open.add(far);
            start(() -> pump(to, from, far, near));
            pump(from, to, near, far);
        } catch (IOException e) {
            closeQuietly(near);
        }
    }

    private void pump(String from, String to, Socket in, Socket out) {
        byte[] buffer = new byte[16_384];
        try {
            InputStream stream = in.getInputStream();
            while (true) {
                int count = stream.read(buffer);
                awaitPath(from, to);
                if (count < 0) break;
                out.getOutputStream().write(buffer, 0, count);
            }
        } catch (IOException e) {
            // Both ends are closed below.
        }
        closeQuietly(in);
        closeQuietly(out);
    }

    private void awaitPath(String from, String to) {
        while (isCut(from, to) && !closed) {
            try {
                Thread.sleep(10);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void closeQuietly(AutoCloseable resource) {
        try {
            resource.close();
        } catch (Exception e) {
            // It is closed in any case.
        }
    }

    @Override
    public void close() {
        closed = true;
        open.forEach(Links::closeQuietly);
    }
}
