// Package peer makes net/rpc calls between the system's own processes and
// serves them: one kept connection to each address, a deadline on every call,
// and errors that tell whether the call may have arrived.
//
// It does not retry and knows no roster.
package peer
