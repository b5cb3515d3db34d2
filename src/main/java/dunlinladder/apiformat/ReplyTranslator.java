package dunlinladder.apiformat;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Translates one reply from an engine's format into a client's. Reads the engine's stream in chunks and passes text to
 * the client. For a client that does not stream, the events are buffered, and {@link #completeReply()} returns the body
 * at the end.
 *
 * <p>Not thread-safe: one exchange calls it, one call at a time.
 */
public final class ReplyTranslator {

    private final ReplyDecoder decoder;
    private final ReplyEncoder encoder;
    private final boolean streaming;
    private final ServerSentEventReader eventReader = new ServerSentEventReader(this::decode);
    private final List<ReplyEvent> bufferedEvents = new ArrayList<>();
    private Consumer<String> output = text -> {};
    private Optional<ApiError> error = Optional.empty();
    private boolean complete;

    /**
     * Creates the translator of one reply.
     *
     * @param from the engine's format
     * @param to the client's format
     * @param identity the reply's id, model and time, as the client sees them
     * @param streaming whether the client asked for events rather than one body
     */
    public ReplyTranslator(ApiFormat from, ApiFormat to, ReplyEncoder.Identity identity, boolean streaming) {
        this.decoder = ReplyDecoder.of(from);
        this.encoder = ReplyEncoder.of(to, identity);
        this.streaming = streaming;
    }

    /**
     * Translates a chunk of the engine's stream, which may be cut anywhere. {@code client} receives the translated
     * text, in order.
     */
    public void translateChunk(ByteBuffer chunk, Consumer<String> client) {
        output = client;
        eventReader.read(chunk);
    }

    /**
     * Handles the normal end of the engine's stream. If the closing event of the engine's format has not arrived by
     * then, the reply fails, and {@code client} receives the error.
     */
    public void endOfStream(Consumer<String> client) {
        output = client;
        decoder.endOfStream().forEach(this::translate);
    }

    /** Fails the reply and reports the error to a client that has already received a part of the reply. */
    public void fail(ApiError reason, Consumer<String> client) {
        output = client;
        translate(new ReplyEvent.Failed(reason));
    }

    private void decode(String name, String data) {
        decoder.decodeEvent(name, data).forEach(this::translate);
    }

    private void translate(ReplyEvent event) {
        if (error.isPresent() || complete) {
            return;
        }
        if (event instanceof ReplyEvent.Failed failed) {
            error = Optional.of(failed.error());
        }
        complete = event instanceof ReplyEvent.Completed;
        if (!streaming) {
            bufferedEvents.add(event);
            return;
        }
        String text = encoder.encode(event);
        if (!text.isEmpty()) {
            output.accept(text);
        }
    }

    /** Whether the reply's closing event has arrived. */
    public boolean isComplete() {
        return complete;
    }

    /** Returns the error with which the reply failed, or empty if it has not failed. */
    public Optional<ApiError> error() {
        return error;
    }

    /**
     * Returns the body of the complete reply in the client's format, for a client that does not stream.
     *
     * @throws IncompleteReplyException if {@link #isComplete()} is false
     */
    public JsonNode completeReply() {
        if (!complete) {
            throw new IncompleteReplyException("the reply is not complete");
        }
        return encoder.encodeComplete(bufferedEvents);
    }
}
