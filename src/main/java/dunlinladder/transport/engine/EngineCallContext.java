package dunlinladder.transport.engine;

import dunlinladder.core.Counters;
import dunlinladder.core.Limits;
import dunlinladder.core.MonotonicClock;
import dunlinladder.core.SendGuard;

/**
 * The objects that all {@link EngineCall}s share.
 *
 * @param connections provides a connection for each call
 * @param sendGuard checked before the first byte of a request is written
 * @param clock the clock of the attempts' deadlines
 * @param limits sizes and times of a call
 * @param counters the gateway's counters
 * @param openStreams the calls whose streams have begun
 */
record EngineCallContext(
        EngineConnectionPool connections,
        SendGuard sendGuard,
        MonotonicClock clock,
        Limits limits,
        Counters counters,
        OpenStreams openStreams) {}
