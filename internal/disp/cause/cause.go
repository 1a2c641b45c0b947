package cause

import "slices"

// Reasons given by a gate.
const (
	BreakerOpen      = "aside"       // the target's circuit breaker is open
	Cancelled        = "cancelled"   // the task or its job was cancelled
	Departed         = "departed"    // the target deregistered
	Evacuated        = "evacuated"   // the failure domain is evacuated, or all domains whose targets could run the task are
	LeaseExpired     = "expired"     // the entry's lease on its tasks has expired
	TargetFailing    = "failing"     // runs on the target fail
	NoCapacity       = "full"        // no capacity became free in time
	EndedByTarget    = "lapsed"      // the target ended the run without being asked to
	Leaving          = "leaving"     // the target is leaving and accepts no more tasks
	NoTarget         = "notarget"    // no target has registered with the gate
	OutdatedOrder    = "orders"      // each start was refused for an outdated run number, fencing token or deadline
	OtherIncarnation = "otherlife"   // the message is meant for another incarnation of the gate
	Revoked          = "revoked"     // the job was revoked for the sake of another entry, which runs it now
	TargetCrashed    = "crashed"     // the target went down while the run was there
	TargetRestarted  = "reborn"      // the target has restarted
	Rejected         = "rejected"    // the target refused the start as invalid
	WrongService     = "service"     // the target belongs to another service
	Silent           = "silent"      // the target, or the gate, does not respond
	TooLarge         = "size"        // the task exceeds the capacity of the gate's target, or of every target
	Stopping         = "stopping"    // the process is shutting down
	Foreign          = "stranger"    // the process did not start the run, or the task is for another incarnation of the gate
	Stuck            = "stuck"       // the run makes no progress
	Duplicate        = "twin"        // a run of the same task is still unfinished
	Unanswered       = "unanswered"  // the start had no answer, and the run has not started or its target went down
	Unhealthy        = "unhealthy"   // the target reports that it is unhealthy and refuses the start
	Unreachable      = "unreachable" // no connection to the target, or to the gate, could be made
	Missing          = "vanished"    // the target no longer reports the run and never reported its end
)

// Reasons given by an entry.
const (
	AttemptsExhausted  = "attempts"   // a task failed as often as its route allows
	CrashesTargets     = "crashes"    // too many targets have crashed under a task
	LostTargets        = "doubt"      // a task was lost with its target too often, which may have crashed under it
	CallerDisconnected = "callerleft" // the caller closed the connection
	JobEnded           = "ended"      // the job ended before the task was sent, or while it ran
	RunFailed          = "failed"     // the run failed
	CutOff             = "cutoff"     // the entry may have lost its callers, and could not tell the others
	Invalid            = "invalid"    // the request is malformed
	NoConfig           = "noconfig"   // the entry has not received a configuration yet
	NoGates            = "nogates"    // no gate of the service is known that can run the task
	NoRoute            = "noroute"    // no route matches the host and path
	RunsElsewhere      = "elsewhere"  // another entry runs the job now
	Stalled            = "stalled"    // the process stood still before the task was sent
	Overload           = "overload"   // the expected wait for capacity would make the answer late
	WaitOver           = "waitover"   // the caller has stopped waiting for the answer
)

// Reasons for refusing jobs of kinds that are not supported.
const (
	KindAdvice    = "kind.advice"
	KindFills     = "kind.fills"
	KindGang      = "kind.gang"
	KindPerpetual = "kind.perpetual"
	KindRepeats   = "kind.repeats"
	KindStored    = "kind.stored"
)

// Prefixes of counter names. The name of a counter is a prefix followed by a reason.
const (
	RefusedPrefix       = "refused."
	AbandonedPrefix     = "abandoned."
	FailedPrefix        = "failed."
	RetriedPrefix       = "retried."
	StoppedPrefix       = "stopped."
	BreakerOpenedPrefix = "aside."
)

// PreventsStarts reports whether a gate whose load has this BlockedReason can start no task
// at all. Any other non-empty reason means that the target's circuit breaker is open.
func PreventsStarts(blockedReason string) bool {
	return blockedReason == Silent || blockedReason == TargetCrashed || blockedReason == NoTarget || blockedReason == Evacuated
}

// EntryRefusals returns the reasons for which an entry refuses a job.
func EntryRefusals() []string {
	return append([]string{
		Invalid, NoConfig, NoRoute, NoGates, Overload, TooLarge, Stopping,
		KindAdvice, KindFills, KindGang, KindPerpetual, KindRepeats, KindStored,
	}, GateRefusals()...)
}

// GateRefusals returns the reasons for which a gate refuses a task, which means that the
// task has not started.
func GateRefusals() []string {
	return []string{
		BreakerOpen, Cancelled, Departed, Evacuated, LeaseExpired, NoCapacity, Leaving, NoTarget, OutdatedOrder, TargetRestarted, Rejected, WrongService, Silent,
		TooLarge, Stopping, Foreign, Duplicate, Unanswered, Unhealthy, Unreachable, Revoked,
	}
}

// Abandonments returns the reasons for which an entry abandons a job.
func Abandonments() []string {
	return []string{CallerDisconnected, Cancelled, CutOff, LostTargets, RunsElsewhere, Stopping, WaitOver}
}

// Retries returns the reasons for which an entry places a task again, in sorted order.
func Retries() []string {
	byEntry := []string{Stalled}
	afterStart := []string{RunFailed, EndedByTarget, Stuck, Missing, TargetCrashed}
	all := slices.Concat(GateRefusals(), byEntry, afterStart)
	slices.Sort(all)
	return slices.Compact(all)
}

// EntryCounters returns the names of the counters of reasons that an entry exposes.
func EntryCounters() []string {
	return slices.Concat(
		withPrefix(RefusedPrefix, EntryRefusals()),
		withPrefix(AbandonedPrefix, Abandonments()),
		withPrefix(FailedPrefix, []string{AttemptsExhausted, CrashesTargets}),
		withPrefix(RetriedPrefix, Retries()),
	)
}

// NodeCounters returns the names of the counters of reasons that a node exposes.
func NodeCounters() []string {
	return slices.Concat(
		withPrefix(RefusedPrefix, GateRefusals()),
		withPrefix(StoppedPrefix, []string{Cancelled, Departed, LeaseExpired, Foreign, Stuck, Revoked}),
		withPrefix(BreakerOpenedPrefix, []string{TargetFailing, Stuck, Unhealthy}),
	)
}

// withPrefix returns the reasons with the prefix, sorted and without duplicates.
func withPrefix(prefix string, reasons []string) []string {
	var names []string
	for _, r := range reasons {
		names = append(names, prefix+r)
	}
	slices.Sort(names)
	return slices.Compact(names)
}
