// Package logs writes structured log lines: one for each change of state, and one for
// each decision about a request.
//
// A separate goroutine formats lines and writes them in batches. The number of lines
// per second is limited. Lines beyond the limit are dropped, counted by event, and
// reported in a line "log_dropped". Events that need no line are
// counted by package stats.
package logs
