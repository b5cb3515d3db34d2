/**
 * JSON and TOML text as {@link dunlinladder.transport.json.JsonObject}: parsing, typed look-ups whose errors name the
 * field, range checks and writing. Read {@code JsonObject} first; {@link dunlinladder.transport.json.JsonObjectStream}
 * reads objects from a connection that stays open.
 *
 * <p>Uses only Jackson's streaming parsers and generator, and no other package of this project. Invalid input causes an
 * {@link dunlinladder.transport.json.InvalidInputException}, whose message is meant for the operator or the client.
 */
package dunlinladder.transport.json;
