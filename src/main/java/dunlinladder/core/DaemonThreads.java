package dunlinladder.core;

/**
 * Creates the gateway's threads. All of them are daemon threads: the process runs until the main thread or the shutdown
 * hook ends it.
 */
public final class DaemonThreads {

    private DaemonThreads() {}

    /** Creates a daemon thread without starting it. */
    public static Thread create(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }
}
