/**
 * The settings of a deployment, which the simulator's wire and a gateway's configuration spell the same way.
 *
 * <p>May use {@code transport.json} and the settings type of {@code routing}; knows no socket and no file. Read
 * {@link dunlinladder.transport.settings.SettingsReader} first.
 */
package dunlinladder.transport.settings;
