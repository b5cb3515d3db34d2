package dunlinladder.routing;

import dunlinladder.routing.RoutingEvent.Status;
import dunlinladder.routing.RoutingSettings.Role;
import java.util.HashMap;
import java.util.Map;

/**
 * How long streams last at an engine, against the mean of their class at decode engines. The lengths of answers are not
 * told, so only means over several compare. Records and estimates; decides nothing.
 */
final class StreamDurationStats {
    /** Weight of the latest stream in the decode engines' mean of its class: some fifty streams. */
    private static final double CLASS_WEIGHT = 0.02;
    /** Weight of the latest stream in an engine's ratio: about the last ten, as answers differ in length. */
    private static final double RATIO_WEIGHT = 0.1;
    /** Seconds in which a ratio not seen again fades to a third of its distance from 1. */
    private static final double RATIO_FADE_SECONDS = 5;

    private final PolicyContext context;
    /** By service class, in seconds. */
    private final Map<Integer, Ewma> usualSeconds = new HashMap<>();

    StreamDurationStats(PolicyContext context) {
        this.context = context;
    }

    /** Times the usual that streams last at an engine, as far as still known; 1 before any. */
    double ratio(EngineState engine) {
        return 1
                + (engine.streamDurationRatio - 1)
                        * Math.exp((engine.streamDurationRatioAt - context.now) / RATIO_FADE_SECONDS);
    }

    /** Takes in an attempt that has ended; only a stream that ended well counts, and only where enough are seen. */
    void record(AttemptState attempt, Status status) {
        if (!context.seesAllLoad() || status != Status.OK || !attempt.hasFirstToken()) {
            return;
        }
        double seconds = context.now - attempt.firstTokenAt;
        EngineState engine = attempt.engine;
        int serviceClass = attempt.request.details.serviceClass();
        Ewma usual = usualSeconds.get(serviceClass);
        if (engine.role == Role.DECODE) {
            if (usual == null) {
                usual = new Ewma(seconds, CLASS_WEIGHT);
                usualSeconds.put(serviceClass, usual);
            } else {
                usual.add(seconds);
            }
        }
        if (usual != null && usual.mean() > 0) {
            engine.streamDurationRatio = Ewma.next(ratio(engine), seconds / usual.mean(), RATIO_WEIGHT);
            engine.streamDurationRatioAt = context.now;
        }
    }
}
