/**
 * The routing policy: which engine prefills and which decodes each request, and when it is retried, given up or
 * rejected. The scheme is that of DistServe. Each type either makes decisions, or records and estimates. The types that
 * make decisions are listed as {@code policy} in deploy/balancer.toml; those without state of their own are records of
 * their collaborators. docs/design.md explains the reasons for the choices.
 *
 * <p>Public are {@link dunlinladder.routing.Router} with its settings, events and actions, the
 * {@link dunlinladder.routing.RoutingPolicy} that implements it, and
 * {@link dunlinladder.routing.BlockingRequestRouter}, which connects it to the core. The package may use
 * {@code dunlinladder.core}. The policy itself does no I/O, reads no clock, starts no thread, and draws random numbers
 * from its seed alone.
 *
 * <p>Good starting points are {@code RoutingPolicy} for the life cycle of a request, {@code StartSelector} and
 * {@code DecodeSelector} for the choice of engines, and {@code PolicyContext} for the shared state.
 */
package dunlinladder.routing;
