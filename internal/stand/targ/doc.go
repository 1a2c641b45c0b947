// Package targ simulates a target. It is for tests and measurements only.
//
// The target sleeps for the run time of a task, answers with the task's token,
// records all task starts, and can be made to fail in several ways.
package targ
