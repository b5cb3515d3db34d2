package dunlinladder.transport.engine;

import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.pool.PoolEntry;

/**
 * Receives the result of {@link EngineConnectionPool#lease}. One of the two methods is called, once: by the leasing
 * thread if the result is known at once, otherwise by HttpCore's I/O thread, by the thread that returns or closes
 * another connection, or by the timer after the timeout.
 */
interface LeaseCallback {

    /**
     * Passes the connection, which belongs to the caller of {@code lease} until the caller returns or discards it.
     *
     * @param reused whether the connection has carried a request before
     */
    void connected(PoolEntry<HttpHost, EngineConnection> connection, boolean reused);

    /** Reports that no connection could be established, or none in time. */
    void notConnected();
}
