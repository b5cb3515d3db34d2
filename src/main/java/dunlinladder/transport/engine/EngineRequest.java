package dunlinladder.transport.engine;

import dunlinladder.core.Engine;

/**
 * What goes to an engine; as a factory of its own it sends the same to each. The body is not copied, so whoever makes
 * or reads a request leaves its bytes as they are; two requests with equal bytes are not equal.
 *
 * @param method HTTP method
 * @param target path with query
 * @param contentType value of {@code Content-Type}, null where the client sent none
 * @param body the body's bytes, none for no body
 */
public record EngineRequest(String method, String target, String contentType, byte[] body)
        implements EngineRequestFactory {

    @Override
    public EngineRequest requestFor(Engine engine) {
        return this;
    }
}
