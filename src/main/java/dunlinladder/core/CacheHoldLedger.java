package dunlinladder.core;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Records which requests have a KV cache that an engine holds, and since when. It checks at run time the rule that a
 * held KV cache is fetched by an attempt or released in time. It relies on attempts that are known to have arrived and
 * on how they ended, not on attempts that were decided or written: only the first byte of an answer proves that an
 * attempt has reached the engine's process, and until then the time of the hold continues. A hold that lasts too long
 * is counted and logged, once.
 *
 * <p>Times are clock times in seconds. Safe for use by several threads; the lock of this object guards all fields.
 */
public final class CacheHoldLedger {

    private static final Logger LOG = LoggerFactory.getLogger(CacheHoldLedger.class);

    /** Fraction of the allowed time after which an unsent attempt is given up; the rest is left for a release. */
    private static final double MAX_UNSENT_FRACTION = 0.85;
    /** Fraction of the allowed time after which an attempt without a byte of an answer counts as not arrived. */
    private static final double MAX_UNCONFIRMED_FRACTION = 0.5;
    /** Fraction of the allowed time that an attempt has for its arrival even if it was written late. */
    private static final double MIN_CONFIRM_FRACTION = 0.3;
    /** Seconds that the platform protocol specification adds to the allowed time on sockets. */
    private static final double SOCKET_SLACK_SECONDS = 0.3;

    private final double releaseWithin;
    private final Counters counters;
    private final Map<String, Hold> holds = new HashMap<>();

    private static final class Hold {
        private double heldSince;
        private boolean attemptWritten;
        private boolean attemptConfirmed;
        private boolean releaseBegun;
        private boolean released;
        private final Optional<GivenUpAttempt> lastGivenUp;

        Hold(double now, Optional<GivenUpAttempt> lastGivenUp) {
            heldSince = now;
            this.lastGivenUp = lastGivenUp;
        }

        boolean isOverdue(double now, double allowedSeconds) {
            return !attemptConfirmed && !released && now - heldSince > allowedSeconds;
        }
    }

    /** Creates a ledger; a KV cache may be held for {@code releaseWithin} seconds, 0 for no limit. */
    public CacheHoldLedger(double releaseWithin, Counters counters) {
        this.releaseWithin = releaseWithin;
        this.counters = counters;
    }

    /**
     * Returns the deadlines for the next attempt of a request; {@link ArrivalDeadlines#NONE} when no KV cache is held
     * for it or a release was started.
     */
    synchronized ArrivalDeadlines arrivalDeadlines(String requestId) {
        if (!isHeldWithoutRelease(requestId)) {
            return ArrivalDeadlines.NONE;
        }
        double heldSince = holds.get(requestId).heldSince;
        return new ArrivalDeadlines(
                heldSince + MAX_UNSENT_FRACTION * releaseWithin,
                heldSince + MAX_UNCONFIRMED_FRACTION * releaseWithin,
                MIN_CONFIRM_FRACTION * releaseWithin);
    }

    /**
     * Whether a KV cache for which no release was started has been held so long that it must be released. Valid only
     * while no attempt that would fetch it is in flight.
     */
    synchronized boolean isReleaseDue(String requestId, double now) {
        return isHeldWithoutRelease(requestId)
                && now >= holds.get(requestId).heldSince + MAX_UNCONFIRMED_FRACTION * releaseWithin;
    }

    /** Records that the last byte of an attempt was written: it may arrive and fetch the KV cache, or never arrive. */
    synchronized void attemptWritten(String requestId) {
        Hold hold = holds.get(requestId);
        if (hold != null) {
            hold.attemptWritten = true;
        }
    }

    /** Records that an attempt has arrived: it will fetch the KV cache, so the time of the hold stops. */
    synchronized void attemptConfirmed(String requestId) {
        Hold hold = holds.get(requestId);
        if (hold != null) {
            hold.attemptConfirmed = true;
        }
    }

