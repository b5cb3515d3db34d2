package dunlinladder.core;

/**
 * Makes the gateway's threads. All are daemons: the process lives until the main thread or the shutdown hook ends it.
 */
public final class DaemonThreads {

    private DaemonThreads() {}

    /** A thread that is not started yet. */
    public static Thread create(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }
}
