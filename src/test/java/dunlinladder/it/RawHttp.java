package dunlinladder.it;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads and writes HTTP/1.1 without a library, so that a test controls every byte. */
final class RawHttp {

    private static final int HEX_RADIX = 16;

    private RawHttp() {}

    /** Reads a line and returns it without its line break; null when the connection has ended. */
    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            line.append(next == '\r' ? "" : (char) next);
        }
        return line.toString();
    }

    /** Reads header fields up to the empty line. The names in the map are case-insensitive. */
    static Map<String, String> readHeaders(InputStream in) throws IOException {
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
        }
        return headers;
    }

    /** Reads a body of the length that the headers give; returns an empty body when they give none. */
    static String readSizedBody(InputStream in, Map<String, String> headers) throws IOException {
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new String(in.readNBytes(length), StandardCharsets.UTF_8);
    }

    /** Reads a chunked body. The result ends with "(cut)" when the connection ended before the last chunk. */
    static String readChunkedBody(InputStream in) throws IOException {
        StringBuilder body = new StringBuilder();
        for (String chunk = readChunk(in); chunk != null; chunk = readChunk(in)) {
            if (chunk.isEmpty()) {
                return body.toString();
            }
            body.append(chunk);
        }
        return body + "(cut)";
    }

    /**
     * Reads one chunk of a chunked body; returns an empty text for the last one, null when the connection has ended.
     */
    static String readChunk(InputStream in) throws IOException {
        String size = readLine(in);
        if (size == null) {
            return null;
        }
        String text = new String(in.readNBytes(Integer.parseInt(size, HEX_RADIX)), StandardCharsets.UTF_8);
        readLine(in);
        return text;
    }

    /** Writes the text as UTF-8 and flushes. */
    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /** Writes one chunk of a chunked body. */
    static void writeChunk(OutputStream out, String text) throws IOException {
        int length = text.getBytes(StandardCharsets.UTF_8).length;
        write(out, Integer.toHexString(length) + "\r\n" + text + "\r\n");
    }

    /** Writes the last chunk, which ends a chunked body. */
    static void writeLastChunk(OutputStream out) throws IOException {
        write(out, "0\r\n\r\n");
    }
}
