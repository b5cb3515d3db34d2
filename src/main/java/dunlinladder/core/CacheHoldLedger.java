package dunlinladder.core;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Which requests have a KV cache that waits at an engine, and since when: the run-time check of the rule that what is
 * held is used by an attempt or released in time. It goes by what is known to have arrived and how it ended, not by
 * what was decided or written: only an answer's first byte proves that an attempt has reached the engine's process, and
 * until then the time runs on. A hold that lasts too long is counted and logged, once.
 *
 * <p>Times are clock seconds. Safe for use by several threads; the lock of this object guards all fields.
 */
public final class CacheHoldLedger {

    private static final Logger LOG = LoggerFactory.getLogger(CacheHoldLedger.class);

    /** Of the allowed time: after it an attempt that did not get out is given up, so that a release has the rest. */
    private static final double MAX_UNSENT_FRACTION = 0.85;
    /** Of the allowed time: after it an attempt without a byte of an answer counts as not arrived. */
    private static final double MAX_UNCONFIRMED_FRACTION = 0.5;
    /** Of the allowed time: what an attempt that was written late has for its way all the same. */
    private static final double MIN_CONFIRM_FRACTION = 0.3;
    /** What the protocol page adds to the allowed time on sockets. */
    private static final double SOCKET_SLACK_SECONDS = 0.3;

    private final double releaseWithin;
    private final Counters counters;
    private final Map<String, Hold> holds = new HashMap<>();

    private static final class Hold {
        private double waitingSince;
        private boolean attemptWritten;
        private boolean attemptConfirmed;
        private boolean releaseBegun;
        private boolean released;
        private final Optional<GivenUpAttempt> lastGivenUp;

        Hold(double now, Optional<GivenUpAttempt> lastGivenUp) {
            waitingSince = now;
            this.lastGivenUp = lastGivenUp;
        }

        boolean isOverdue(double now, double allowedSeconds) {
            return !attemptConfirmed && !released && now - waitingSince > allowedSeconds;
        }
    }

    /** Creates a ledger; a KV cache may wait for {@code releaseWithin} seconds, 0 for no bound. */
    public CacheHoldLedger(double releaseWithin, Counters counters) {
        this.releaseWithin = releaseWithin;
        this.counters = counters;
    }

    /** Until when an attempt for a request has to be out, as a KV cache waits for it. */
    synchronized ArrivalDeadlines arrivalDeadlines(String requestId) {
        if (!isWaiting(requestId)) {
            return ArrivalDeadlines.NONE;
        }
        double waitingSince = holds.get(requestId).waitingSince;
        return new ArrivalDeadlines(
                waitingSince + MAX_UNSENT_FRACTION * releaseWithin,
                waitingSince + MAX_UNCONFIRMED_FRACTION * releaseWithin,
                MIN_CONFIRM_FRACTION * releaseWithin);
    }

    /** Whether a KV cache has waited for so long that it is to be released unless an attempt that needs it is out. */
    synchronized boolean isReleaseDue(String requestId, double now) {
        return isWaiting(requestId)
                && now >= holds.get(requestId).waitingSince + MAX_UNCONFIRMED_FRACTION * releaseWithin;
    }

    /** The last byte of an attempt was written: it may arrive and fetch the KV cache, or never arrive. */
    synchronized void attemptWritten(String requestId) {
        Hold hold = holds.get(requestId);
        if (hold != null) {
            hold.attemptWritten = true;
        }
    }

    /** An attempt has arrived: the KV cache is its own to fetch, and its time stands still. */
    synchronized void attemptConfirmed(String requestId) {
        Hold hold = holds.get(requestId);
        if (hold != null) {
            hold.attemptConfirmed = true;
        }
    }

    /** The stream has begun: the KV cache was fetched, and nothing else stays held. */
    synchronized void firstToken(String requestId) {
        holds.remove(requestId);
    }

    /**
     * An attempt has ended.
     *
     * @param reach how far it is known to have come
     */
    synchronized void attemptEnded(Attempt attempt, Outcome outcome, AttemptReach reach, double now) {
        if (releaseWithin <= 0) {
            return;
        }
        String requestId = attempt.request().id();
        boolean written = reach != AttemptReach.UNWRITTEN;
        if (outcome.ending() == Outcome.Ending.OK || outcome.isKvCacheMissing()) {
            holds.remove(requestId);
        } else if (outcome.ending() == Outcome.Ending.PREFILLED || written && mayLeaveCache(attempt, outcome)) {
            boolean anew = reach == AttemptReach.CONFIRMED || !isWaiting(requestId);
            holds.put(requestId, new Hold(anew ? now : holds.get(requestId).waitingSince, ifGivenUp(attempt, outcome)));
        } else if (holds.containsKey(requestId)) {
            goOn(attempt, outcome, reach, now);
        }
    }

    /** A prefill whose answer was lost may have left a KV cache all the same. */
    private static boolean mayLeaveCache(Attempt attempt, Outcome outcome) {
        return !attempt.mayHaveEffect() && !outcome.ending().neverRan();
    }

    /** Whether a KV cache waits that no release was begun for. */
    private boolean isWaiting(String requestId) {
        Hold hold = holds.get(requestId);
        return hold != null && !hold.releaseBegun;
    }

    private static Optional<GivenUpAttempt> ifGivenUp(Attempt attempt, Outcome outcome) {
        boolean givenUp = outcome.ending() == Outcome.Ending.TIMEOUT || outcome.ending() == Outcome.Ending.CANCELLED;
        return givenUp ? Optional.of(new GivenUpAttempt(attempt.engine(), !attempt.mayHaveEffect())) : Optional.empty();
    }

    /**
     * An attempt has left the KV cache unfetched: the time begins anew only behind one that has arrived. One that is
     * not known to have may have arrived before a release, which frees nothing that an attempt waits for.
     */
    private void goOn(Attempt attempt, Outcome outcome, AttemptReach reach, double now) {
        String requestId = attempt.request().id();
        Hold hold = holds.get(requestId);
        if (reach == AttemptReach.UNWRITTEN) {
            // As if it had not been: a release that was begun before goes on.
            return;
        }
        boolean anew = hold.releaseBegun || reach == AttemptReach.CONFIRMED;
        holds.put(requestId, new Hold(anew ? now : hold.waitingSince, ifGivenUp(attempt, outcome)));
    }

    /**
     * Engines are being asked to free what is held for a request.
     *
     * @return the last attempt, if it was given up: as long as its engine has not heard of its end it keeps the KV
     *     cache from a release
     */
    public synchronized Optional<GivenUpAttempt> releaseBegun(String requestId) {
        Hold hold = holds.get(requestId);
        if (hold == null) {
            return Optional.empty();
        }
        hold.releaseBegun = true;
        // Behind an attempt that is out a repeat could free what that one leaves.
        return hold.attemptWritten ? Optional.empty() : hold.lastGivenUp;
    }

    /** An engine has taken the release of what was held when it was begun. */
    public synchronized void releaseTaken(String requestId) {
        Hold hold = holds.get(requestId);
        if (hold == null || !hold.releaseBegun) {
            return;
        }
        if (hold.attemptWritten) {
            hold.released = true;
        } else {
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
                "event=invariant_violated invariant=cache_held request={} seconds={} attempt_written={} "
                        + "release_begun={}",
                requestId,
                Seconds.text(now - hold.waitingSince),
                hold.attemptWritten,
                hold.releaseBegun);
        return true;
    }
}
