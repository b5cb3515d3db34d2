package dunlinladder.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * How long streams last at a server, against the mean of their class at servers that only write. The lengths of answers
 * are not told, so only means over several compare. Plain state of one router.
 */
final class StreamDurationStats {

    private final double smoothUsual;
    private final double smooth;
    private final double fade;
    private final Map<Integer, Double> usual = new HashMap<>();

    /**
     * Knows nothing yet.
     *
     * @param smoothUsual weight of the latest stream in the writers' mean of its class, 0 to 1
     * @param smooth weight of the latest stream in a server's pace, 0 to 1
     * @param fade seconds in which a pace not seen again fades to a third of its distance from 1
     */
    StreamDurationStats(double smoothUsual, double smooth, double fade) {
        this.smoothUsual = smoothUsual;
        this.smooth = smooth;
        this.fade = fade;
    }

    /** Times the usual that streams last at a server, as far as still known; 1 before any. */
    double of(EngineState w, double now) {
        return 1 + (w.pace - 1) * Math.exp((w.pacedAt - now) / fade);
    }

    /** Takes in a stream that ended well; {@code counts} is false where a router sees too few. */
    void learn(Attempt attempt, RoutingEvent.Status status, double now, boolean counts) {
        if (!counts || status != RoutingEvent.Status.OK || Double.isNaN(attempt.firstAt)) {
            return;
        }
        double lasted = now - attempt.firstAt;
        EngineState w = attempt.worker;
        int type = attempt.job.request.serviceClass();
        if (w.role == RoutingSettings.Role.DECODE) {
            usual.merge(type, lasted, (mean, last) -> mean + (last - mean) * smoothUsual);
        }
        Double mean = usual.get(type);
        if (mean != null && mean > 0) {
            w.pace = of(w, now) + (lasted / mean - of(w, now)) * smooth;
            w.pacedAt = now;
        }
    }
}
