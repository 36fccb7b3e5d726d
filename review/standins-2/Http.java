import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Heads and bodies of HTTP/1.1 messages on a stream. */
final class Http {
    /** First line and headers of a message; names of headers in lower case. */
    record Head(String line, Map<String, String> headers) {
        String header(String name) {
            return headers.get(name.toLowerCase());
        }
    }

    private Http() { }

    /** Returns the next head, or null when the stream ends before one begins. */
    static Head readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) return null;
        Map<String, String> headers = new LinkedHashMap<>();
        while (true) {
            String header = readLine(in);
            if (header == null) throw new EOFException("the stream ended within a head");
            if (header.isEmpty()) return new Head(line, headers);
            int colon = header.indexOf(':');
            headers.put(header.substring(0, colon).trim().toLowerCase(), header.substring(colon + 1).trim());
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("the stream ended within a line");
            }
            if (b == '\n') return line.toString(StandardCharsets.ISO_8859_1).trim();
            line.write(b);
        }
    }

    /** Reads the whole body that [head] announces; throws when it is cut. */
    static byte[] readBody(InputStream in, Head head) throws IOException {
        if ("chunked".equalsIgnoreCase(head.header("Transfer-Encoding"))) return readChunks(in);
        String length = head.header("Content-Length");
        if (length == null) return new byte[0];
        return readExactly(in, Integer.parseInt(length));
    }

    private static byte[] readExactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) throw new EOFException("the body has " + bytes.length + " of " + count + " bytes");
        return bytes;
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = readLine(in);
            if (size == null) throw new EOFException("the body ended before its last chunk, after " + body.size() + " bytes");
            int count = Integer.parseInt(size.split(";")[0].trim(), 16);
            body.write(readExactly(in, count));
            String end = readLine(in);
            if (count == 0) {
                while (end != null && !end.isEmpty()) end = readLine(in);
                return body.toByteArray();
            }
        }
    }
}
