package dunlinladder.membership;

/**
 * What is remembered of calls that failed.
 *
 * @param notBefore clock time in seconds before which no connection is opened
 * @param failures calls in a row that ended without an update or a heartbeat
 */
record RetryState(double notBefore, int failures) {

    static final RetryState INITIAL = new RetryState(0, 0);

    RetryState failed() {
        return new RetryState(notBefore, failures + 1);
    }

    RetryState succeeded() {
        return new RetryState(notBefore, 0);
    }

    RetryState pausedUntil(double clockTime) {
        return new RetryState(clockTime, failures);
    }
}
