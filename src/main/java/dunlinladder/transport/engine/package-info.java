/**
 * Communication with the engines over HTTP/1.1: attempts, releases, and the measurement of the scheduling lag with
 * which this process reads from the engines.
 *
 * <p>Read {@link dunlinladder.transport.engine.EngineClient} first, which implements the core's port to the engines,
 * then {@code EngineCall}, one attempt on the wire. An {@code EngineCall} uses {@code EngineExchange} (one request on
 * one connection), {@code AttemptPhase} and {@code AttemptProgress} (the outcome by phase), {@code EngineResponseHead}
 * (the outcome by status), {@code EventStreamFilter}, {@code EngineStreamRelay} and {@code EngineFlowControl} (the
 * stream). {@code ReleaseChain} releases the KV cache that engines hold for a request.
 * {@link dunlinladder.transport.engine.EngineConnectionPool} keeps the connections.
 *
 * <p>Rules of this package: nothing is sent a second time here, because the routing policy decides whether to retry. An
 * attempt that fails before its last byte is written has not run; one that fails later may have run. Each event is
 * forwarded as soon as it is complete, without waiting for other events. A stream is reported as complete only when the
 * event that completes it and then its last chunk were received. An attempt that is given up gets its outcome at once,
 * before its connection is closed.
 *
 * <p>May use {@code core}, {@code transport.http}, {@code transport.json} and HttpCore; does not depend on the fronts.
 */
package dunlinladder.transport.engine;
