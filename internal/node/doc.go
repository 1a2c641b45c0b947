// Package node assembles a node process from its parts: the gate to its target, the
// home of some shards, and its membership.
package node
