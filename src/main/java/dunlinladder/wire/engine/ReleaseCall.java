package dunlinladder.wire.engine;

import dunlinladder.core.Engine;
import dunlinladder.core.Limits;
import java.io.IOException;
import java.util.Iterator;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.RequestChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One DELETE of what is held for a request, at one engine. */
final class ReleaseCall extends Exchange {

    private static final Logger LOG = LoggerFactory.getLogger(ReleaseCall.class);

    private final Chain chain;
    private final Engine engine;
    private boolean settled;

    private ReleaseCall(Chain chain, Engine engine) {
        super(chain.connections);
        this.chain = chain;
        this.engine = engine;
    }

    /** Asks one engine after another until one has answered. */
    static final class Chain {
        private final Connections connections;
        private final ScheduledExecutorService timer;
        private final Limits limits;
        private final String id;
        private final Iterator<Engine> order;
        private int tries;

        Chain(Connections connections, ScheduledExecutorService timer, Limits limits, String id,
                Iterator<Engine> order) {
            this.connections = connections;
            this.timer = timer;
            this.limits = limits;
            this.id = id;
            this.order = order;
        }

        void next() {
            if (tries++ >= limits.releaseTries() || !order.hasNext()) {
                LOG.warn("no engine took the release of {}", id);
                return;
            }
            ReleaseCall call = new ReleaseCall(this, order.next());
            call.start(call.engine.address());
            timer.schedule(() -> call.failed(null), (long) (limits.releaseSeconds() * 1e6),
                    TimeUnit.MICROSECONDS);
        }
    }

    private synchronized boolean settle() {
        boolean now = !settled;
        settled = true;
        return now;
    }

    @Override
    synchronized boolean mayStart() {
        return !settled;
    }

    /** A release that is lost leaves the state pinned, so the next engine is asked. */
    @Override
    void broken() {
        if (settle()) {
            chain.timer.execute(chain::next);
        }
    }

    @Override
    public void produceRequest(RequestChannel channel, HttpContext context)
            throws HttpException, IOException {
        BasicHttpRequest request = new BasicHttpRequest("DELETE", "/internal/reservations/" + chain.id);
        request.setAuthority(Connections.authority(engine));
        channel.sendRequest(request, null, context);
    }

    @Override
    void head(HttpResponse response, EntityDetails entity) {
        if (response.getCode() < 300) {
            settle();
        } else {
            broken();
        }
    }
}
