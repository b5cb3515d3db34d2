package dunlinladder.core;

/** The content of a request, passed from a front end to the engine transport. The core does not read it. */
public interface Payload {}
