package dunlinladder.it;

import java.io.IOException;

/** What a stub does on a thread of its own until a socket that it uses is closed. */
@FunctionalInterface
interface SocketTask {

    /** Does it. */
    void run() throws IOException, InterruptedException;

    /** Runs a task on a daemon thread; a socket that ends under it ends it. */
    static void start(SocketTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException | InterruptedException e) {
                // The other side closed the connection, or the test is over.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }
}
