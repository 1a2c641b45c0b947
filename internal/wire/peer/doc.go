// Package peer makes and serves net/rpc calls between the processes of the system.
//
// A Pool keeps one connection open to each address, limits the time of every call, and
// returns errors that distinguish calls that may have arrived from those that can't
// have. The package does not retry calls that may have arrived, and does not use the
// roster.
package peer
