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
 * Asks one engine to release what it holds for a request: {@code DELETE /internal/reservations/ID} of the protocol
 * page. The engine has taken it when it answers with a status below 300.
 *
 * <p>HttpCore's I/O thread reports the answer, the timer gives up a silent engine; the lock of this object guards which
 * of them came first.
 */
final class ReleaseCall extends EngineExchange {

    private static final String RESERVATIONS_PATH = "/internal/reservations/";

    /** Told how the call ended, once, by the thread that found it. */
    interface Listener {

        /** The engine has taken the release. */
        void released();

        /** The engine has not, or can't be known to have taken it. */
        void notReleased();
    }

    private final String requestId;
    private final Engine engine;
    private final Listener listener;
    private boolean ended;

    /** Prepares a call that releases what {@code engine} holds for the request {@code requestId}. */
    ReleaseCall(EngineConnectionPool connections, String requestId, Engine engine, Listener listener) {
        super(connections);
        this.requestId = requestId;
        this.engine = engine;
        this.listener = listener;
    }

    /** Sends it. */
    void start() {
        start(engine.address());
    }

    /** Whether its end has been found. */
    synchronized boolean hasEnded() {
        return ended;
    }

    /** Whether this is the first end that is found. */
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
            listener.notReleased();
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
            listener.released();
        } else {
            listener.notReleased();
        }
    }
}
