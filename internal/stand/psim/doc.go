// Package psim is a stand-in for the users' platform, small enough for tests and
// the demo: a table store, targets that judge what they are told, an operator's
// configuration, callers, and the dispatcher's processes on loopback addresses
// of their own.
//
// It checks the promises from outside, by what targets and callers see. It is no
// simulator: processes, clocks and connections are real.
package psim
