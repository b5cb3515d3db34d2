package dunlinladder.transport.engine;

import dunlinladder.core.Engine;

/** What goes to an engine, the same to all: method, path with query, content type and body. */
public record EngineRequest(String method, String target, String contentType, byte[] body)
        implements EngineRequestFactory {

    @Override
    public EngineRequest requestFor(Engine engine) {
        return this;
    }
}
