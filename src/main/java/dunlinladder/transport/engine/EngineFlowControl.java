package dunlinladder.transport.engine;

import java.io.IOException;
import java.util.function.Consumer;
import org.apache.hc.core5.http.nio.CapacityChannel;

/**
 * Lets an engine send as many more bytes as its client has taken, so that a slow client holds up its engine instead of
 * filling the heap.
 *
 * <p>HttpCore's I/O thread hands in the channel, the client's side grants bytes, in any order. The lock guards the
 * channel and what was granted before it was there; it is not held while the channel is used.
 */
final class EngineFlowControl {

    private final Consumer<IOException> failureHandler;
    private CapacityChannel channel;
    private int grantedEarly;

    /** Creates a control without a channel; {@code failureHandler} is told when the connection is broken. */
    EngineFlowControl(Consumer<IOException> failureHandler) {
        this.failureHandler = failureHandler;
    }

    /** Takes the channel, and passes on what was granted before. */
    void open(CapacityChannel capacityChannel) throws IOException {
        int bytes;
        synchronized (this) {
            channel = capacityChannel;
            bytes = grantedEarly;
            grantedEarly = 0;
        }
        if (bytes > 0) {
            capacityChannel.update(bytes);
        }
    }

    /** The engine may send {@code bytes} more; 0 does nothing. */
    void grant(int bytes) {
        CapacityChannel open;
        synchronized (this) {
            open = channel;
            grantedEarly += open == null ? bytes : 0;
        }
        try {
            if (open != null && bytes > 0) {
                open.update(bytes);
            }
        } catch (IOException e) {
            failureHandler.accept(e);
        }
    }
}
