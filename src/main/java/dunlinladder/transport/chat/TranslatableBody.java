package dunlinladder.transport.chat;

import dunlinladder.apiformat.ApiFormat;
import dunlinladder.apiformat.Conversation;
import dunlinladder.apiformat.RequestParameter;
import dunlinladder.apiformat.RequestTranslator;
import dunlinladder.apiformat.RequestTranslator.UnknownFields;
import dunlinladder.apiformat.StrictJson;
import java.util.ArrayList;
import java.util.List;

/**
 * The body of a request that is translated for engines. A request in flight keeps the bytes, whose size is known; the
 * parsed form, which may take many times as much, is kept only until {@link #discardParsed} and made again if needed.
 *
 * <p>Used by one thread at a time.
 */
final class TranslatableBody {

    private final ApiFormat format;
    private final byte[] content;
    private final UnknownFields unknownFields;
    private final boolean legacyTools;
    private final String echoedPrompt;
    /** Null once it has been discarded. */
    private Conversation parsed;

    /**
     * Parses a body.
     *
     * @param format the client's API format
     * @param unknownFields how fields that the format does not define are handled
     * @param warnings receives a line for each field that is left out
     * @throws dunlinladder.apiformat.UntranslatableRequestException if the body is faulty
     */
    TranslatableBody(ApiFormat format, byte[] content, UnknownFields unknownFields, List<String> warnings) {
        this.format = format;
        this.content = content;
        this.unknownFields = unknownFields;
        parsed = parse(warnings);
        legacyTools = parsed.legacyTools();
        echoedPrompt =
                parsed.flag(RequestParameter.ECHO) ? parsed.messages().get(0).text() : "";
    }

    private Conversation parse(List<String> warnings) {
        return RequestTranslator.decode(format, StrictJson.body(content), unknownFields, warnings);
    }

    /** Returns the parsed body. */
    Conversation conversation() {
        if (parsed == null) {
            // The warnings were given when the body was parsed for the first time.
            parsed = parse(new ArrayList<>());
        }
        return parsed;
    }

    /** Drops the parsed form. */
    void discardParsed() {
        parsed = null;
    }

    /** Returns the heap that this object takes once the parsed form is dropped, in bytes. */
    long heldBytes() {
        return (long) content.length + (long) Character.BYTES * echoedPrompt.length();
    }

    /** Returns the body as the client sent it. */
    byte[] content() {
        return content;
    }

    /** Whether the client defined tools in the older field {@code functions}. */
    boolean legacyTools() {
        return legacyTools;
    }

    /** Returns the prompt if the client wants it repeated in the reply, else an empty string. */
    String echoedPrompt() {
        return echoedPrompt;
    }
}
