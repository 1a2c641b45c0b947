package targ

import (
	"github.com/ansel1/merry/v2"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
)

// Errors of calls to a target. All except ErrUnanswered mean that the call had no
// effect.
var (
	// ErrUnanswered means that no answer arrived. The call may have been executed, or
	// may be executed later.
	ErrUnanswered = merry.Sentinel("target did not answer")
	// ErrUnreachable means that the target refused the connection.
	ErrUnreachable = merry.Sentinel("target refused the connection")
	// ErrFenced means that the target has seen a higher fencing token.
	ErrFenced = merry.Sentinel("target has seen a higher fencing token")
	// ErrStaleRun means that the target has seen the end, or the stop, of this run of
	// the task or of a later one.
	ErrStaleRun = merry.Sentinel("target has seen a later run of the task")
	// ErrDeadlinePassed means that the order reached the target after its deadline.
	ErrDeadlinePassed = merry.Sentinel("order reached the target after its deadline")
	// ErrNoCapacity means that the target lacks the resources for the run.
	ErrNoCapacity = merry.Sentinel("target has no free capacity")
	// ErrUnhealthy means that the target refuses all work.
	ErrUnhealthy = merry.Sentinel("target refuses work")
	// ErrRestarted means that a target with another ID answered.
	ErrRestarted = merry.Sentinel("another incarnation of the target answered")
	// ErrRejected means that the target found the order invalid.
	ErrRejected = merry.Sentinel("target rejected the order")
)

// Incarnation is one execution of a target's process, from its start to its end. A
// target that restarts may keep its ID. Calls name the ID only, so the new incarnation
// carries out calls that were meant for the one before.
type Incarnation struct {
	ID       string
	Born     int64  // start of the process, Unix ms
	Addr     string // host and port
	Service  string // service that the target runs tasks of
	Capacity rsrc.Vector
	Labels   []string
	Domain   string // failure domain; empty if the target states none
	// ColdUntil is until when the target is slow since it has started, or was without work,
	// not long ago; 0 if it is not.
	ColdUntil boot.Time
	Leaving   bool  // the target takes no more tasks
	Seq       int64 // number of the heartbeat that says so, which rises; 0 if unknown
}

// Same reports whether i and o are the same incarnation.
func (i Incarnation) Same(o Incarnation) bool { return i.ID == o.ID && i.Born == o.Born }

// Order starts or stops one run of a task.
type Order struct {
	Task     string
	Run      int    // run number, which rises with each run of the task
	Spec     string // opaque description of the work; empty in an order to stop
	Deadline int64  // target's clock, ms, after which a start has no effect; 0 in an order to stop
	Fence    int64  // fencing token
}

// Renewal is a long poll: it renews the lease on all runs at a target and requests
// a listing of them.
type Renewal struct {
	Deadline int64 // new end of the lease, target's clock, ms; 0 does not renew it
	Fence    int64 // fencing token
	Seen     int64 // acknowledges all ends up to this sequence number
	Wait     int64 // longest time to wait for a run to end, ms
}

// Listing is a target's report on its runs.
type Listing struct {
	Clock   int64 // target's clock, ms
	Born    int64 // start of the process that answered, Unix ms; 0 if unknown
	Running []Running
	Ended   []Ended // ends that the poll did not acknowledge, in any order
	Partial bool    // more ends are left, which the next poll returns
}

// Running is a run in progress.
type Running struct {
	Task    string
	Run     int
	Percent int // progress
}

// Outcome is the way in which a run ended.
type Outcome int

// Outcomes of a run.
const (
	EndedOther  Outcome = iota // stopped, or its lease lapsed
	EndedDone                  // completed with success
	EndedFailed                // completed with a failure
)

// Ended is a run that has ended.
type Ended struct {
	Seq     int64 // position in the order of ends, from 1 in each incarnation
	Task    string
	Run     int
	Outcome Outcome
}
