/**
 * The one bridge to what HttpCore keeps package-private; see
 * {@link org.apache.hc.core5.reactor.AcceptedChannelReactor}.
 */
package org.apache.hc.core5.reactor;
