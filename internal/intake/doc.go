// Package intake bounds what clients outside of the project's control can take of a
// daemon: the bytes of bodies and messages, the connections, and the time without
// progress. The decisions are pure (Progress, Budget, Connections); the HTTP and network
// wrappers around them apply them.
package intake
