package dunlinladder.apiformat;

import java.util.List;

/**
 * One message of a conversation.
 *
 * @param role the author's role
 * @param parts its content, in order
 * @param name the author's name, or null
 */
public record Message(Role role, List<ContentPart> parts, String name) {

    /** The role of a message's author. */
    public enum Role {
        /** The operator of the client, who gives instructions. */
        SYSTEM,
        /** The client's user. */
        USER,
        /** The model. */
        ASSISTANT,
        /** A tool that the model called. */
        TOOL
    }

    /** Copies the parts. */
    public Message {
        parts = List.copyOf(parts);
    }

    /** Returns the text of all parts that are text, tool results or refusals, concatenated. */
    public String text() {
        StringBuilder text = new StringBuilder();
        for (ContentPart part : parts) {
            if (part instanceof ContentPart.Text plain) {
                text.append(plain.text());
            } else if (part instanceof ContentPart.Result result) {
                text.append(result.text());
            } else if (part instanceof ContentPart.Refusal refusal) {
                text.append(refusal.text());
            }
        }
        return text.toString();
    }
}
