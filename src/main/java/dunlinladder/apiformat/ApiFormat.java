package dunlinladder.apiformat;

import java.util.Locale;
import java.util.Optional;

/** The published API formats that clients and engines may speak. */
public enum ApiFormat {

    /** The legacy text completions API. */
    COMPLETIONS("/v1/completions"),
    /** Chat completions. */
    CHAT("/v1/chat/completions"),
    /** The responses API, with items and typed events. */
    RESPONSES("/v1/responses"),
    /** The messages API, with content blocks and the system text apart. */
    MESSAGES("/v1/messages");

    private final String path;

    ApiFormat(String path) {
        this.path = path;
    }

    /** The path to which requests of this format are posted. */
    public String path() {
        return path;
    }

    /** The name by which configuration files call it. */
    public String key() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** The format that a configuration file names, if there is one of that name. */
    public static Optional<ApiFormat> of(String key) {
        for (ApiFormat format : values()) {
            if (format.key().equals(key)) {
                return Optional.of(format);
            }
        }
        return Optional.empty();
    }
}
