package cause

import "slices"

// Reasons that a gate gives.
const (
	Aside            = "aside"       // the target is set aside
	Cancelled        = "cancelled"   // the job has ended
	Departed         = "departed"    // the target said farewell
	LeaseExpired     = "expired"     // the entry's lease has lapsed
	TargetFailing    = "failing"     // the target failed the run
	NoCapacity       = "full"        // no room in time
	EndedByTarget    = "lapsed"      // the target ended the run by itself
	Leaving          = "leaving"     // the target takes no more
	NoTarget         = "notarget"    // no target has announced itself
	OutdatedOrder    = "orders"      // the target found each order out of date
	OtherIncarnation = "otherlife"   // the message is for a former process of the gate
	TargetRestarted  = "reborn"      // the target has started again
	Rejected         = "rejected"    // the target found the order invalid
	Service          = "service"     // the target is of another service
	Silent           = "silent"      // the target, or the gate, does not answer
	Size             = "size"        // no target can ever run the task
	Stopping         = "stopping"    // the process is stopping
	Stranger         = "stranger"    // a run that this process did not order
	Stuck            = "stuck"       // the run shows no progress
	Duplicate        = "twin"        // the task, or the job, is here already
	Unanswered       = "unanswered"  // the order had no answer, and never started
	Unhealthy        = "unhealthy"   // the target refuses all work
	Unreachable      = "unreachable" // the connection was refused
	Missing          = "vanished"    // the target forgot the run without ending it
)

// Reasons that an entry gives.
const (
	Attempts           = "attempts"   // a task has failed as often as its route allows
	CallerDisconnected = "callerleft" // the caller closed the connection
	JobEnded           = "ended"      // the job ended meanwhile
	RunFailed          = "failed"     // the run failed
	Invalid            = "invalid"    // the request can't be read
	NoConfig           = "noconfig"   // no configuration has been received yet
	NoGates            = "nogates"    // no node of the service is known
	NoRoute            = "noroute"    // no route has this host and path
	Overload           = "overload"   // the wait for room would make the answer late
)

// Kinds of job that are not served.
const (
	KindAdvice    = "kind.advice"
	KindFills     = "kind.fills"
	KindGang      = "kind.gang"
	KindPerpetual = "kind.perpetual"
	KindRepeats   = "kind.repeats"
	KindStored    = "kind.stored"
)

// Prefixes of counters.
const (
	Refused       = "refused."
	Retried       = "retried."
	Stopped       = "stopped."
	BreakerOpened = "aside."
)

// EntryRefusals returns the reasons why an entry refuses a job.
func EntryRefusals() []string {
	return append([]string{
		Invalid, NoConfig, NoRoute, NoGates, Overload, Size, Stopping,
		KindAdvice, KindFills, KindGang, KindPerpetual, KindRepeats, KindStored,
	}, GateRefusals()...)
}

// GateRefusals returns the reasons why a gate hands a task back that has not
// started.
func GateRefusals() []string {
	return []string{
		Aside, Cancelled, Departed, LeaseExpired, NoCapacity, Leaving, NoTarget, OutdatedOrder, TargetRestarted, Rejected, Service, Silent,
		Size, Stopping, Stranger, Duplicate, Unanswered, Unhealthy, Unreachable,
	}
}

// Retries returns the reasons why an entry places a task again.
func Retries() []string {
	lost := []string{RunFailed, EndedByTarget, Stuck, Missing}
	all := slices.Concat(GateRefusals(), lost)
	slices.Sort(all)
	return slices.Compact(all)
}

// EntryCounters returns the counters of reasons that an entry shows.
func EntryCounters() []string {
	return slices.Concat(prefixed(Refused, EntryRefusals()), prefixed(Retried, Retries()))
}

// NodeCounters returns the counters of reasons that a node shows.
func NodeCounters() []string {
	return slices.Concat(
		prefixed(Refused, GateRefusals()),
		prefixed(Stopped, []string{Cancelled, LeaseExpired, Stranger, Stuck}),
		prefixed(BreakerOpened, []string{TargetFailing, Stuck, Unhealthy}),
	)
}

func prefixed(prefix string, reasons []string) []string {
	var names []string
	for _, r := range reasons {
		names = append(names, prefix+r)
	}
	slices.Sort(names)
	return slices.Compact(names)
}
