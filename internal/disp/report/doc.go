// Package report serves the status of a process of the platform path to
// operators: its active configuration, the nodes that it uses, its target, and
// why targets get no tasks. At an entry, it also answers where a job would be placed.
//
// It only reads; it never changes the state of a process.
package report
