// Package connlimit bounds the connections of a process's servers and the bytes of requests that they hold, so that
// clients which send without end or nothing at all take neither its memory nor the descriptors by which it reaches its
// peers and the store. At the bound, connections that haven't completed a request are closed, the oldest first, then
// idle ones. A request that was read whole is never given up for another one: if only such are left, the newcomer is
// refused.
//
// # Usage
//
// A process makes one Limiter for the servers that share its bounds. Each HTTP server comes from Limiter.NewServer and
// serves the listener that Limiter.Listen returns, without which it has no limits; see the example. Servers of other
// protocols charge a Conn for what they hold by Conn.Hold or Conn.ReadAll, as package peer does.
package connlimit
