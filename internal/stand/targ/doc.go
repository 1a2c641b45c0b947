// Package targ is a small stand-in for a target, for tests and measurements
// only.
//
// It sleeps for a task's time, answers with the task's own token, keeps a list
// of every start for the judge, and can be told to fail in several ways.
package targ
