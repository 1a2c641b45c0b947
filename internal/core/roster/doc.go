// Package roster implements the membership of one region: its nodes, the owner of
// every shard of the job-key space, and an epoch that increases with each change.
//
// A Roster is immutable; a change makes a new one with the next epoch. The package
// does no I/O and does not decide which nodes are dead.
package roster
