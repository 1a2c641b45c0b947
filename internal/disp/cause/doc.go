// Package cause lists why jobs and tasks are refused, placed again or stopped,
// and why a target is set aside. Logs, answers between processes and counters
// name a reason by these words only.
//
// It decides nothing.
package cause
