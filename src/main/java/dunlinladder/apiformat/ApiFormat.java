package dunlinladder.apiformat;

import java.util.Locale;
import java.util.Optional;

/** The published request formats that are spoken, each by clients and by engines. */
public enum ApiFormat {

    /** The legacy text API. */
    COMPLETIONS("/v1/completions"),
    /** Chat completions. */
    CHAT("/v1/chat/completions"),
    /** The newer format of items and typed events. */
    RESPONSES("/v1/responses"),
    /** Content blocks, with the system text apart. */
    MESSAGES("/v1/messages");

    private final String path;

    ApiFormat(String path) {
        this.path = path;
    }

    /** The path at which requests of this format are posted. */
    public String path() {
        return path;
    }

    /** The name by which operators' files call it. */
    public String key() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** The format of a name in an operator's file, if it is one. */
    public static Optional<ApiFormat> of(String key) {
        for (ApiFormat format : values()) {
            if (format.key().equals(key)) {
                return Optional.of(format);
            }
        }
        return Optional.empty();
    }
}
