// Package roster holds the membership of one region: its nodes, the owner of
// every shard of the job-key space, and the epoch that each change raises.
//
// A Roster is immutable. Changes make a new one with the next epoch; the
// package does no I/O and does not decide who is dead.
package roster
