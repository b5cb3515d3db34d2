/**
 * The chat front: serves the published API formats of {@code apiformat} to clients that use the vendors' libraries.
 *
 * <p>Read {@link dunlinladder.transport.chat.ChatExchange} first: it receives a request, sends the reply and reports
 * errors. {@code ClientRequest} holds the request as it was read, and {@code ChatEngineRequest} creates the request to
 * each engine. {@code ChatReplyRelay} relays replies that need no translation; all others go through the
 * {@code ReplyTranslator} of {@code apiformat}. {@link dunlinladder.transport.chat.ChatSettings} holds the operator's
 * settings.
 *
 * <p>Uses {@code core}, {@code apiformat}, {@code migration}, {@code transport.http}, {@code transport.engine},
 * {@code transport.json} and the hash function {@code hashKey} of {@code transport.platform}.
 */
package dunlinladder.transport.chat;
