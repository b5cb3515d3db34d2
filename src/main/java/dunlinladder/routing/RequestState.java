package dunlinladder.routing;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** One request that this router has taken. Plain state. */
final class RequestState {
    /** Share of {@code releaseWithin} for which writers may fail to be reached; a release takes the rest. */
    private static final double REACH_SHARE = 0.8;

    /** Seconds for which a client is asked to wait where next to nothing waits. */
    private static final double ADVICE_LEAST = 0.1;

    final RoutingEvent.Request request;
    final RoutingSettings.ServiceClass type;
    final double arrivedAt;
    int attempts;
    final Map<Integer, Attempt> out = new LinkedHashMap<>();
    /** The reader on which the state waits, or null. */
    EngineState holder;
    /** True while a state may wait for it somewhere, heard of or not; since when nothing was out. */
    boolean mayHold;

    double heldSince;
    boolean ended;
    boolean overShare;
    /** The first attempt that might have run: where and when it was sent. */
    EngineState ranAt;

    double ranSentAt;
    final Set<EngineState> tried = new LinkedHashSet<>();

    RequestState(RoutingEvent.Request request, RoutingSettings.ServiceClass type, double arrivedAt) {
        this.request = request;
        this.type = type;
        this.arrivedAt = arrivedAt;
    }

    /**
     * An attempt has ended: whether what is held for this request has to be let go instead of sent for once more. The
     * time for that begins anew, but not with a writer that could not be reached: on sockets it runs on while
     * connections fail to come up.
     */
    boolean heldTooLong(Attempt attempt, RoutingEvent.Status status, double now, double releaseWithin) {
        boolean unreached = attempt.stage == Attempt.Stage.DECODE && status == RoutingEvent.Status.CONNECT_FAILED;
        heldSince = unreached ? heldSince : now;
        return now - heldSince > releaseWithin * REACH_SHARE;
    }

    /**
     * Seconds after which the client of a refused request may ask again: when what waits now will have been done,
     * spread so that those refused together do not come again together. {@code wait} is no number while nothing is
     * known of it, {@code chance} runs from 0 to 1.
     */
    static double advice(double wait, RoutingSettings settings, double chance) {
        double expected = wait > ADVICE_LEAST ? wait : ADVICE_LEAST;
        return Math.min(settings.maxRetryAfter(), expected * (0.5 + chance));
    }

    /** Seconds within which the first token is wanted, by the class and the prompt's length. */
    double aim() {
        return type.aim() + type.aimPerKilotoken() * request.promptTokens() / 1000;
    }
}
