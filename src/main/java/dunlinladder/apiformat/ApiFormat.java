package dunlinladder.apiformat;

import java.util.Locale;
import java.util.Optional;

/** The published API formats that clients and engines may use. */
public enum ApiFormat {

    /** The legacy text completions API. */
    COMPLETIONS("/v1/completions"),
    /** Chat completions. */
    CHAT("/v1/chat/completions"),
    /** The responses API, with items and typed events. */
    RESPONSES("/v1/responses"),
    /** The messages API, with content blocks and the system text in a separate field. */
    MESSAGES("/v1/messages");

    private final String path;

    ApiFormat(String path) {
        this.path = path;
    }

    /** Returns the path to which requests of this format are posted. */
    public String path() {
        return path;
    }

    /** Returns the name of the format in configuration files. */
    public String key() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the format that has this name in configuration files, if there is one. */
    public static Optional<ApiFormat> of(String key) {
        for (ApiFormat format : values()) {
            if (format.key().equals(key)) {
                return Optional.of(format);
            }
        }
        return Optional.empty();
    }
}
