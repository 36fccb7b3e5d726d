import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, longs, doubles, booleans and null. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json reader = new Json(text);
        Object value = reader.value();
        reader.space();
        if (reader.at != text.length()) throw new IllegalArgumentException("text behind the JSON value");
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(Object value) {
        return value instanceof Map ? (Map<String, Object>) value : new LinkedHashMap<>();
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            String comma = "";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(comma);
                quote(entry.getKey().toString(), out);
                out.append(':');
                write(entry.getValue(), out);
                comma = ",";
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            out.append('[');
            String comma = "";
            for (Object item : list) {
                out.append(comma);
                write(item, out);
                comma = ",";
            }
            out.append(']');
        } else if (value instanceof String string) {
            quote(string, out);
        } else {
            out.append(value);
        }
    }

    private static void quote(String text, StringBuilder out) {
        out.append('"');
        for (char c : text.toCharArray()) {
            if (c == '"' || c == '\\') {
                out.append('\\').append(c);
            } else if (c < ' ') {
                out.append(String.format("\\u%04x", (int) c));
            } else {
                out.append(c);
            }
        }
        out.append('"');
    }

    private void space() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
    }

    private Object value() {
        space();
        char c = text.charAt(at);
        if (c == '{') return map();
        if (c == '[') return list();
        if (c == '"') return string();
        int begin = at;
        while (at < text.length() && ",]} \t\r\n".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(begin, at);
        if (word.equals("true") || word.equals("false")) return Boolean.valueOf(word);
        if (word.equals("null")) return null;
        if (word.matches("-?\\d+")) return Long.valueOf(word);
        return Double.valueOf(word);
    }

    private Map<String, Object> map() {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        while (true) {
            space();
            if (text.charAt(at) == '}') {
                at++;
                return map;
            }
            if (text.charAt(at) == ',') {
                at++;
                continue;
            }
            String key = string();
            space();
            at++;
            map.put(key, value());
        }
    }

    private List<Object> list() {
        List<Object> list = new ArrayList<>();
        at++;
        while (true) {
            space();
            if (text.charAt(at) == ']') {
                at++;
                return list;
            }
            if (text.charAt(at) == ',') {
                at++;
                continue;
            }
            list.add(value());
        }
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c == '\\') {
                c = text.charAt(at++);
                switch (c) {
                    case 'n' -> c = '\n';
                    case 't' -> c = '\t';
                    case 'r' -> c = '\r';
                    case 'b' -> c = '\b';
                    case 'f' -> c = '\f';
                    case 'u' -> {
                        c = (char) Integer.parseInt(text.substring(at, at + 4), 16);
                        at += 4;
                    }
                    default -> { }
                }
            }
            out.append(c);
        }
        at++;
        return out.toString();
    }
}
