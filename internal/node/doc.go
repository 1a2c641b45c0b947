// Package node puts together the parts of a node process: the gate to its
// target, the home of some shards, and its membership.
package node
