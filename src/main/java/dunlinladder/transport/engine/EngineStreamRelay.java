package dunlinladder.transport.engine;

import dunlinladder.core.AttemptListener;
import dunlinladder.core.ResponseSink;
import dunlinladder.transport.json.InvalidInputException;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.function.IntConsumer;

/**
 * Forwards the stream of an engine to the client, each complete event as soon as it is received. Grants the engine more
 * bytes as events are delivered to the client. Called by HttpCore's I/O thread only, except that the client's side
 * reports delivered bytes from any thread.
 */
final class EngineStreamRelay {

    private final EventStreamFilter filter;
    private final EngineFlowControl flowControl;
    private final AttemptProgress progress;
    private final ResponseSink client;
    private final AttemptListener listener;

    /** Creates a relay; {@code listener} is notified of the first event. */
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

    /** Consumes all of {@code piece}, the next bytes of the stream. */
    void receive(ByteBuffer piece) throws InvalidStreamException {
        int size = piece.remaining();
        int pendingBytes = filter.pendingBytes();
        try {
            ByteBuffer events = filter.add(piece);
            // The bytes of an incomplete event are not forwarded to the client yet, so they are granted now.
            flowControl.grant(size - Math.max(0, events.remaining() - pendingBytes));
            forward(events, pendingBytes);
            progress.bytesArrived(filter.pendingBytes() > 0);
        } catch (InvalidInputException e) {
            throw new InvalidStreamException(e);
        }
    }

    /**
     * Ends the stream: forwards the remaining bytes.
     *
     * @throws IncompleteStreamException if the event that completes the stream has not been received
     */
    void end() throws InvalidStreamException, IncompleteStreamException {
        int pendingBytes = filter.pendingBytes();
        try {
            ByteBuffer remaining = filter.end();
            if (!filter.isTerminated()) {
                throw new IncompleteStreamException();
            }
            forward(remaining, pendingBytes);
        } catch (InvalidInputException e) {
            throw new InvalidStreamException(e);
        }
    }

    /** Returns the number of cached prompt tokens that the events state; 0 if they do not state it. */
    double cachedTokens() {
        return filter.cachedTokens();
    }

    /** Returns the load report of the stream; empty if there was none. */
    Map<String, Double> loadReport() {
        return filter.loadReport();
    }

    /** Forwards complete events; {@code grantedBytes} of their bytes have already been granted to the engine. */
    private void forward(ByteBuffer events, int grantedBytes) {
        if (!events.hasRemaining()) {
            return;
        }
        AttemptProgress.StreamPosition position = progress.eventsArrived(events.remaining());
        if (position == AttemptProgress.StreamPosition.AFTER_END) {
            return;
        }
        if (position == AttemptProgress.StreamPosition.FIRST) {
            listener.firstToken();
        }
        client.writeEvents(events, new DeliveryCallback(grantedBytes));
    }

    /**
     * Receives the number of bytes each time some of the forwarded events were delivered to the client. The first
     * {@code alreadyGranted} bytes of them have already been granted.
     */
    private final class DeliveryCallback implements IntConsumer {
        private int alreadyGranted;

        DeliveryCallback(int alreadyGranted) {
            this.alreadyGranted = alreadyGranted;
        }

        @Override
        public void accept(int bytes) {
            progress.eventsDelivered(bytes);
            int covered = Math.min(alreadyGranted, bytes);
            alreadyGranted -= covered;
            flowControl.grant(bytes - covered);
        }
    }
}
