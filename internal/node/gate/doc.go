// Package gate controls all access to the target of a node: it counts the target's
// slots, starts each task at most once, and reports the results of tasks.
//
// It does not select the gate of a task, and it handles single tasks, not jobs.
package gate
