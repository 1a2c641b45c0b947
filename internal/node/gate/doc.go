// Package gate is the only way to a node's target: it counts the target's
// slots, starts each task at most once, and tells the outcome of tasks it was
// asked for.
//
// It does not choose where a task goes and knows nothing of whole jobs.
package gate
