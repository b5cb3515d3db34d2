/**
 * The only access to package-private parts of HttpCore; see {@link org.apache.hc.core5.reactor.AcceptedChannelReactor}.
 */
package org.apache.hc.core5.reactor;
