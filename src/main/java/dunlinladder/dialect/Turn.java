package dunlinladder.dialect;

import java.util.List;

/** One message of a conversation; {@code name} of its author may be null. */
public record Turn(Role role, List<Part> parts, String name) {

    /** Who speaks. */
    public enum Role {
        SYSTEM,
        USER,
        ASSISTANT,
        TOOL
    }

    /** Copies the parts. */
    public Turn {
        parts = List.copyOf(parts);
    }

    /** Its text parts, one after the other. */
    public String text() {
        StringBuilder text = new StringBuilder();
        for (Part part : parts) {
            if (part instanceof Part.Text piece) {
                text.append(piece.text());
            } else if (part instanceof Part.Result result) {
                text.append(result.text());
            } else if (part instanceof Part.Refusal refusal) {
                text.append(refusal.text());
            }
        }
        return text.toString();
    }
}
