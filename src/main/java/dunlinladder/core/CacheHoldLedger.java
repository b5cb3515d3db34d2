package dunlinladder.core;

import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Which requests have a KV cache that waits at an engine, and since when: the run-time check of the rule that what is
 * held is used by an attempt or released in time. It goes by what was sent and how it ended, not by what was decided,
 * so that an attempt which never gets out does not count as one. A hold that lasts too long is counted and logged,
 * once.
 *
 * <p>Times are clock seconds. Safe for use by several threads; the lock of this object guards all fields.
 */
public final class CacheHoldLedger {

    private static final Logger LOG = LoggerFactory.getLogger(CacheHoldLedger.class);

    /** Of the allowed time: after it an attempt that did not get out is given up, so that a release has the rest. */
    private static final double MAX_UNSENT_FRACTION = 0.85;
    /** What the protocol page adds to the allowed time on sockets. */
    private static final double SOCKET_SLACK_SECONDS = 0.3;

    private final double releaseWithin;
    private final Counters counters;
    private final Map<String, Hold> holds = new HashMap<>();

    private static final class Hold {
        private double waitingSince;
        private boolean attemptOut;
        private boolean releaseBegun;

        Hold(double now) {
            waitingSince = now;
        }

        boolean isOverdue(double now, double allowedSeconds) {
            return !attemptOut && now - waitingSince > allowedSeconds;
        }
    }

    /** Creates a ledger; a KV cache may wait for {@code releaseWithin} seconds, 0 for no bound. */
    public CacheHoldLedger(double releaseWithin, Counters counters) {
        this.releaseWithin = releaseWithin;
        this.counters = counters;
    }

    /** Clock time until which an attempt has to be out, as a KV cache waits for it; infinite where none does. */
    synchronized double sendDeadline(String requestId) {
        Hold hold = holds.get(requestId);
        boolean bounded = hold != null && !hold.releaseBegun;
        return bounded ? hold.waitingSince + MAX_UNSENT_FRACTION * releaseWithin : Double.POSITIVE_INFINITY;
    }

    /** The last byte of an attempt was written: it may fetch the KV cache, whose time stands still. */
    synchronized void attemptSent(String requestId) {
        Hold hold = holds.get(requestId);
        if (hold != null) {
            hold.attemptOut = true;
        }
    }

    /** The stream has begun: the KV cache was fetched, and nothing else stays held. */
    synchronized void firstToken(String requestId) {
        holds.remove(requestId);
    }

    /**
     * An attempt has ended.
     *
     * @param sent whether its last byte was written
     */
    synchronized void attemptEnded(Attempt attempt, Outcome outcome, boolean sent, double now) {
        if (releaseWithin <= 0) {
            return;
        }
        String requestId = attempt.request().id();
        if (outcome.ending() == Outcome.Ending.OK || outcome.isKvCacheMissing()) {
            holds.remove(requestId);
        } else if (outcome.ending() == Outcome.Ending.PREFILLED || sent && mayLeaveCache(attempt, outcome)) {
            holds.put(requestId, new Hold(now));
        } else if (sent && holds.containsKey(requestId)) {
            Hold hold = holds.get(requestId);
            hold.attemptOut = false;
            hold.waitingSince = now;
        }
    }

    /** A prefill whose answer was lost may have left a KV cache all the same. */
    private static boolean mayLeaveCache(Attempt attempt, Outcome outcome) {
        return !attempt.mayHaveEffect() && !outcome.ending().neverRan();
    }

    /** Engines are being asked to free what is held for a request. */
    public synchronized void releaseBegun(String requestId) {
        Hold hold = holds.get(requestId);
        if (hold != null) {
            hold.releaseBegun = true;
        }
    }

    /** An engine has taken the release of what was held when it was begun. */
    public synchronized void releaseTaken(String requestId) {
        Hold hold = holds.get(requestId);
        if (hold != null && hold.releaseBegun) {
            holds.remove(requestId);
        }
    }

    /** Counts the holds that have lasted too long, and forgets them; to be called often. */
    public synchronized void check(double now) {
        holds.entrySet().removeIf(entry -> violates(entry.getKey(), entry.getValue(), now));
    }

    private boolean violates(String requestId, Hold hold, double now) {
        if (!hold.isOverdue(now, releaseWithin + SOCKET_SLACK_SECONDS)) {
            return false;
        }
        counters.increment(Counter.INVARIANT_CACHE_HELD);
        LOG.error(
                "event=invariant_violated invariant=cache_held request={} seconds={} release_begun={}",
                requestId,
                Seconds.text(now - hold.waitingSince),
                hold.releaseBegun);
        return true;
    }
}
