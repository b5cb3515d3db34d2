package dunlinladder.demo;

import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.Executors;

/**
 * Starts the HTTP servers of the stubs. Their threads are daemons and do not keep the demonstration's process alive.
 */
final class LoopbackServer {

    /** Length that makes the JDK's HTTP server send a chunked body. */
    static final long CHUNKED_BODY = 0;
    /** Length that makes the JDK's HTTP server send no body. */
    static final long NO_BODY = -1;

    private static final int BACKLOG = 50;

    private LoopbackServer() {}

    /**
     * Starts a server on a free port with one handler.
     *
     * @param name name of the server's threads
     */
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

    /** Returns the address of a server as {@code host:port}. */
    static String address(HttpServer server) {
        return "127.0.0.1:" + server.getAddress().getPort();
    }
}
