/**
 * HTTP/1.1 on sockets, on HttpCore's asynchronous engine: what clients connect to, and the stricter reading of heads
 * and chunks that both directions of the gateway use.
 *
 * <p>Read {@link dunlinladder.transport.http.HttpListener} first, then
 * {@link dunlinladder.transport.http.ServerExchange}, from which the fronts in {@code transport.platform} and
 * {@code transport.chat} derive. {@link dunlinladder.transport.http.MessageHeadParser} and
 * {@link dunlinladder.transport.http.ChunkedBodyDecoder} also serve the engines' side, {@code transport.engine}.
 *
 * <p>Threads: each listener has one accepting thread and one I/O thread, which reads and writes all of its connections.
 * Answers may be queued by any thread. The gateway's timer calls {@code HttpListener.sweep} and its shutdown
 * {@code HttpListener.closeIdle}. Uses {@code core} and HttpCore; nothing here knows a front or an engine.
 */
package dunlinladder.transport.http;
