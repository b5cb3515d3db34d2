/**
 * The front for the platform's own protocol: a request gives its id, class, tenant, deadline and lengths in headers,
 * and its body is sent to the engines unchanged.
 *
 * <p>Read {@link dunlinladder.transport.platform.PlatformExchange} first; its headers are read by
 * {@link dunlinladder.transport.platform.PlatformRequestReader}. Uses {@code core}, {@code transport.http},
 * {@code transport.engine} and {@code transport.json}.
 */
package dunlinladder.transport.platform;
