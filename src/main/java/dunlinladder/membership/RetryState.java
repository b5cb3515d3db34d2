package dunlinladder.membership;

/**
 * The state of retries after failed calls.
 *
 * @param notBefore clock time in seconds before which no connection is opened
 * @param failures number of consecutive calls that ended without an update or a heartbeat
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
