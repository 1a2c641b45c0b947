// Package starts records, at a gate, which tasks were started at the target, so that
// a task of a job starts at most once and its result can be requested after a broken
// connection.
//
// If a result is requested for a task that the gate has not received yet, the task is
// marked as not run and never starts at this gate. The package does no I/O and starts
// no tasks itself.
package starts
