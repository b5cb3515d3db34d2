package dunlinladder.apiformat;

import java.util.List;

/** One message of a conversation; {@code name} of its author may be null. */
public record Message(Role role, List<ContentPart> parts, String name) {

    /** Who speaks. */
    public enum Role {
        SYSTEM,
        USER,
        ASSISTANT,
        TOOL
    }

    /** Copies the parts. */
    public Message {
        parts = List.copyOf(parts);
    }

    /** Its text parts, one after the other. */
    public String text() {
        StringBuilder text = new StringBuilder();
        for (ContentPart part : parts) {
            if (part instanceof ContentPart.Text piece) {
                text.append(piece.text());
            } else if (part instanceof ContentPart.Result result) {
                text.append(result.text());
            } else if (part instanceof ContentPart.Refusal refusal) {
                text.append(refusal.text());
            }
        }
        return text.toString();
    }
}
