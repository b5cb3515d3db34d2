package dunlinladder.wire.discovery;

import dunlinladder.core.Limits;
import dunlinladder.wire.BadInput;
import dunlinladder.wire.Json;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows discovery on a thread of its own. A watch that ends, breaks or falls silent is opened again from
 * the last version; until there is news the last list stands.
 */
public final class Watch implements Runnable {

    private static final Logger LOG = LoggerFactory.getLogger(Watch.class);

    private final HostReader reader;
    private final Limits limits;
    private final Consumer<HostReader.News> news;
    private long version;
    /** Where discovery is now, and the connection to it; both change when the configuration does. */
    private InetSocketAddress address;
    private Socket open;

    /** Creates a watch for what came after {@code version}. */
    public Watch(InetSocketAddress address, HostReader reader, Limits limits, long version,
            Consumer<HostReader.News> news) {
        this.address = address;
        this.reader = reader;
        this.limits = limits;
        this.version = version;
        this.news = news;
    }

    /**
     * Follows discovery at another address from now on. The open watch is closed without waiting for its end:
     * the old address may fall silent long before it closes. Nothing is missed, as the next watch asks for
     * what came after the last version.
     */
    public synchronized void moveTo(InetSocketAddress next) throws IOException {
        if (!next.equals(address)) {
            LOG.info("discovery moves from {} to {}", address, next);
            address = next;
            if (open != null) {
                open.close();
            }
            notifyAll();
        }
    }

    @Override
    public void run() {
        while (!Thread.currentThread().isInterrupted()) {
            InetSocketAddress asked = address();
            try {
                follow(asked);
                LOG.info("discovery ended the watch at version {}", version);
            } catch (IOException | HttpException | BadInput e) {
                LOG.warn("discovery watch at version {}: {}", version, e.toString());
            }
            try {
                pause(asked);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private synchronized InetSocketAddress address() {
        return address;
    }

    /** Waits a little before the same address is asked again, not at all for another. */
    private synchronized void pause(InetSocketAddress asked) throws InterruptedException {
        if (asked.equals(address)) {
            wait((long) (limits.reconnectSeconds() * 1000));
        }
    }

    private synchronized void opened(Socket socket, InetSocketAddress asked) throws IOException {
        if (!asked.equals(address)) {
            throw new IOException("discovery has moved");
        }
        open = socket;
    }

    private void follow(InetSocketAddress asked) throws IOException, HttpException {
        try (Socket socket = new Socket(); DefaultBHttpClientConnection connection
                = new DefaultBHttpClientConnection(null)) {
            opened(socket, asked);
            int silence = (int) (limits.silenceSeconds() * 1000);
            socket.connect(asked, silence);
            socket.setSoTimeout(silence);
            connection.bind(socket);
            BasicClassicHttpRequest request = new BasicClassicHttpRequest("GET",
                    "/discovery/hosts?follow=1&since=" + version);
            request.setHeader("Host", asked.getHostString() + ":" + asked.getPort());
            connection.sendRequestHeader(request);
            connection.flush();
            ClassicHttpResponse response = connection.receiveResponseHeader();
            if (response.getCode() != 200) {
                throw new IOException("status " + response.getCode());
            }
            connection.receiveResponseEntity(response);
            BufferedReader lines = new BufferedReader(new InputStreamReader(response.getEntity().getContent(),
                    StandardCharsets.UTF_8));
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                if (!line.isBlank()) {
                    HostReader.News told = reader.read(Json.parse(line), false);
                    version = told.version();
                    news.accept(told);
                }
            }
        }
    }
}
