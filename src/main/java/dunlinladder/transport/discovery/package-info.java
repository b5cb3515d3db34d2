/**
 * Discovery over HTTP: executes the commands of the watch's state machine on sockets, and translates discovery's lists.
 *
 * <p>Read {@link dunlinladder.transport.discovery.EndpointWatcher} first; it also states which lock guards which
 * fields. Each call to discovery reads on its own thread.
 *
 * <p>May use {@code membership}, {@code core}, {@code transport.json} and HttpCore, but neither the routing policy nor
 * {@code transport.engine}.
 */
package dunlinladder.transport.discovery;
