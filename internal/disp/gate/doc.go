// Package gate is the only way to one target: it starts tasks there, keeps the
// target's room exact, renews the target's lease on what runs, and tells what
// became of each task.
//
// The rules that it holds to:
//
//   - A task takes room from before its start is ordered until the target has
//     listed its end, or it is certain that it never started or runs no more.
//   - Every order carries a deadline on the target's clock, at most Lease away,
//     so an order that is carried out late does nothing.
//   - A start without an answer is settled before anything is said of it: it is
//     listed, or a stop has barred it and a later listing lacks it, or its
//     deadline has passed on the target's clock.
//   - An entry's tasks run only while the entry renews its lease on them, by
//     echoing a stamp of this gate's own clock that is younger than Authority.
//   - A task that was refused or cancelled never starts, whenever a copy of its
//     message comes; one older than Authority is refused.
//   - What runs at the target and isn't known here is stopped before anything is
//     started.
//
// The package does no I/O of its own: the target's calls are function fields.
package gate
