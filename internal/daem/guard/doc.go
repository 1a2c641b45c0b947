// Package guard bounds what the clients of a server can make a process hold: bytes of request
// bodies, connections, and fields of headers.
//
// Budget and Table decide, without network, clock or goroutine. Guard applies their decisions to
// a net.Listener and an http.Handler. A request whose body exceeds the budget gets an error from
// reading it, before anything was done for it; a connection beyond the limit replaces the one
// that has made no progress for longest, or is closed. A connection that works on a request
// is not chosen for that. One that has idled for long may be, and a request that arrives at that
// moment is lost with it.
package guard
