package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 messages on plain sockets, for stand-ins. */
final class Http {
    private static final int CHUNK_BYTES = 8_192;

    private Http() {}

    /** A request or an answer. {@code first} is its first line; names of headers are compared without case. */
    static final class Message {
        String first;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String header(String name, String otherwise) {
            return headers.getOrDefault(name, otherwise);
        }
    }

    /** Reads the head of a message; returns null at the end of the connection before its first byte. */
    static Message readHead(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) return null;
        Message message = new Message();
        message.first = line;
        for (line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        if (line == null) throw new EOFException("the connection ended within a head");
        return message;
    }

    /** Reads the body by its length or its chunks; {@code untilEnd} reads to the end of the connection where neither is given. */
    static void readBody(Message message, InputStream in, boolean untilEnd) throws IOException {
        if (message.header("Transfer-Encoding", "").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = line(in);
                if (size == null) throw new EOFException("the connection ended within a chunked body");
                int length = Integer.parseInt(size.split(";")[0].trim(), 16);
                body.write(exactly(in, length));
                if (line(in) == null) throw new EOFException("the connection ended within a chunked body");
                if (length == 0) break;
            }
            message.body = body.toByteArray();
        } else if (message.headers.containsKey("Content-Length")) {
            message.body = exactly(in, Integer.parseInt(message.headers.get("Content-Length")));
        } else if (untilEnd) {
            message.body = in.readAllBytes();
        }
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) throw new EOFException("the connection ended after " + bytes.length + " of " + length + " bytes");
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("the connection ended within a line");
            }
            if (next == '\n') return line.toString(StandardCharsets.ISO_8859_1);
            if (next != '\r') line.write(next);
        }
    }

    static void write(OutputStream out, String first, Map<String, String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder(first).append("\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        whole.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        whole.write(body);
        out.write(whole.toByteArray());
        out.flush();
    }

    static void writeChunked(OutputStream out, String first, Map<String, String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder(first).append("\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        out.write(head.append("Transfer-Encoding: chunked\r\n\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
        for (int at = 0; at < body.length; at += CHUNK_BYTES) {
            int length = Math.min(CHUNK_BYTES, body.length - at);
            out.write((Integer.toHexString(length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.write(body, at, length);
            out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    static void answer(OutputStream out, int status, Map<String, String> headers, String body) throws IOException {
        write(out, "HTTP/1.1 " + status + " Status", headers, body.getBytes(StandardCharsets.UTF_8));
    }

    static Map<String, String> headers(String... pairs) {
        Map<String, String> headers = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) headers.put(pairs[i], pairs[i + 1]);
        return headers;
    }

    /** Sends one request on a connection of its own and returns the whole answer. */
    static Message call(String address, int timeoutMs, String method, String target, Map<String, String> headers, byte[] body)
        throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(socketAddress(address), timeoutMs);
            socket.setSoTimeout(timeoutMs);
            write(socket.getOutputStream(), method + " " + target + " HTTP/1.1", headers, body);
            Message answer = readHead(socket.getInputStream());
            if (answer == null) throw new EOFException("the connection ended without an answer");
            readBody(answer, socket.getInputStream(), true);
            return answer;
        }
    }

    static InetSocketAddress socketAddress(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    /** Serves one connection until it ends. */
    interface Handler {
        void serve(Socket socket) throws IOException, InterruptedException;
    }

    /** A listener with a thread for each connection. */
    static final class Server {
        private final ServerSocket listener = new ServerSocket();
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();

        Server(String address, Handler handler) throws IOException {
            listener.setReuseAddress(true);
            listener.bind(socketAddress(address), 256);
            daemonThread(() -> {
                while (!listener.isClosed()) {
                    Socket socket;
                    try {
                        socket = listener.accept();
                    } catch (IOException e) {
                        return;
                    }
                    open.add(socket);
                    daemonThread(() -> serve(socket, handler));
                }
            });
        }

        private void serve(Socket socket, Handler handler) {
            try (socket) {
                socket.setTcpNoDelay(true);
                handler.serve(socket);
            } catch (IOException | InterruptedException e) {
                // The other side ended the connection, or this server was closed.
            } finally {
                open.remove(socket);
            }
        }

        /** Ends the listener and all connections at once, as the death of the process does. */
        void close() {
            try {
                listener.close();
                for (Socket socket : open) socket.close();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    static Thread daemonThread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
