package dunlinladder.transport.chat;

import dunlinladder.core.Request;
import dunlinladder.transport.platform.PlatformRequestReader;

/**
 * Estimates the properties of a prompt that the core needs, from its messages, which are added in order.
 *
 * <p>All requests of a conversation start with the same messages. The session number is a hash of the tenant, the model
 * and the messages up to and including the first one that is not an instruction. An instruction at the very start of
 * the prompt is treated as a prefix that other conversations share.
 */
final class PromptMeter {

    private static final double CHARACTERS_PER_TOKEN = 4;
    private static final long NO_PREFIX = 0;

    private final StringBuilder sessionText;
    private boolean sessionTextComplete;
    private boolean hasMessages;
    /** The first message if it is an instruction, else null. */
    private String sharedPrefix;

    private long characterCount;

    PromptMeter(int tenant, String model) {
        sessionText = new StringBuilder(tenant + "\n" + model);
    }

    /**
     * Adds the next message.
     *
     * @param instruction whether the message comes from the application rather than from the user
     */
    void add(String role, String text, boolean instruction) {
        characterCount += text.length();
        if (!sessionTextComplete) {
            sessionText.append('\n').append(role).append('\n').append(text);
            sessionTextComplete = !instruction;
        }
        if (!hasMessages && instruction) {
            sharedPrefix = text;
        }
        hasMessages = true;
    }

    /**
     * Returns the estimate.
     *
     * @param maxOutputTokens limit on the length of the reply in tokens
     */
    Request.Prompt prompt(long maxOutputTokens) {
        long session = PlatformRequestReader.hashKey(sessionText.toString());
        double tokens = Math.ceil(characterCount / CHARACTERS_PER_TOKEN);
        if (sharedPrefix == null) {
            return new Request.Prompt(session, NO_PREFIX, tokens, 0, maxOutputTokens);
        }
        long prefix = PlatformRequestReader.hashKey(sharedPrefix);
        double prefixTokens = Math.floor(sharedPrefix.length() / CHARACTERS_PER_TOKEN);
        return new Request.Prompt(session, prefix, tokens, prefixTokens, maxOutputTokens);
    }
}
