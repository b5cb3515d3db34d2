package dunlinladder.transport.engine;

import dunlinladder.core.Engine;

/**
 * A request to an engine. It is also a factory that returns the same request for each engine. The body is not copied,
 * so neither its creator nor a reader may change the bytes. Two requests with equal bytes in different arrays are not
 * equal.
 *
 * @param method HTTP method
 * @param target path with query
 * @param contentType value of {@code Content-Type}, null if the client sent none
 * @param body the body's bytes, empty for no body
 * @param terminator the event that completes the engine's stream
 */
public record EngineRequest(String method, String target, String contentType, byte[] body, StreamTerminator terminator)
        implements EngineRequestFactory {

    @Override
    public EngineRequest requestFor(Engine engine) {
        return this;
    }
}
