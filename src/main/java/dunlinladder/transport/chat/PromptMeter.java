package dunlinladder.transport.chat;

import dunlinladder.core.Request;
import dunlinladder.transport.platform.PlatformRequestReader;

/**
 * Estimates what the core wants to know of a prompt from its messages, which are added in their order.
 *
 * <p>All requests of a conversation begin alike, up to the first message that is not an instruction: that much is
 * hashed as its session. An instruction that opens the prompt is taken for a prefix that other conversations share.
 */
final class PromptMeter {

    private static final double CHARACTERS_PER_TOKEN = 4;
    private static final long NO_PREFIX = 0;

    private final StringBuilder opening;
    private boolean openingComplete;
    private boolean any;
    /** The instruction that opens the prompt, null where there is none. */
    private String sharedPrefix;

    private long characters;

    PromptMeter(int tenant, String model) {
        opening = new StringBuilder(tenant + "\n" + model);
    }

    /** Adds the next message; {@code instruction} where it is the application's and not the user's. */
    void add(String role, String text, boolean instruction) {
        characters += text.length();
        if (!openingComplete) {
            opening.append('\n').append(role).append('\n').append(text);
            openingComplete = !instruction;
        }
        if (!any && instruction) {
            sharedPrefix = text;
        }
        any = true;
    }

    /** The estimate; {@code maxOutputTokens} bounds the reply. */
    Request.Prompt prompt(long maxOutputTokens) {
        long session = PlatformRequestReader.key(opening.toString());
        double tokens = Math.ceil(characters / CHARACTERS_PER_TOKEN);
        if (sharedPrefix == null) {
            return new Request.Prompt(session, NO_PREFIX, tokens, 0, maxOutputTokens);
        }
        long prefix = PlatformRequestReader.key(sharedPrefix);
        double prefixTokens = Math.floor(sharedPrefix.length() / CHARACTERS_PER_TOKEN);
        return new Request.Prompt(session, prefix, tokens, prefixTokens, maxOutputTokens);
    }
}
