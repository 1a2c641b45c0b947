// Package soak plays the real programs through failures drawn from a seed, while
// callers go on: signals, restarts, cut and silent connections, targets, clocks
// and a table that misbehave, in series that overlap.
//
// The judges are the stand-in callers and targets, not the programs' counters. It
// ends only processes that it started. The calls between entries and nodes go
// straight; there only whole processes are paused.
package soak
