/**
 * The core of the gateway: it owes each accepted request exactly one final answer, and never lets a request run twice
 * that must not. What it needs of the world it reaches through ports: {@link dunlinladder.core.RequestRouter} to the
 * routing policy, {@link dunlinladder.core.EngineTransport} to the engines, {@link dunlinladder.core.ResponseSink} to
 * the client.
 *
 * <p>It uses no other package of the gateway. Read {@link dunlinladder.core.Dispatcher} first.
 */
package dunlinladder.core;
