package dunlinladder.apiformat;

import java.util.ArrayList;
import java.util.List;

/** A choice of a reply, assembled from its events. */
final class ChoiceBuffer {

    private final List<PartBuffer> parts = new ArrayList<>();
    /** The event that finished the choice. It is set before the body is encoded. */
    private ReplyEvent.ChoiceFinished finish;

    void add(PartBuffer part) {
        parts.add(part);
    }

    void finish(ReplyEvent.ChoiceFinished event) {
        finish = event;
    }

    PartBuffer part(int index) {
        return parts.get(index);
    }

    List<PartBuffer> parts() {
        return parts;
    }

    /** Returns the event that finished the choice. */
    ReplyEvent.ChoiceFinished finish() {
        return finish;
    }
}
