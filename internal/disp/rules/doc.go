// Package rules has no code of its own: its properties play the decision packages
// together, entries with their gates and targets, through schedules of failures
// in virtual time, and check what targets and callers see against the rules that
// the dispatcher holds to.
package rules
