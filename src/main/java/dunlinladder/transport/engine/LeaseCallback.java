package dunlinladder.transport.engine;

import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.pool.PoolEntry;

/**
 * Waits for a connection of {@link EngineConnectionPool#lease}. One of the two methods is called, once: by the leasing
 * thread where that is clear at once, else by HttpCore's I/O thread or the thread that gives a connection back.
 */
interface LeaseCallback {

    /**
     * The connection is there and belongs to the caller of {@code lease} until that gives it back or discards it.
     *
     * @param reused whether it has carried a request before
     */
    void connected(PoolEntry<HttpHost, EngineConnection> connection, boolean reused);

    /** No connection came up in time. */
    void notConnected();
}
