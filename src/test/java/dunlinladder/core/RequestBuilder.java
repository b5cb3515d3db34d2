package dunlinladder.core;

/** Requests for tests; a test sets by name only what it is about. */
public final class RequestBuilder {

    private final String id;
    private int serviceClass;
    private double deadline;

    private RequestBuilder(String id) {
        this.id = id;
    }

    /** Starts from a request of ten tokens, of the first class and tenant, that any engine may have. */
    public static RequestBuilder request(String id) {
        return new RequestBuilder(id);
    }

    /** Sets the index of the service class. */
    public RequestBuilder serviceClass(int index) {
        serviceClass = index;
        return this;
    }

    /** Sets the clock time, in seconds, at which the client stops waiting for a first token. */
    public RequestBuilder deadline(double clockSeconds) {
        deadline = clockSeconds;
        return this;
    }

    /** The request. */
    public Request build() {
        return new Request(
                id,
                serviceClass,
                0,
                new Request.Prompt(1, 0, 10, 0, 10),
                deadline,
                Request.Resubmission.NONE,
                null,
                Request.ANY_ENGINE);
    }
}
