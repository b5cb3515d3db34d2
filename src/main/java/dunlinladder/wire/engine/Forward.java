package dunlinladder.wire.engine;

import dunlinladder.core.Engine;

/** What goes to an engine, the same to all: method, path with query, content type and body. */
public record Forward(String method, String target, String contentType, byte[] body) implements Outgoing {

    @Override
    public Forward to(Engine engine) {
        return this;
    }
}
