package dunlinladder.transport.engine;

import dunlinladder.core.Engine;
import java.io.IOException;
import java.net.InetAddress;
import java.net.UnknownHostException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.net.URIAuthority;

/** Reads the addresses of engines, {@code host:port}, for HttpCore. */
final class EngineAddress {

    private EngineAddress() {}

    /** The authority by which an engine is addressed in a request. */
    static URIAuthority authority(Engine engine) {
        String address = engine.address();
        int colon = address.lastIndexOf(':');
        return new URIAuthority(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    /**
     * The host to which a connection is opened.
     *
     * @throws IOException if the text is no address
     */
    static HttpHost host(String address) throws IOException {
        int colon = address.lastIndexOf(':');
        try {
            // Named by its address: without a name HttpCore asks DNS for one, which may take seconds.
            String name = address.substring(0, Math.max(0, colon));
            int port = Integer.parseInt(address.substring(colon + 1));
            return new HttpHost(null, InetAddress.getByName(name), name, port);
        } catch (UnknownHostException | IllegalArgumentException e) {
            throw new IOException("not an address: " + address, e);
        }
    }
}
