package dunlinladder.transport.engine;

import dunlinladder.core.Limits;
import dunlinladder.core.MonotonicClock;
import dunlinladder.core.SendGuard;

/**
 * What all calls to engines share.
 *
 * @param connections takes a connection for each call
 * @param sendGuard looked at before the first byte of a request
 * @param clock the clock of the attempts' deadlines
 * @param limits sizes and times of a call
 */
record EngineCallContext(EngineConnectionPool connections, SendGuard sendGuard, MonotonicClock clock, Limits limits) {}
