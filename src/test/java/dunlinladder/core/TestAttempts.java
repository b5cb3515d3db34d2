package dunlinladder.core;

/** Creates attempts of the request "id" that may be sent at any time. */
final class TestAttempts {

    private static final double FIRST_TOKEN_DEADLINE = 100;

    private TestAttempts() {}

    static Attempt attempt(int number, Engine engine, boolean mayHaveEffect) {
        return new Attempt(
                RequestBuilder.request("id").build(),
                number,
                engine,
                FIRST_TOKEN_DEADLINE,
                Double.POSITIVE_INFINITY,
                ArrivalDeadlines.NONE,
                mayHaveEffect);
    }
}
