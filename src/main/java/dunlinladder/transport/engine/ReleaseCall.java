package dunlinladder.transport.engine;

import dunlinladder.core.Engine;
import java.io.IOException;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.RequestChannel;
import org.apache.hc.core5.http.protocol.HttpContext;

/**
 * Asks one engine to release the KV cache of a request with {@code DELETE /internal/reservations/ID} of the platform
 * protocol specification. The engine has accepted the release if it answers with a status below 300.
 *
 * <p>HttpCore's I/O thread reports the answer, and the timer gives the call up if the engine is silent. The lock of
 * this object guards whether the call has ended, so that only the first of these two events is reported.
 */
final class ReleaseCall extends EngineExchange {

    private static final String RESERVATIONS_PATH = "/internal/reservations/";

    /** Receives the result of the call, once, on the thread that determined it. */
    interface Listener {

        /** Reports that the engine has accepted the release. */
        void accepted();

        /** Reports that the engine has not accepted the release, or that this is not known. */
        void notAccepted();
    }

    private final String requestId;
    private final Engine engine;
    private final Listener listener;
    private boolean ended;

    /** Prepares a call that releases the KV cache that {@code engine} holds for the request {@code requestId}. */
    ReleaseCall(EngineConnectionPool connections, String requestId, Engine engine, Listener listener) {
        super(connections);
        this.requestId = requestId;
        this.engine = engine;
        this.listener = listener;
    }

    /** Sends the request. */
    void start() {
        start(engine.address());
    }

    /** Whether the call has ended. */
    synchronized boolean hasEnded() {
        return ended;
    }

    /** Marks the call as ended; returns false if it had already ended. */
    private synchronized boolean end() {
        boolean first = !ended;
        ended = true;
        return first;
    }

    @Override
    synchronized boolean mayStart() {
        return !ended;
    }

    @Override
    void connectionFailed() {
        if (end()) {
            listener.notAccepted();
        }
    }

    @Override
    public void produceRequest(RequestChannel channel, HttpContext context) throws HttpException, IOException {
        BasicHttpRequest request = new BasicHttpRequest("DELETE", RESERVATIONS_PATH + requestId);
        request.setAuthority(EngineAddress.authority(engine));
        channel.sendRequest(request, null, context);
    }

    @Override
    void responseHead(HttpResponse response, EntityDetails entity) {
        if (!end()) {
            return;
        }
        if (response.getCode() < HttpStatus.SC_REDIRECTION) {
            listener.accepted();
        } else {
            listener.notAccepted();
        }
    }
}
