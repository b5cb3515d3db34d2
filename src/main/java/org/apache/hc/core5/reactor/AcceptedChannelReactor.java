package org.apache.hc.core5.reactor;

import java.nio.channels.SocketChannel;
import java.util.concurrent.ThreadFactory;
import org.apache.hc.core5.function.Callback;
import org.apache.hc.core5.io.CloseMode;

/**
 * One I/O thread of HttpCore that serves channels which were accepted elsewhere. HttpCore's own listener ends for good
 * with the first failure of accept, and it offers no public way to hand a channel to its I/O threads; that way is
 * package-private, which is why this type stands in this package. It has no other job.
 *
 * <p>Safe for use by several threads.
 */
public final class AcceptedChannelReactor {

    private final SingleCoreIOReactor reactor;
    private final Thread thread;

    /**
     * Creates a reactor; nothing runs before {@link #start}.
     *
     * @param handlers makes the handler of each connection, on the I/O thread
     * @param faults told of exceptions outside any one connection
     * @param listener hears of the ends of connections
     * @param shutdown run for each connection at a graceful end
     * @param threads makes the I/O thread
     */
    public AcceptedChannelReactor(
            IOEventHandlerFactory handlers,
            IOReactorConfig config,
            Callback<Exception> faults,
            IOSessionListener listener,
            Callback<IOSession> shutdown,
            ThreadFactory threads) {
        reactor = new SingleCoreIOReactor(faults, handlers, config, null, listener, null, shutdown);
        thread = threads.newThread(new IOReactorWorker(reactor));
    }

    /** Starts the I/O thread. */
    public void start() {
        thread.start();
    }

    /**
     * Hands a channel over.
     *
     * @param attachment handed to the maker of its handler
     * @throws IOReactorShutdownException where the reactor has ended
     */
    public void add(SocketChannel channel, Object attachment) {
        reactor.enqueueChannel(new ChannelEntry(channel, attachment));
    }

    /** Ends the I/O thread and closes its connections. */
    public void close(CloseMode mode) {
        reactor.close(mode);
    }
}
