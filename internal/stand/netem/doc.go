// Package netem emulates network failures between processes with a TCP proxy that can
// discard or hold traffic, refuse, close or silence connections, and go back to forwarding.
// It is for tests and measurements only.
package netem
