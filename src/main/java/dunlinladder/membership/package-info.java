/**
 * How the gateway watches the engine list of discovery: which connections are open, which updates are applied, and when
 * discovery is asked again. Pure functions of state, event and time; time and the seed of random numbers come from
 * outside.
 *
 * <p>May use {@code dunlinladder.core}; no I/O, no clock, no wire format, no threads. {@code transport.discovery}
 * drives it. The design and the sums of its times are in docs/membership.md.
 *
 * <p>Read first: {@link dunlinladder.membership.WatchStateMachine}, then {@link dunlinladder.membership.WatchEvent} and
 * {@link dunlinladder.membership.WatchCommand}; the rules are in {@code WatchTransition}.
 */
package dunlinladder.membership;
