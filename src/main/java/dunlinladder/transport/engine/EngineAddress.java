package dunlinladder.transport.engine;

import dunlinladder.core.Engine;
import java.io.IOException;
import java.net.InetAddress;
import java.net.UnknownHostException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.net.URIAuthority;

/** Converts the addresses of engines, {@code host:port}, to HttpCore's types. */
final class EngineAddress {

    private EngineAddress() {}

    /** Returns the authority of an engine in a request. */
    static URIAuthority authority(Engine engine) {
        String address = engine.address();
        int colon = address.lastIndexOf(':');
        return new URIAuthority(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    /**
     * Returns the host to which a connection is opened.
     *
     * @throws IOException if {@code address} is not a valid address
     */
    static HttpHost host(String address) throws IOException {
        int colon = address.lastIndexOf(':');
        try {
            // The host gets its address as its name: without a name HttpCore asks DNS for one, which may take seconds.
            String name = address.substring(0, Math.max(0, colon));
            int port = Integer.parseInt(address.substring(colon + 1));
            return new HttpHost(null, InetAddress.getByName(name), name, port);
        } catch (UnknownHostException | IllegalArgumentException e) {
            throw new IOException("not an address: " + address, e);
        }
    }
}
