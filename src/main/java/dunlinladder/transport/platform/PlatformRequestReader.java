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

/** Reads the platform's request headers, whose names and meanings its protocol defines. */
public final class PlatformRequestReader {

    static final String REQUEST_ID = "X-Request-ID";
    private static final String PRIORITY_CLASS = "X-Priority-Class";
    private static final String TENANT = "X-Tenant-Id";
    private static final String TIMEOUT = "X-Timeout";
    private static final String ROUTE_KEY = "X-Route-Key";
    private static final String RETRIED = "X-Retried";
    private static final String ATTRIBUTES = "X-Attrs";
    /** Value of {@code X-Retried} with which a client requests the rest of a stream that was aborted. */
    private static final String RETRIED_AGAIN = "again";

    private static final String PREFIX = "prefix";
    private static final String PROMPT_TOKENS = "prompt_len";
    private static final String PREFIX_TOKENS = "prefix_len";
    private static final String MAX_OUTPUT_TOKENS = "max_out";

    private static final int MAX_ID_CHARACTERS = 128;
    private static final Pattern ID = Pattern.compile("[A-Za-z0-9._~:-]+");
    /** Stricter than Java's own parser, which also accepts hexadecimal, exponents and a trailing d. */
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,9})?");
    /** Body bytes per token, for an estimate of the prompt's length if the client does not send the length. */
    private static final double BODY_BYTES_PER_TOKEN = 4;
    /** Offset basis and prime of the 64-bit FNV-1a hash. */
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;

    private static final long FNV_PRIME = 0x100000001b3L;
    private static final int BYTE_MASK = 0xff;
    /** Index of the only tenant of a deployment whose settings name no tenants. */
    private static final int ONLY_TENANT = 0;
    /** Hash that stands for a prompt without a prefix. */
    private static final long NO_PREFIX = 0;

    private final List<String> classes;
    private final List<Double> deadlines;
    private final List<String> tenants;

    /** Creates a reader for the classes of a deployment, their deadlines in seconds, and its tenants. */
    public PlatformRequestReader(List<String> classes, List<Double> deadlines, List<String> tenants) {
        this.classes = classes;
        this.deadlines = deadlines;
        this.tenants = tenants;
    }

    /**
     * Reads a request.
     *
     * @param headers returns the value of a header, null if it is absent
     * @param engineRequest the request that is sent to the engines
     * @param earliestSentAt earliest time on the gateway's clock, in seconds, at which the client may have sent the
     *     request; its timeout counts from then
     * @throws InvalidInputException if a header is invalid; the message names it
     */
    Request read(UnaryOperator<String> headers, EngineRequest engineRequest, double earliestSentAt) {
        String id = id(headers);
        int serviceClass = index(classes, headers.apply(PRIORITY_CLASS), PRIORITY_CLASS);
        int tenant = tenants.isEmpty() ? ONLY_TENANT : index(tenants, headers.apply(TENANT), TENANT);
        String timeout = headers.apply(TIMEOUT);
        double timeoutSeconds = timeout == null ? deadlines.get(serviceClass) : seconds(timeout);
        Map<String, String> attributes = attributes(headers.apply(ATTRIBUTES));
        String prefix = attributes.getOrDefault(PREFIX, "");
        String session = headers.apply(ROUTE_KEY);
        Request.Prompt prompt = new Request.Prompt(
                session == null ? hashKey(id) : hashKey(session),
                prefix.isEmpty() ? NO_PREFIX : hashKey(prefix),
                attributes.containsKey(PROMPT_TOKENS)
                        ? attribute(attributes, PROMPT_TOKENS)
                        : engineRequest.body().length / BODY_BYTES_PER_TOKEN,
                attribute(attributes, PREFIX_TOKENS),
                attribute(attributes, MAX_OUTPUT_TOKENS));
        return new Request(
                id,
                serviceClass,
                tenant,
                prompt,
                earliestSentAt + timeoutSeconds,
                resubmission(headers.apply(RETRIED)),
                engineRequest,
                Request.ANY_ENGINE);
    }

    private static Request.Resubmission resubmission(String retried) {
        if (retried == null) {
            return Request.Resubmission.NONE;
        }
        return retried.equals(RETRIED_AGAIN) ? Request.Resubmission.RETURNED : Request.Resubmission.RETRIED;
    }

    private static String id(UnaryOperator<String> headers) {
        String id = headers.apply(REQUEST_ID);
        if (id == null || id.length() > MAX_ID_CHARACTERS || !ID.matcher(id).matches()) {
            throw new InvalidInputException(REQUEST_ID + " is missing or malformed");
        }
        return id;
    }

    private static int index(List<String> names, String name, String header) {
        if (name == null) {
            throw new InvalidInputException(header + " is missing");
        }
        int index = names.indexOf(name);
        if (index < 0) {
            // HttpCore reads each byte of a head as one character, but a name that is not ASCII is sent in UTF-8.
            index = names.indexOf(new String(name.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8));
        }
        if (index < 0) {
            throw new InvalidInputException(header + " names nothing known: " + name);
        }
        return index;
    }

    private static double attribute(Map<String, String> attributes, String name) {
        String text = attributes.getOrDefault(name, "0");
        if (!isNumber(text)) {
            throw notANumber(ATTRIBUTES + " " + name, text);
        }
        return Double.parseDouble(text);
    }

    private static double seconds(String text) {
        if (!isNumber(text)) {
            throw notANumber(TIMEOUT, text);
        }
        return Double.parseDouble(text);
    }

    private static boolean isNumber(String text) {
        return NUMBER.matcher(text).matches();
    }

    private static InvalidInputException notANumber(String field, String text) {
        return new InvalidInputException(field + " is not a number from 0 on: " + text);
    }

    /** Returns the pairs of a list of name=value; if a name occurs twice, its last value counts. */
    private static Map<String, String> attributes(String text) {
        Map<String, String> attributes = new HashMap<>();
        if (text == null || text.isBlank()) {
            return attributes;
        }
        for (String pair : text.split(",")) {
            int equals = pair.indexOf('=');
            if (equals <= 0) {
                throw new InvalidInputException(ATTRIBUTES + " is not a list of name=value: " + text);
            }
            String name = pair.substring(0, equals).trim();
            attributes.put(name, pair.substring(equals + 1).trim());
        }
        return attributes;
    }

    /** Returns the 64-bit FNV-1a hash of a name's UTF-8 bytes, which is the same at every gateway and never 0. */
    public static long hashKey(String name) {
        long hash = FNV_OFFSET_BASIS;
        for (byte octet : name.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ octet & BYTE_MASK) * FNV_PRIME;
        }
        return hash == NO_PREFIX ? 1 : hash;
    }
}
