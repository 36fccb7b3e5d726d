package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: objects are maps, arrays are lists, numbers are Double or Long. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.space();
        if (json.at != text.length()) throw new IllegalArgumentException("bytes after the JSON value");
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
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
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(begin, at);
        if (word.equals("null")) return null;
        if (word.equals("true") || word.equals("false")) return Boolean.valueOf(word);
        return word.matches("-?\\d+") ? (Object) Long.valueOf(word) : Double.valueOf(word);
    }

    private Map<String, Object> map() {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        for (space(); text.charAt(at) != '}'; space()) {
            String key = string();
            space();
            at++;
            map.put(key, value());
            space();
            if (text.charAt(at) == ',') at++;
        }
        at++;
        return map;
    }

    private List<Object> list() {
        List<Object> list = new ArrayList<>();
        at++;
        for (space(); text.charAt(at) != ']'; space()) {
            list.add(value());
            space();
            if (text.charAt(at) == ',') at++;
        }
        at++;
        return list;
    }

    private String string() {
        StringBuilder result = new StringBuilder();
        space();
        for (at++; text.charAt(at) != '"'; at++) {
            char c = text.charAt(at);
            if (c != '\\') {
                result.append(c);
                continue;
            }
            char escaped = text.charAt(++at);
            if (escaped == 'u') {
                result.append((char) Integer.parseInt(text.substring(at + 1, at + 5), 16));
                at += 4;
            } else {
                int known = "nrtbf".indexOf(escaped);
                result.append(known < 0 ? escaped : "\n\r\t\b\f".charAt(known));
            }
        }
        at++;
        return result.toString();
    }

    static String write(Object value) {
        if (value instanceof Map<?, ?> map) {
            List<String> parts = new ArrayList<>();
            map.forEach((key, part) -> parts.add(quote(key.toString()) + ":" + write(part)));
            return "{" + String.join(",", parts) + "}";
        }
        if (value instanceof List<?> list) return "[" + String.join(",", list.stream().map(Json::write).toList()) + "]";
        return value instanceof String text ? quote(text) : String.valueOf(value);
    }

    private static String quote(String text) {
        StringBuilder result = new StringBuilder("\"");
        for (char c : text.toCharArray()) {
            if (c == '"' || c == '\\') result.append('\\').append(c);
            else if (c < ' ') result.append(String.format("\\u%04x", (int) c));
            else result.append(c);
        }
        return result.append('"').toString();
    }
}
