// Package edge assembles the two processes of the platform path: the entry,
// which takes jobs and knows the gates, and the node, which is the gate of one
// target.
//
// It connects the decisions of the other packages by net/rpc and keeps entries
// and nodes known to each other. What is spoken with callers, targets and the
// platform's table comes in through function fields.
package edge
