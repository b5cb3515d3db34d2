/**
 * The chat front: the published API formats of {@code apiformat}, for clients that use their vendors' libraries.
 *
 * <p>Read {@link dunlinladder.transport.chat.ChatExchange} first: it takes a request in, streams its reply and words
 * its errors. {@code ClientRequest} is what was read of the request, {@code ChatEngineRequest} what it becomes for each
 * engine, and {@code ChatReplyRelay} the reply of an engine that speaks the client's own format; replies in another
 * format go through {@code apiformat}'s translator. What the operator sets is in
 * {@link dunlinladder.transport.chat.ChatSettings}.
 *
 * <p>Uses {@code core}, {@code apiformat}, {@code migration}, {@code transport.http}, {@code transport.engine},
 * {@code transport.json} and the key function of {@code transport.platform}.
 */
package dunlinladder.transport.chat;
