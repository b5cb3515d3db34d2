/**
 * Translates requests, replies and errors between the published API formats, through one neutral model.
 *
 * <p>The package does no input or output and uses no other package of the project: it turns JSON and chunks of streams
 * into others. {@code transport.chat} calls it for each request, {@code migration} and {@code lifecycle} name formats.
 *
 * <p>Start with {@link dunlinladder.apiformat.RequestTranslator} for requests, with
 * {@link dunlinladder.apiformat.ReplyTranslator} and {@link dunlinladder.apiformat.ReplyEvent} for replies, and with
 * {@link dunlinladder.apiformat.ErrorTranslator} for errors. The design is in {@code docs/dialects.md}.
 */
package dunlinladder.apiformat;
