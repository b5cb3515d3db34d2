package dunlinladder.transport.engine;

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
final class ReleaseCall extends EngineExchange {

    private static final Logger LOG = LoggerFactory.getLogger(ReleaseCall.class);

    private final Chain chain;
    private final Engine engine;
    private boolean settled;

    private ReleaseCall(Chain chain, Engine engine) {
        super(chain.connections);
        this.chain = chain;
        this.engine = engine;
    }

    /**
     * Asks one engine after another until one has answered. One that is silent may be behind a cut, as may the next:
     * from each silence on one more is asked beside, since what is held has to be let go in time. All of it runs on the
     * timer's thread.
     */
    static final class Chain {
        private final EngineConnectionPool connections;
        private final ScheduledExecutorService timer;
        private final Limits limits;
        private final String id;
        private final Iterator<Engine> order;
        private final Runnable over;
        private int tries;
        private int open;
        private boolean done;

        /** {@code over} runs once, when an engine has answered or none is left to be asked. */
        Chain(
                EngineConnectionPool connections,
                ScheduledExecutorService timer,
                Limits limits,
                String id,
                Iterator<Engine> order,
                Runnable over) {
            this.connections = connections;
            this.timer = timer;
            this.limits = limits;
            this.id = id;
            this.order = order;
            this.over = over;
        }

        void next() {
            if (done) {
                return;
            }
            if (tries < limits.releaseAttempts() && order.hasNext()) {
                tries++;
                open++;
                ReleaseCall call = new ReleaseCall(this, order.next());
                call.start(call.engine.address());
                timer.schedule(() -> silent(call), (long) (limits.releaseSeconds() * 1e6), TimeUnit.MICROSECONDS);
            } else if (open == 0) {
                LOG.warn("no engine took the release of {}", id);
                finish();
            }
        }

        private void silent(ReleaseCall call) {
            if (!call.settled()) {
                call.failed(null);
                next();
            }
        }

        private void broke() {
            open--;
            next();
        }

        private void finish() {
            if (!done) {
                done = true;
                over.run();
            }
        }
    }

    private synchronized boolean settled() {
        return settled;
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
            chain.timer.execute(chain::broke);
        }
    }

    @Override
    public void produceRequest(RequestChannel channel, HttpContext context) throws HttpException, IOException {
        BasicHttpRequest request = new BasicHttpRequest("DELETE", "/internal/reservations/" + chain.id);
        request.setAuthority(EngineConnectionPool.authority(engine));
        channel.sendRequest(request, null, context);
    }

    @Override
    void head(HttpResponse response, EntityDetails entity) {
        if (response.getCode() < 300) {
            if (settle()) {
                chain.timer.execute(chain::finish);
            }
        } else {
            broken();
        }
    }
}
