package dunlinladder.transport.platform;

import dunlinladder.core.Request;
import dunlinladder.transport.engine.EngineRequest;
import dunlinladder.transport.json.InvalidInputException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import java.util.regex.Pattern;

/** Reads the platform's request headers. */
public final class PlatformRequestReader {

    private static final int MOST_ID = 128;
    /** Java's own reading also takes hexadecimal, exponents and a trailing d. */
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,9})?");

    private final List<String> classes;
    private final List<Double> deadlines;
    private final List<String> tenants;

    /** Creates a reader for a deployment's classes, their deadlines in seconds, and tenants. */
    public PlatformRequestReader(List<String> classes, List<Double> deadlines, List<String> tenants) {
        this.classes = classes;
        this.deadlines = deadlines;
        this.tenants = tenants;
    }

    /** Translates a request that came at {@code now}; a {@link InvalidInputException} names the faulty header. */
    Request read(UnaryOperator<String> headers, EngineRequest forward, double now) {
        String id = headers.apply("X-Request-ID");
        if (id == null || id.isEmpty() || id.length() > MOST_ID || !id.matches("[A-Za-z0-9._~:-]+")) {
            throw new InvalidInputException("X-Request-ID is missing or malformed");
        }
        int serviceClass = index(classes, headers.apply("X-Priority-Class"), "X-Priority-Class");
        int tenant = tenants.isEmpty() ? 0 : index(tenants, headers.apply("X-Tenant-Id"), "X-Tenant-Id");
        String timeout = headers.apply("X-Timeout");
        double wait = timeout == null ? deadlines.get(serviceClass) : number(timeout, "X-Timeout");
        Map<String, String> attrs = pairs(headers.apply("X-Attrs"));
        String prefix = attrs.getOrDefault("prefix", "");
        String session = headers.apply("X-Route-Key");
        String retried = headers.apply("X-Retried");
        Request.Prompt prompt = new Request.Prompt(
                session == null ? key(id) : key(session),
                prefix.isEmpty() ? 0 : key(prefix),
                attrs.containsKey("prompt_len")
                        ? number(attrs.get("prompt_len"), "X-Attrs prompt_len")
                        : forward.body().length / 4.0,
                number(attrs.getOrDefault("prefix_len", "0"), "X-Attrs prefix_len"),
                number(attrs.getOrDefault("max_out", "0"), "X-Attrs max_out"));
        return new Request(
                id, serviceClass, tenant, prompt, now + wait, resubmission(retried), forward, Request.ANY_ENGINE);
    }

    private static Request.Resubmission resubmission(String retried) {
        if (retried == null) {
            return Request.Resubmission.NONE;
        }
        return retried.equals("again") ? Request.Resubmission.RETURNED : Request.Resubmission.RETRIED;
    }

    private static int index(List<String> names, String name, String header) {
        // An immutable list throws when it is asked for null.
        int index = name == null ? -1 : names.indexOf(name);
        if (index < 0 && name != null) {
            // A head is read byte by byte; a name beyond ASCII comes in UTF-8.
            index = names.indexOf(new String(name.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8));
        }
        if (index < 0) {
            throw new InvalidInputException(header + (name == null ? " is missing" : " names nothing known: " + name));
        }
        return index;
    }

    private static double number(String text, String header) {
        if (NUMBER.matcher(text).matches()) {
            return Double.parseDouble(text);
        }
        throw new InvalidInputException(header + " is not a number from 0 on: " + text);
    }

    private static Map<String, String> pairs(String text) {
        Map<String, String> pairs = new HashMap<>();
        for (String pair : text == null || text.isBlank() ? new String[0] : text.split(",")) {
            int equals = pair.indexOf('=');
            if (equals <= 0) {
                throw new InvalidInputException("X-Attrs is not a list of name=value: " + text);
            }
            pairs.put(
                    pair.substring(0, equals).trim(), pair.substring(equals + 1).trim());
        }
        return pairs;
    }

    /** A name as a number that is the same at every gateway and never 0 (FNV-1a). */
    public static long key(String name) {
        long hash = 0xcbf29ce484222325L;
        for (byte b : name.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ b & 0xff) * 0x100000001b3L;
        }
        return hash == 0 ? 1 : hash;
    }
}
