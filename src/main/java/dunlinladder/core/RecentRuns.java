package dunlinladder.core;

import java.util.Map;

/**
 * The ids of ended requests that may have run and must not run again wherever and whenever. Every request of a client
 * has a new id, so one that comes with such an id is the same request once more. Only the most recent ids are kept.
 *
 * <p>Safe for use by several threads.
 */
final class RecentRuns {

    private final Map<String, Boolean> ids;

    /** Creates an empty log of at most {@code maxIds} ids. */
    RecentRuns(int maxIds) {
        this.ids = new LruMap<>(maxIds);
    }

    /** Records a request that has ended, if it may have run and its class restricts reruns. */
    void requestEnded(Request request, RerunRule rule, AttemptHistory history) {
        if (!rule.isUnrestricted() && history.mayHaveRun()) {
            synchronized (ids) {
                ids.put(request.id(), Boolean.TRUE);
            }
        }
    }

    /** Whether a request with this id may have run. */
    boolean contains(String id) {
        synchronized (ids) {
            return ids.containsKey(id);
        }
    }
}
