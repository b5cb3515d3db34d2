/**
 * Translates requests, replies and errors between the published API formats, through one neutral model.
 *
 * <p>The package does no input or output and uses no other package of the project. It translates JSON and chunks of
 * streams from one format to another. {@code transport.chat} calls it for each request. {@code migration} refers to its
 * formats. {@code lifecycle} reads formats and the handling of unknown fields from the configuration, and writes the
 * reference pages.
 *
 * <p>Start with {@link dunlinladder.apiformat.RequestTranslator} for requests, with
 * {@link dunlinladder.apiformat.ReplyTranslator} and {@link dunlinladder.apiformat.ReplyEvent} for replies, and with
 * {@link dunlinladder.apiformat.ErrorTranslator} for errors. The design is in {@code docs/dialects.md}.
 */
package dunlinladder.apiformat;
