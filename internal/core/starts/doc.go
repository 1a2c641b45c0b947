// Package starts remembers, at a gate, which tasks were started at the target,
// so that a (key, task) starts at most once and its outcome can be asked for
// after a broken connection.
//
// A task that is asked for before it was seen is marked refused, and never
// starts at this gate. The package does no I/O and starts nothing itself.
package starts
