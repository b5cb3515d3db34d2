/**
 * Tests of the running gateway: it is started as a process of its own before stub engines and a stub of discovery, and
 * spoken to over loopback sockets. Read {@link dunlinladder.it.RunningGateway} first, then
 * {@link dunlinladder.it.StubAnswer} for the words by which a request's body asks its engine for a fault. Ports are
 * free ones, and what a test waits for is an event, never a time.
 */
package dunlinladder.it;
