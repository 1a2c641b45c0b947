// Package link connects an entry to one gate. It renews the entry's lease on its
// tasks there, sends tasks, and determines when a task whose connection was lost
// can no longer be running.
//
// A gate adds a timestamp of its own clock to each message. The entry echoes the
// newest timestamp, and the gate ends the entry's tasks a fixed time after it
// made that timestamp. A timestamp is always made before it is received, so the
// entry can tell by its own clock when all its tasks at the gate have ended,
// whatever happened to the gate or the network.
//
// This holds as long as no other link renews the lease of the same entry, so there is
// one Link for a gate. One that is not wanted any more is retired, and stays open until
// the entry has no task there.
package link
