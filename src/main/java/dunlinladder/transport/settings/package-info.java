/**
 * The settings of a deployment, which have the same form on the simulator's wire and in a gateway's configuration.
 *
 * <p>May use {@code transport.json} and the settings type of {@code routing}, but no sockets and no files. Read
 * {@link dunlinladder.transport.settings.SettingsReader} first.
 */
package dunlinladder.transport.settings;
