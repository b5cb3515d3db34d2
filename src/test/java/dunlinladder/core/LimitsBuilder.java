package dunlinladder.core;

/** Builds valid limits for tests; a test sets only the values that matter to it. */
public final class LimitsBuilder {

    private int requests = 10;
    private double releaseSeconds = 0.15;

    private LimitsBuilder() {}

    /** Creates a builder with limits for a test on one machine. */
    public static LimitsBuilder limits() {
        return new LimitsBuilder();
    }

    /** Sets the maximum number of requests in flight. */
    public LimitsBuilder requests(int count) {
        requests = count;
        return this;
    }

    /** Sets the time to wait for the answer to a release, in seconds. */
    public LimitsBuilder releaseSeconds(double seconds) {
        releaseSeconds = seconds;
        return this;
    }

    /** Builds the limits. */
    public Limits build() {
        return new Limits(
                new Limits.MessageLimits(16384, 16384, 1024, 1024, 1024),
                new Limits.EngineResponseLimits(16, 16384, 4096),
                new Limits.CapacityLimits(requests, requests, 10, 10),
                new Limits.EngineConnectionTimes(5, 10, 0.02, 30),
                new Limits.AttemptTimes(0.02, 0.04, 4, 60),
                new Limits.ReleaseLimits(releaseSeconds, 4),
                new Limits.ClientTimes(2.5, 10, 0.1, 1),
                new Limits.ProcessTimes(0.05, 0.25, new Limits.ShutdownTimes(0.45, 3.35, 3.45)));
    }
}
