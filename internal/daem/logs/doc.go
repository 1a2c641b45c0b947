// Package logs writes structured log lines: one a change of state, and one a
// decision about a request.
//
// Lines are formatted and written on a goroutine of their own, some at a time, and
// their number a second is bounded. What is dropped is counted by event and said
// in a line "log_dropped". What needs no line is counted by package stats.
package logs
