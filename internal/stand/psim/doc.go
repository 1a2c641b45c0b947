// Package psim simulates the users' platform for tests and the demo. It provides a
// table store, targets, an operator's configuration and callers, and runs the
// dispatcher's processes, each on a separate loopback address.
//
// Targets promise no more than the platform's page: the lists in an answer are older than its
// clock and are copied one after the other, answers to orders do not say which incarnation
// gives them, a stop takes a while in which a run may not be listed, answers overtake each
// other, starts are slow, and an order without an answer may be executed seconds later. All of
// that is drawn for each answer, in every test. Callers come through a load balancer that
// checks each entry once a second.
//
// The dispatcher's guarantees are checked from outside, by what targets and callers
// observe. Only the platform is simulated: processes, clocks and connections are
// real.
package psim
