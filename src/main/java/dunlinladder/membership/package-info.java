/**
 * The gateway's watch of discovery's engine list: which connections are open, which updates are applied, and when
 * discovery is called again. The code consists of pure functions of state, event and time; time and the seed of random
 * numbers are passed in.
 *
 * <p>This package may use {@code dunlinladder.core}; it uses no I/O, no clock, no wire format and no threads.
 * {@code transport.discovery} drives it. The design and the sums of its times are in docs/membership.md.
 *
 * <p>Start with {@link dunlinladder.membership.WatchStateMachine}, then read {@link dunlinladder.membership.WatchEvent}
 * and {@link dunlinladder.membership.WatchCommand}; the rules are in {@code WatchTransition}.
 */
package dunlinladder.membership;
