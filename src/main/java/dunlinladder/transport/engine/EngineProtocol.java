package dunlinladder.transport.engine;

import dunlinladder.core.Limits;
import dunlinladder.transport.http.ChunkedBodyDecoder;
import dunlinladder.transport.http.MessageHeadParser;
import java.nio.channels.ReadableByteChannel;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.nio.ClientHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ClientHttp1StreamDuplexer;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestWriterFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseParserFactory;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.RequestContent;
import org.apache.hc.core5.http.protocol.RequestTargetHost;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.ProtocolIOSession;

/**
 * HttpCore's client side of HTTP/1.1 with the gateway's own parsers of heads and chunks. They limit every size, because
 * an engine may send anything. Used by HttpCore's I/O thread only.
 */
final class EngineProtocol {

    /** The length that HttpCore gives for a chunked body. */
    private static final long CHUNKED = -1;

    private final Limits limits;
    private final Http1Config config;
    private final HttpProcessor processor = HttpProcessorBuilder.create()
            .addAll(new RequestContent(), new RequestTargetHost())
            .build();

    /** Uses the maximum sizes of heads and chunks in {@code limits}. */
    EngineProtocol(Limits limits) {
        this.limits = limits;
        this.config = MessageHeadParser.config(limits);
    }

    /** Creates the handler of a new connection. */
    IOEventHandler createHandler(ProtocolIOSession session) {
        return new ClientHttp1IOEventHandler(new BoundedDuplexer(session));
    }

    private MessageHeadParser<HttpResponse> headParser() {
        return new MessageHeadParser<>(
                new DefaultHttpResponseParserFactory(config).create(), limits.headBytes(), limits.interimResponses());
    }

    private final class BoundedDuplexer extends ClientHttp1StreamDuplexer {

        BoundedDuplexer(ProtocolIOSession session) {
            super(
                    session,
                    processor,
                    config,
                    CharCodingConfig.DEFAULT,
                    null,
                    headParser(),
                    DefaultHttpRequestWriterFactory.INSTANCE.create(),
                    null,
                    null,
                    null);
        }

        @Override
        protected ContentDecoder createContentDecoder(
                long length, ReadableByteChannel channel, SessionInputBuffer buffer, BasicHttpTransportMetrics metrics)
                throws HttpException {
            return length == CHUNKED
                    ? new ChunkedBodyDecoder(channel, buffer, limits.chunkBytes())
                    : super.createContentDecoder(length, channel, buffer, metrics);
        }
    }
}
