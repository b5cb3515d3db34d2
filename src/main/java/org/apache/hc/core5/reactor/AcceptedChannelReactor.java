package org.apache.hc.core5.reactor;

import java.nio.channels.SocketChannel;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.locks.LockSupport;
import org.apache.hc.core5.function.Callback;
import org.apache.hc.core5.io.CloseMode;

/**
 * One I/O thread of HttpCore for channels that are accepted elsewhere. HttpCore's own listener stops for good at the
 * first failure of accept, and the methods that pass a channel to its I/O threads are package-private; therefore this
 * class is in HttpCore's package.
 *
 * <p>HttpCore's reactor ends for good with an {@link Error}, such as a lack of memory, or if its selector fails. The
 * thread then closes its connections and continues with a new reactor, which takes over the channels that the failed
 * one has not registered.
 *
 * <p>Thread-safe; the monitor guards the channels that wait for their registration and the replacement of the reactor.
 */
public final class AcceptedChannelReactor {

    /** Pause before a failed reactor is replaced, because what it lacked may still be missing. */
    private static final long RESTART_PAUSE_NANOS = 20_000_000;

    private final IOEventHandlerFactory handlerFactory;
    private final IOReactorConfig config;
    private final Listener listener;
    private final Callback<IOSession> shutdownCallback;
    private final Thread thread;
    /** The channels that are not registered yet, each with its attachment. */
    private final Map<SocketChannel, Object> unregistered = new LinkedHashMap<>();

    private volatile SingleCoreIOReactor reactor;
    private volatile boolean closed;

    /** Is notified, on the I/O thread. */
    public interface Listener extends IOSessionListener {

        /** Reports an exception that does not belong to one connection. */
        void listenerFailed(Exception e);

        /**
         * Reports that the reactor has failed and is being replaced; what is left of the connections must be ended.
         *
         * @param failure the error that ended it; null if there was none
         */
        void reactorFailed(Throwable failure);
    }

    /** What HttpCore passes to the handler factory with a channel's session. */
    private record Accepted(SocketChannel channel, Object attachment) {}

    /**
     * Creates a reactor; nothing runs before {@link #start}.
     *
     * @param handlerFactory creates the handler of each connection, on the I/O thread
     * @param listener is notified when connections end, and of failures
     * @param shutdownCallback runs for each connection at a graceful shutdown
     * @param threadFactory creates the I/O thread
     */
    public AcceptedChannelReactor(
            IOEventHandlerFactory handlerFactory,
            IOReactorConfig config,
            Listener listener,
            Callback<IOSession> shutdownCallback,
            ThreadFactory threadFactory) {
        this.handlerFactory = handlerFactory;
        this.config = config;
        this.listener = listener;
        this.shutdownCallback = shutdownCallback;
        reactor = createReactor();
        thread = threadFactory.newThread(this::run);
    }

    private SingleCoreIOReactor createReactor() {
        return new SingleCoreIOReactor(
                listener::listenerFailed, this::createHandler, config, null, listener, null, shutdownCallback);
    }

    private IOEventHandler createHandler(ProtocolIOSession session, Object attachment) {
        Accepted accepted = (Accepted) attachment;
        synchronized (this) {
            unregistered.remove(accepted.channel());
        }
        return handlerFactory.createHandler(session, accepted.attachment());
    }

    /** Starts the I/O thread. */
    public void start() {
        thread.start();
    }

    private void run() {
        Throwable failure = execute();
        while (!closed) {
            failure = restart(failure);
        }
    }

    /** Runs the reactor until it ends; returns the error that ended it, null if there was none. */
    private Throwable execute() {
        try {
            reactor.execute();
            return null;
        } catch (Error e) {
            return e;
        }
    }

    /** Runs a new reactor in place of one that has failed; returns the next failure. */
    private Throwable restart(Throwable failure) {
        try {
            LockSupport.parkNanos(RESTART_PAUSE_NANOS);
            reactor.close(CloseMode.IMMEDIATE);
            listener.reactorFailed(failure);
            replaceReactor();
        } catch (RuntimeException | Error e) {
            // Tried again: memory or descriptors are still missing.
            return e;
        }
        if (closed) {
            // That close may not have seen the new reactor.
            reactor.close(CloseMode.IMMEDIATE);
            return null;
        }
        return execute();
    }

    private synchronized void replaceReactor() {
        SingleCoreIOReactor replacement = createReactor();
        // The failed reactor has closed those channels that it had taken.
        unregistered.keySet().removeIf(channel -> !channel.isOpen());
        unregistered.forEach((channel, attachment) -> enqueue(replacement, channel, attachment));
        reactor = replacement;
    }

    private static void enqueue(SingleCoreIOReactor target, SocketChannel channel, Object attachment) {
        target.enqueueChannel(new ChannelEntry(channel, new Accepted(channel, attachment)));
    }

    /**
     * Passes a channel to the I/O thread.
     *
     * @param attachment passed to the factory of the connection's handler
     * @throws IOReactorShutdownException if this object is closed
     */
    public synchronized void add(SocketChannel channel, Object attachment) {
        unregistered.put(channel, attachment);
        try {
            enqueue(reactor, channel, attachment);
        } catch (IOReactorShutdownException e) {
            if (closed) {
                unregistered.remove(channel);
                throw e;
            }
            // The reactor has failed; the one that replaces it takes the channel.
        }
    }

    /** Returns the number of channels that were added and have no handler yet. */
    public synchronized int unregisteredCount() {
        return unregistered.size();
    }

    /** Stops the I/O thread and closes its connections. */
    public void close(CloseMode mode) {
        closed = true;
        reactor.close(mode);
    }
}
