/**
 * The simulator's wire: reads batches of events from a text stream and writes the routing policy's actions to another.
 *
 * <p>May use {@code routing}, {@code transport.json} and {@code transport.settings}; makes no decisions itself. The
 * names on the wire are the simulator's and are translated only here. Read
 * {@link dunlinladder.transport.simulator.SimulatorHost} first, then
 * {@link dunlinladder.transport.simulator.SimulatorCodec}.
 */
package dunlinladder.transport.simulator;
