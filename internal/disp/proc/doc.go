// Package proc assembles the two processes of the platform path: the entry,
// which accepts jobs and is linked to gates, and the node, which is the gate of
// one target.
//
// It connects the packages that make the decisions by net/rpc, and keeps entries
// and nodes informed of each other. The protocols spoken with callers, targets
// and the platform's table are supplied as function fields.
package proc
