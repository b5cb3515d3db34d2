package dunlinladder.transport.engine;

import java.io.IOException;
import java.util.function.Consumer;
import org.apache.hc.core5.http.nio.CapacityChannel;

/**
 * Lets an engine send as many more bytes as were delivered to its client, so that a slow client slows down its engine
 * instead of filling the heap.
 *
 * <p>HttpCore's I/O thread provides the channel and the client's side grants bytes, in any order. The lock guards the
 * channel and the number of bytes that were granted before the channel was open; it is not held while the channel is
 * used.
 */
final class EngineFlowControl {

    private final Consumer<IOException> failureHandler;
    private CapacityChannel channel;
    private int bytesGrantedBeforeOpen;

    /** Creates a flow control without a channel; {@code failureHandler} is called if the connection is broken. */
    EngineFlowControl(Consumer<IOException> failureHandler) {
        this.failureHandler = failureHandler;
    }

    /** Sets the channel, and grants the bytes that were granted before. */
    void open(CapacityChannel capacityChannel) throws IOException {
        int bytes;
        synchronized (this) {
            channel = capacityChannel;
            bytes = bytesGrantedBeforeOpen;
            bytesGrantedBeforeOpen = 0;
        }
        if (bytes > 0) {
            capacityChannel.update(bytes);
        }
    }

    /** Allows the engine to send {@code bytes} more bytes; 0 has no effect. */
    void grant(int bytes) {
        CapacityChannel openChannel;
        synchronized (this) {
            openChannel = channel;
            bytesGrantedBeforeOpen += openChannel == null ? bytes : 0;
        }
        try {
            if (openChannel != null && bytes > 0) {
                openChannel.update(bytes);
            }
        } catch (IOException e) {
            failureHandler.accept(e);
        }
    }
}
