package dunlinladder.core;

/**
 * The state of one request from its acceptance to its final answer.
 *
 * <p>The lock of this object guards {@code call}, {@code disconnected} and {@code expired}. The driving thread sends
 * attempts, and the thread that serves the client's connection reports that the connection closed. These may happen in
 * either order, and the attempt in flight must be cancelled in both cases. Only the driving thread uses the
 * {@linkplain #history() history}.
 */
final class InFlightRequest {

    private final Request request;
    private final ResponseSink client;
    private final double acceptedAt;
    private final AttemptHistory history = new AttemptHistory();

    /** The attempt that was started last; null before the first attempt. */
    private EngineTransport.Call call;

    private boolean disconnected;
    private boolean expired;

    /** Creates the state of a request that was accepted at clock time {@code acceptedAt}, in seconds. */
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

    /** Returns the clock time of the acceptance in seconds. */
    double acceptedAt() {
        return acceptedAt;
    }

    /** Returns the request's attempts; only for the driving thread. */
    AttemptHistory history() {
        return history;
    }

    /** Records that an attempt was started, and cancels it at once if the request was cancelled in the meantime. */
    synchronized void attemptStarted(EngineTransport.Call started) {
        call = started;
        if (isCancelled()) {
            started.cancelAttempt();
        }
    }

    /** Records that the client has left; cancels the attempt in flight and any attempt that is started later. */
    synchronized void disconnect() {
        disconnected = true;
        if (call != null) {
            call.cancelAttempt();
        }
    }

    /**
     * Ends the request because the process ends before the client's deadline: cancels the attempt in flight and any
     * attempt that is started later.
     *
     * @return false, without any effect, when a stream has begun
     */
    synchronized boolean expire() {
        expired = call == null || call.cancelUnlessStreaming();
        return expired;
    }

    /** Whether the request was ended before the client's deadline because the process ends. */
    synchronized boolean isExpired() {
        return expired;
    }

    /** Whether no further attempt may be sent: the client has left, or the request has expired. */
    synchronized boolean isCancelled() {
        return disconnected || expired;
    }

    /** Whether the client has left. */
    synchronized boolean isDisconnected() {
        return disconnected;
    }
}
