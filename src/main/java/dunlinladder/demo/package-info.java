/**
 * A demonstration of the program on one machine, with stubs for the engines and discovery.
 *
 * <p>This package is not part of the service. It may use {@code apiformat} for the stubs' answers and the demo
 * configuration of {@code lifecycle}; the gateway runs in its own process. Start reading with
 * {@link dunlinladder.demo.Demo}.
 */
package dunlinladder.demo;
