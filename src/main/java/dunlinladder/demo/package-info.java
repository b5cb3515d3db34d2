/**
 * A demonstration of the program on one machine, with stand-ins for the engines and discovery.
 *
 * <p>May use {@code apiformat} for the stand-ins' answers and the demo configuration of {@code lifecycle}; the gateway
 * runs in a process of its own. No part of the service. Read {@link dunlinladder.demo.Demo} first.
 */
package dunlinladder.demo;
