// Package link is an entry's side of one gate: it renews the entry's lease on
// its tasks there, sends tasks, and knows when a task that it has lost sight of
// runs no more.
//
// A gate stamps each message with its own clock. The entry echoes the newest
// stamp, and its tasks end at the gate a fixed time after that stamp was made.
// The stamp was made before it was received, so the entry can tell by its own
// clock when everything there has ended, whatever became of gate and network.
package link
