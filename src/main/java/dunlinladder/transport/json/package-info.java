/**
 * JSON and TOML text as {@link dunlinladder.transport.json.JsonObject}: parsing, typed look-ups whose faults name the
 * field, bounds checks and writing. Read {@code JsonObject} first; {@link dunlinladder.transport.json.JsonObjectStream}
 * reads objects from a connection that stays open.
 *
 * <p>Uses Jackson's streaming parser only and no other package of this program. Every fault of the input is an
 * {@link dunlinladder.transport.json.InvalidInputException}, whose message is meant for the operator or the client.
 */
package dunlinladder.transport.json;
