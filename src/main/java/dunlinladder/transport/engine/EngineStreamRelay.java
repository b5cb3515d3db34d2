package dunlinladder.transport.engine;

import dunlinladder.core.AttemptListener;
import dunlinladder.core.ResponseSink;
import dunlinladder.transport.json.InvalidInputException;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.function.IntConsumer;

/**
 * Passes the stream of an engine on to the client, each complete event as soon as it is there, and grants the engine
 * more bytes as the client takes them. Called by HttpCore's I/O thread only; the client's side reports what it has
 * taken from any thread.
 */
final class EngineStreamRelay {

    private final EventStreamFilter filter;
    private final EngineFlowControl flowControl;
    private final AttemptProgress progress;
    private final ResponseSink client;
    private final AttemptListener listener;

    /** Creates a relay; {@code listener} hears of the first event. */
    EngineStreamRelay(
            EventStreamFilter filter,
            EngineFlowControl flowControl,
            AttemptProgress progress,
            ResponseSink client,
            AttemptListener listener) {
        this.filter = filter;
        this.flowControl = flowControl;
        this.progress = progress;
        this.client = client;
        this.listener = listener;
    }

    /** Takes a piece of the stream, all of it. */
    void receive(ByteBuffer piece) throws InvalidStreamException {
        int size = piece.remaining();
        int pending = filter.pendingBytes();
        try {
            ByteBuffer events = filter.add(piece);
            // What waits for the rest of its event is not the client's to take, so it is granted now.
            flowControl.grant(size - Math.max(0, events.remaining() - pending));
            passOn(events, pending);
        } catch (InvalidInputException e) {
            throw new InvalidStreamException(e);
        }
    }

    /** The stream has ended: passes on what is left. */
    void end() throws InvalidStreamException {
        int pending = filter.pendingBytes();
        try {
            passOn(filter.end(), pending);
        } catch (InvalidInputException e) {
            throw new InvalidStreamException(e);
        }
    }

    /** Prompt tokens that were found cached, as the events state; 0 when they do not. */
    double cachedTokens() {
        return filter.cachedTokens();
    }

    /** The load report that the stream carried; empty when there was none. */
    Map<String, Double> loadReport() {
        return filter.loadReport();
    }

    /** Passes complete events on; {@code grantedBytes} of theirs have been granted to the engine already. */
    private void passOn(ByteBuffer events, int grantedBytes) {
        if (!events.hasRemaining()) {
            return;
        }
        AttemptProgress.Arrival arrival = progress.eventsArrived(events.remaining());
        if (arrival == AttemptProgress.Arrival.AFTER_END) {
            return;
        }
        if (arrival == AttemptProgress.Arrival.FIRST) {
            listener.firstToken();
        }
        client.writeEvents(events, new TakenBytes(grantedBytes));
    }

    /** Told how many bytes of one call the client has taken; the first of them have been granted already. */
    private final class TakenBytes implements IntConsumer {
        private int alreadyGranted;

        TakenBytes(int alreadyGranted) {
            this.alreadyGranted = alreadyGranted;
        }

        @Override
        public void accept(int bytes) {
            progress.eventsTaken(bytes);
            int covered = Math.min(alreadyGranted, bytes);
            alreadyGranted -= covered;
            flowControl.grant(bytes - covered);
        }
    }
}
