// Package health decides, from probes and from what other probers say, when a
// node counts as dead.
//
// A refused connection is proof enough; silence has to be seen by two probers.
// It sends no probe and removes nobody.
package health
