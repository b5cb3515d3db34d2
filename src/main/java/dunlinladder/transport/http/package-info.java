/**
 * HTTP/1.1 on HttpCore's asynchronous I/O: the listeners for clients, and the stricter parsing of heads and chunks that
 * the gateway uses towards clients and engines.
 *
 * <p>Read {@link dunlinladder.transport.http.HttpListener} first, then
 * {@link dunlinladder.transport.http.ServerExchange}, from which the fronts in {@code transport.platform} and
 * {@code transport.chat} derive. {@link dunlinladder.transport.http.MessageHeadParser} and
 * {@link dunlinladder.transport.http.ChunkedBodyDecoder} are also used by {@code transport.engine}.
 *
 * <p>Threads: each listener has one accepting thread and one I/O thread, which reads and writes all of its connections.
 * Any thread may queue a response. The gateway's timer calls {@code HttpListener.enforceTimeouts} and its shutdown
 * {@code HttpListener.shutDownConnections}. Uses {@code core} and HttpCore; does not depend on any front or on
 * {@code transport.engine}.
 */
package dunlinladder.transport.http;
