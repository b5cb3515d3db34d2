/**
 * Discovery over HTTP: carries out the commands of the watch's state machine on sockets, and translates discovery's
 * lists.
 *
 * <p>May use {@code membership}, {@code core}, {@code transport.json} and HttpCore; nothing of the routing policy and
 * nothing of the engines' side. Each call to discovery reads on a thread of its own; which lock guards what stands at
 * {@link dunlinladder.transport.discovery.EndpointWatcher}, which is to be read first.
 */
package dunlinladder.transport.discovery;
