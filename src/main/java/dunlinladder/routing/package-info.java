/**
 * The routing policy: which engine prefills and which decodes each request, when it is retried, given up or rejected
 * (scheme: DistServe). A type either decides or records and estimates. Those that decide are listed as {@code policy}
 * in deploy/balancer.toml and hold at most 950 lines together; those without state of their own are records of what
 * they use. Why each choice is as it is stands in docs/design.md.
 *
 * <p>Visible outside are {@link dunlinladder.routing.Router} with its settings, events and actions, the
 * {@link dunlinladder.routing.RoutingPolicy} that implements it, and
 * {@link dunlinladder.routing.BlockingRequestRouter}, which serves it to the core. May use {@code dunlinladder.core};
 * the policy itself does no I/O, reads no clock and starts no thread, and draws random numbers from its seed alone.
 *
 * <p>Read first: {@code RoutingPolicy}, the life cycle of a request; then {@code StartSelector} and
 * {@code DecodeSelector} for the choices, and {@code PolicyContext} for what is known.
 */
package dunlinladder.routing;
