/**
 * The core of the gateway. It gives each accepted request exactly one final answer and never runs a request twice that
 * must run only once. It reaches the other parts through ports: {@link dunlinladder.core.RequestRouter} leads to the
 * routing policy, {@link dunlinladder.core.EngineTransport} to the engines, and {@link dunlinladder.core.ResponseSink}
 * to the client.
 *
 * <p>This package uses no other package of the gateway. Start with {@link dunlinladder.core.Dispatcher}.
 */
package dunlinladder.core;
