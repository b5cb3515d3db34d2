/**
 * The program: its command line, its configuration, and the life of a gateway from start to stop.
 *
 * <p>This package may use all other packages; only {@code demo} uses it. Start reading with
 * {@link dunlinladder.lifecycle.Main}. {@code Gateway} and {@code GatewayAssembly} show the running gateway,
 * {@code GatewayConfigReader} its configuration, and {@code PlanCommands} and {@code ChatConfigReader} the
 * configuration of the chat front by its operator.
 */
package dunlinladder.lifecycle;
