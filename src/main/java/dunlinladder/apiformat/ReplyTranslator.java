package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * One answer on its way from an engine's format to a client's: bytes of events in, text for the client out. Whole
 * answers are gathered and given at the end.
 */
public final class ReplyTranslator {

    private final ReplyDecoder reader;
    private final ReplyEncoder writer;
    private final boolean stream;
    private final ServerSentEventReader cutter = new ServerSentEventReader(this::event);
    private final List<ReplyEvent> gathered = new ArrayList<>();
    private Consumer<String> out = text -> {};
    private ApiError fault;
    private boolean whole;

    /** Creates the translation of one answer; {@code stream} tells whether the client wants events. */
    public ReplyTranslator(ApiFormat from, ApiFormat to, ReplyEncoder.Identity identity, boolean stream) {
        this.reader = ReplyDecoder.of(from);
        this.writer = ReplyEncoder.of(to, identity);
        this.stream = stream;
    }

    /** Takes a piece of an engine's stream; {@code to} gets what it turns into, in order. */
    public void stream(ByteBuffer piece, Consumer<String> to) {
        out = to;
        cutter.read(piece);
    }

    /** Takes an engine's whole answer. */
    public void body(byte[] content, Consumer<String> to) {
        out = to;
        reader.whole(content).forEach(this::event);
    }

    /** The engine's stream ended in order; without its closing event the answer has failed all the same. */
    public void end(Consumer<String> to) {
        out = to;
        reader.end().forEach(this::event);
    }

    /** Tells the client that the answer broke off; only where something was given to it. */
    public void fail(ApiError why, Consumer<String> to) {
        out = to;
        event(new ReplyEvent.Failed(why));
    }

    private void event(String name, String data) {
        reader.event(name, data).forEach(this::event);
    }

    private void event(ReplyEvent event) {
        if (fault != null || whole) {
            return;
        }
        if (event instanceof ReplyEvent.Failed failed) {
            fault = failed.fault();
        }
        whole = event instanceof ReplyEvent.End;
        if (!stream) {
            gathered.add(event);
        } else {
            String text = writer.stream(event);
            if (!text.isEmpty()) {
                out.accept(text);
            }
        }
    }

    /** Whether the answer came to its end. */
    public boolean whole() {
        return whole;
    }

    /** Why the answer failed; null where it did not. */
    public ApiError fault() {
        return fault;
    }

    /** The whole answer in the client's format, once it is whole. */
    public JsonNode answer() {
        if (!whole) {
            throw new IllegalStateException("the answer is not whole");
        }
        return writer.whole(gathered);
    }
}
