/**
 * The engines over HTTP/1.1: attempts, releases, and how far this process is behind in reading what engines send.
 *
 * <p>Read {@link dunlinladder.transport.engine.EngineClient} first, the core's port to the engines, then
 * {@code EngineCall}, one attempt on the wire, and the types that it is put together from: {@code EngineExchange} (one
 * request on one connection), {@code AttemptPhase} and {@code AttemptProgress} (what an end proves),
 * {@code EngineResponseHead} (what a status means), {@code EventStreamFilter}, {@code EngineStreamRelay} and
 * {@code EngineFlowControl} (the stream). {@code ReleaseChain} frees what engines hold for a request.
 * {@link dunlinladder.transport.engine.EngineConnectionPool} keeps the connections.
 *
 * <p>Rules that hold throughout: nothing is sent a second time here, whether to retry is the routing policy's decision;
 * what breaks before a request's last byte is written has not run, what breaks after it may have; each event is passed
 * on by itself; a stream is reported as complete only when its last chunk has come; an attempt that is given up gets
 * its outcome at once, before its connection is closed.
 *
 * <p>May use {@code core}, {@code transport.http}, {@code transport.json} and HttpCore; knows nothing of the fronts.
 */
package dunlinladder.transport.engine;
