// Package soak runs the real programs under a steady load of jobs while it injects
// failures drawn from a seed: signals, restarts, processes that run on a quota, connections
// that are closed, held up or carry no data, also between the processes, targets and a table
// store that misbehave, and clocks that run at the wrong speed. Several failures overlap.
//
// Correctness is judged by what the simulated callers and targets observe, not by
// the programs' counters. The package ends only processes that it started. A cut of a
// process from the others lies in one direction: what it calls itself goes on.
package soak
