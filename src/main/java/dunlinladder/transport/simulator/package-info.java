/**
 * The simulator's wire: batches of events come in, the actions of the routing policy go out, on two streams of text.
 *
 * <p>May use {@code routing}, {@code transport.json} and {@code transport.settings}; decides nothing itself. The names
 * on the wire are the simulator's and are translated here alone. Read
 * {@link dunlinladder.transport.simulator.SimulatorHost} first, then
 * {@link dunlinladder.transport.simulator.SimulatorCodec}.
 */
package dunlinladder.transport.simulator;
