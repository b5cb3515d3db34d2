package dunlinladder.lifecycle;

import dunlinladder.transport.chat.ChatSettings;
import java.net.InetSocketAddress;

/**
 * The chat front as it is to be started.
 *
 * @param listen its address; port 0 takes any free one
 * @param settings what it serves, and how
 */
record ChatFrontConfig(InetSocketAddress listen, ChatSettings settings) {}
