// Package gate is the only path to one target: it starts tasks there, accounts
// exactly for the target's resources, renews the target's lease on its runs, and
// reports the outcome of each task.
//
// The rules that it follows:
//
//   - A task occupies resources from before its start is ordered until the target
//     has reported its end, or until it is certain that it never started or no
//     longer runs.
//   - Every order carries a deadline on the target's clock, at most TargetLease
//     ahead, so an order that is executed late has no effect.
//   - A run ends by the target's report, with its incarnation or its lease, or by an
//     exclusion: the target has acknowledged a stop, or the start's deadline has passed, and
//     a listing that was requested StopTime later lacks the run. No listing is dated by its
//     clock or its arrival.
//   - A start without an answer is in doubt. It is repeated under its number, then stopped,
//     and resolved before its outcome is reported.
//   - An entry's tasks run only while the entry renews its lease on them, by
//     echoing a timestamp of this gate's clock that is younger than EntryLease.
//   - The target's lease is not renewed, and nothing is started, while a run has outlived
//     its entry's lease or its cancellation by stopSlack.
//   - A task that was refused or cancelled never starts, whenever a copy of its
//     message arrives; a message whose echoed timestamp is older than EntryLease is
//     refused.
//   - A target that restarts under its ID may carry out orders for its previous
//     incarnation. The gate's runs are in doubt then, until they are excluded there.
//   - A run at the target that this gate did not start is stopped before anything
//     else is started, and nothing is started until all such runs are known.
//   - A target that is known from a record of an earlier incarnation of the process is
//     used only if it answers as that incarnation, and without a heartbeat for
//     confirmPeriod at most.
//
// The package does no I/O: the calls to the target are function fields.
package gate
