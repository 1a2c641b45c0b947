// Package psim simulates the users' platform for tests and the demo. It provides a
// table store, targets, an operator's configuration and callers, and runs the
// dispatcher's processes, each on a separate loopback address.
//
// The dispatcher's guarantees are checked from outside, by what targets and callers
// observe. Only the platform is simulated: processes, clocks and connections are
// real.
package psim
