package dunlinladder.lifecycle;

import dunlinladder.transport.chat.ChatSettings;
import java.net.InetSocketAddress;

/**
 * The configuration with which the chat front is started.
 *
 * @param listen its address; port 0 selects any free port
 * @param settings its clients, models, deadlines and engine formats
 */
record ChatFrontConfig(InetSocketAddress listen, ChatSettings settings) {}
