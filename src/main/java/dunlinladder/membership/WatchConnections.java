package dunlinladder.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The open connections to discovery, and the number of the next one. It is immutable; methods return a changed copy.
 * There are few connections, so the list is searched linearly.
 *
 * @param open the open connections, oldest first
 * @param nextId number of the next connection; numbers are not reused
 */
record WatchConnections(List<WatchConnection> open, int nextId) {

    static final WatchConnections NONE = new WatchConnections(List.of(), 0);

    WatchConnections {
        open = List.copyOf(open);
    }

    Optional<WatchConnection> find(int id) {
        for (WatchConnection connection : open) {
            if (connection.id() == id) {
                return Optional.of(connection);
            }
        }
        return Optional.empty();
    }

    boolean anyAnswered() {
        for (WatchConnection connection : open) {
            if (connection.isAnswered()) {
                return true;
            }
        }
        return false;
    }

    /** Returns a copy with an additional connection, whose number must be {@link #nextId}. */
    WatchConnections adding(WatchConnection connection) {
        List<WatchConnection> connections = new ArrayList<>(open);
        connections.add(connection);
        return new WatchConnections(connections, nextId + 1);
    }

    /** Returns a copy with this connection in place of the one with the same number. */
    WatchConnections replacing(WatchConnection connection) {
        List<WatchConnection> connections = new ArrayList<>(open);
        connections.replaceAll(other -> other.id() == connection.id() ? connection : other);
        return new WatchConnections(connections, nextId);
    }

    WatchConnections removing(int id) {
        List<WatchConnection> connections = new ArrayList<>(open);
        connections.removeIf(other -> other.id() == id);
        return new WatchConnections(connections, nextId);
    }
}
