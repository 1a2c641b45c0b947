// Package place chooses the gate at which a home starts a task.
//
// It compares a bounded sample of gates by the time at which each is expected
// to finish the task, from the load the gate last reported, the starts made
// since, its learned run time and its distance. It sends nothing and does not
// know keys.
package place
