// Package intake bounds what clients outside of the project's control can take of a
// daemon: the bytes of bodies and messages, the connections, and the time without
// progress. Progress, Budget and Yielding decide without I/O; the HTTP and network wrappers
// apply their decisions.
//
// A request or connection gives way when it is evicted to make room for others: a request
// is refused as not run, and a connection is closed.
package intake
