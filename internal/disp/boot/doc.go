// Package boot reads the time since the machine booted, which also advances while
// the machine is suspended.
//
// Leases are measured with it: the monotonic clock of package time stops during a
// suspension, so a process that was suspended would still trust leases that have
// lapsed. The package has no notion of the time of day. It also waits, until something
// happens or for the pauses between calls that fail.
package boot
