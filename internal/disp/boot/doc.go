// Package boot reads the time since the machine started, which goes on while
// the machine is suspended.
//
// Leases are measured with it: the monotonic clock of package time stands still
// during a suspension, so a process that was suspended would believe in leases
// that have lapsed. It knows nothing of the time of day.
package boot