    /** Records that the stream has begun: the KV cache was fetched, and no other is held for the request. */
    synchronized void firstToken(String requestId) {
        holds.remove(requestId);
    }

    /**
     * Records that an attempt has ended.
     *
     * @param reach the last stage that the attempt is known to have reached
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
            boolean restart = reach == AttemptReach.CONFIRMED || !isHeldWithoutRelease(requestId);
            holds.put(
                    requestId,
                    new Hold(restart ? now : holds.get(requestId).heldSince, givenUpAttempt(attempt, outcome)));
        } else if (holds.containsKey(requestId)) {
            keepUnfetched(attempt, outcome, reach, now);
        }
    }

    /** Whether an attempt may have left a KV cache: a prefill may have, even if its answer was lost. */
    private static boolean mayLeaveCache(Attempt attempt, Outcome outcome) {
        return !attempt.mayHaveEffect() && !outcome.ending().hadNoEffect();
    }

    /** Whether a KV cache is held for which no release was started. */
    private boolean isHeldWithoutRelease(String requestId) {
        Hold hold = holds.get(requestId);
        return hold != null && !hold.releaseBegun;
    }

    /** Returns the attempt if the gateway has given it up, otherwise empty. */
    private static Optional<GivenUpAttempt> givenUpAttempt(Attempt attempt, Outcome outcome) {
        boolean givenUp = outcome.ending() == Outcome.Ending.TIMEOUT || outcome.ending() == Outcome.Ending.CANCELLED;
        return givenUp ? Optional.of(new GivenUpAttempt(attempt.engine(), !attempt.mayHaveEffect())) : Optional.empty();
    }

    /**
     * Keeps the hold after an attempt that did not fetch the KV cache. The time restarts if the attempt had arrived. It
     * also restarts if a release was started: the attempt may have arrived before the release, and a release does not
     * free a KV cache that an attempt waits for.
     */
    private void keepUnfetched(Attempt attempt, Outcome outcome, AttemptReach reach, double now) {
        String requestId = attempt.request().id();
        Hold hold = holds.get(requestId);
        if (reach == AttemptReach.UNWRITTEN) {
            // The attempt changes nothing: a release that was started before continues.
            return;
        }
        boolean restart = hold.releaseBegun || reach == AttemptReach.CONFIRMED;
        holds.put(requestId, new Hold(restart ? now : hold.heldSince, givenUpAttempt(attempt, outcome)));
    }

    /**
     * Records that a release was started: engines are asked to free the KV cache that is held for a request.
     *
     * @return the last attempt, if it was given up and no later attempt was written; until its engine has noticed that
     *     it ended, the attempt prevents the KV cache from being freed
     */
    public synchronized Optional<GivenUpAttempt> releaseBegun(String requestId) {
        Hold hold = holds.get(requestId);
        if (hold == null) {
            return Optional.empty();
        }
        hold.releaseBegun = true;
        // A later attempt was written: a repeated release could free the KV cache that this attempt leaves.
        return hold.attemptWritten ? Optional.empty() : hold.lastGivenUp;
    }

    /**
     * Records that an engine has accepted the release, which covers the KV cache that was held when the release was
     * started.
     */
    public synchronized void releaseAccepted(String requestId) {
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

    /** Counts and logs the holds that have lasted too long, and removes them; to be called often. */
    public synchronized void removeOverdueHolds(double now) {
        holds.entrySet().removeIf(entry -> countIfOverdue(entry.getKey(), entry.getValue(), now));
    }

    private boolean countIfOverdue(String requestId, Hold hold, double now) {
        if (!hold.isOverdue(now, releaseWithin + SOCKET_SLACK_SECONDS)) {
            return false;
        }
        counters.increment(Counter.INVARIANT_CACHE_HELD);
        LOG.error(
                "event=invariant_violated invariant=cache_held request={} seconds={} attempt_written={} "
                        + "release_begun={}",
                requestId,
                Seconds.text(now - hold.heldSince),
                hold.attemptWritten,
                hold.releaseBegun);
        return true;
    }
}
