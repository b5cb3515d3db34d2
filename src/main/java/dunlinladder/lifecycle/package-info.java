/**
 * The program: its command line, its configuration, and the life of a gateway from start to stop.
 *
 * <p>May use all other packages and is used by none but {@code demo}. Read {@link dunlinladder.lifecycle.Main} first,
 * then {@code Gateway} and {@code GatewayAssembly} for what runs, {@code GatewayConfigReader} for what is configured,
 * and {@code PlanCommands} with {@code ChatConfigReader} for what the operator of the chat front changes.
 */
package dunlinladder.lifecycle;
