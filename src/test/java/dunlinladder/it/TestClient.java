package dunlinladder.it;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.Map;

/** One connection of a client to the gateway, and the head of the response that was read last. */
final class TestClient implements AutoCloseable {

    final Socket socket;
    int status;
    Map<String, String> headers = Map.of();

    TestClient(int port) {
        try {
            socket = new Socket(InetAddress.getLoopbackAddress(), port);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Sends a request; {@code headerLines} end with a line break each. */
    TestClient send(String method, String target, String headerLines, String body) throws IOException {
        RawHttp.write(
                socket.getOutputStream(),
                method + " " + target + " HTTP/1.1\r\nHost: x\r\n"
                        + headerLines
                        + "Content-Length: " + body.length() + "\r\n\r\n" + body);
        return this;
    }

    /** Reads a response's head; false when the connection ended first. */
    boolean readHead() throws IOException {
        String statusLine = RawHttp.readLine(socket.getInputStream());
        if (statusLine == null) {
            return false;
        }
        status = Integer.parseInt(statusLine.split(" ")[1]);
        headers = RawHttp.readHeaders(socket.getInputStream());
        return true;
    }

    /** Reads the whole body; ends with "(cut)" when the connection ended before the last chunk. */
    String readBody() throws IOException {
        return headers.containsKey("content-length")
                ? RawHttp.readSizedBody(socket.getInputStream(), headers)
                : RawHttp.readChunkedBody(socket.getInputStream());
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
