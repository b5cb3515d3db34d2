package dunlinladder.routing;

import dunlinladder.routing.RoutingEvent.Status;
import dunlinladder.routing.RoutingSettings.Role;
import java.util.HashMap;
import java.util.Map;

/**
 * Records how long streams last at an engine, relative to the mean of their service class at decode engines. The
 * lengths of answers are unknown, so only means over several streams are comparable. Records and estimates; decides
 * nothing.
 */
final class StreamDurationStats {
    /** Weight of the latest stream in the decode engines' mean of its class: about the last fifty streams count. */
    private static final double CLASS_WEIGHT = 0.02;
    /** Weight of the latest stream in an engine's ratio: about the last ten count, as answers differ in length. */
    private static final double RATIO_WEIGHT = 0.1;
    /** Seconds in which a ratio without a new sample decays to a third of its distance from 1. */
    private static final double RATIO_DECAY_SECONDS = 5;

    private final PolicyContext context;
    /** Mean duration of a stream by service class, in seconds. */
    private final Map<Integer, Ewma> meanSecondsByClass = new HashMap<>();

    StreamDurationStats(PolicyContext context) {
        this.context = context;
    }

    /** Returns the decayed ratio of an engine's stream durations to the usual ones; 1 before any stream. */
    double ratio(EngineState engine) {
        return 1
                + (engine.streamDurationRatio - 1)
                        * StrictMath.exp((engine.streamDurationRatioAt - context.now) / RATIO_DECAY_SECONDS);
    }

    /** Records an ended attempt. Only a stream that ended well counts, and only if this gateway observes all load. */
    void record(AttemptState attempt, Status status) {
        if (!context.observesAllLoad() || status != Status.OK || !attempt.hasFirstToken()) {
            return;
        }
        double seconds = context.now - attempt.firstTokenAt;
        EngineState engine = attempt.engine;
        int serviceClass = attempt.request.details.serviceClass();
        Ewma classMean = meanSecondsByClass.get(serviceClass);
        if (engine.role == Role.DECODE) {
            if (classMean == null) {
                classMean = new Ewma(seconds, CLASS_WEIGHT);
                meanSecondsByClass.put(serviceClass, classMean);
            } else {
                classMean.add(seconds);
            }
        }
        if (classMean != null && classMean.mean() > 0) {
            engine.streamDurationRatio = Ewma.next(ratio(engine), seconds / classMean.mean(), RATIO_WEIGHT);
            engine.streamDurationRatioAt = context.now;
        }
    }
}
