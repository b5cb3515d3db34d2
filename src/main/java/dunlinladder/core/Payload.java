package dunlinladder.core;

/** What a front took from its client, for an engine. The core carries it and never looks inside. */
public interface Payload {}
