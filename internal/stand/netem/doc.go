// Package netem is a stand-in for the network before one process: a TCP relay
// that can be cut, in both directions or one, and healed. It is for tests and
// measurements only.
package netem
