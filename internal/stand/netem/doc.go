// Package netem emulates network failures between processes with a TCP proxy
// that can discard traffic in one direction or both, refuse or close connections,
// and go back to forwarding. It is for tests and measurements only.
package netem
