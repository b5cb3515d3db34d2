package dunlinladder.core;

/**
 * Bookkeeping of one request from its acceptance to its final answer.
 *
 * <p>The lock of this object guards {@code call}, {@code disconnected} and {@code expired}: the driving thread sends
 * and the thread that serves the client's connection reports that it closed, in any order, and the attempt in flight
 * must be abandoned in either. The {@linkplain #history() history} belongs to the driving thread alone.
 */
final class InFlightRequest {

    private final Request request;
    private final ResponseSink client;
    private final double acceptedAt;
    private final AttemptHistory history = new AttemptHistory();

    /** The attempt that was begun last; null before the first one. */
    private EngineTransport.Call call;

    private boolean disconnected;
    private boolean expired;

    /** Creates it for a request that was accepted at clock time {@code acceptedAt}, in seconds. */
    InFlightRequest(Request request, ResponseSink client, double acceptedAt) {
        this.request = request;
        this.client = client;
        this.acceptedAt = acceptedAt;
    }

    Request request() {
        return request;
    }

    ResponseSink client() {
        return client;
    }

    /** Clock time of the acceptance, in seconds. */
    double acceptedAt() {
        return acceptedAt;
    }

    /** The request's attempts; for the driving thread only. */
    AttemptHistory history() {
        return history;
    }

    /** An attempt was begun; it is abandoned at once where the client has left meanwhile. */
    synchronized void begun(EngineTransport.Call started) {
        call = started;
        if (isOver()) {
            started.abandon();
        }
    }

    /** The client has left: abandons the attempt in flight, and any that begins from now on. */
    synchronized void disconnect() {
        disconnected = true;
        if (call != null) {
            call.abandon();
        }
    }

    /**
     * The process ends before the client's deadline: abandons the attempt in flight, and any that begins from now on.
     *
     * @return false, and nothing done, where a stream has begun
     */
    synchronized boolean expire() {
        expired = call == null || call.abandonUnlessStreaming();
        return expired;
    }

    /** Whether it was ended before the client's deadline, as the process ends. */
    synchronized boolean isExpired() {
        return expired;
    }

    /** Whether nothing more is to be sent for it. */
    synchronized boolean isOver() {
        return disconnected || expired;
    }

    /** Whether the client has left. */
    synchronized boolean isDisconnected() {
        return disconnected;
    }
}
