package dunlinladder.demo;

import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.Executors;

/** Starts the HTTP servers of the stand-ins; their threads do not keep the demonstration alive. */
final class LoopbackServer {

    /** Length of a body that is sent in chunks, as the JDK's server has it. */
    static final long CHUNKED_BODY = 0;
    /** Length of a body that there is not, as the JDK's server has it. */
    static final long NO_BODY = -1;

    private static final int BACKLOG = 50;

    private LoopbackServer() {}

    /** Starts a server on a free port with one handler; {@code name} is that of its threads. */
    static HttpServer start(String name, String path, HttpHandler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext(path, handler);
        server.start();
        return server;
    }

    /** Where a server listens, as {@code host:port}. */
    static String address(HttpServer server) {
        return "127.0.0.1:" + server.getAddress().getPort();
    }
}
