package targ

import (
	"github.com/ansel1/merry/v2"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
)

// Errors of the target's calls. All but ErrUnanswered mean that the call did
// nothing.
var (
	// ErrUnanswered means that the call may have been carried out, or may be later.
	ErrUnanswered = merry.Sentinel("target did not answer")
	// ErrUnreachable means that the target refused the connection.
	ErrUnreachable = merry.Sentinel("target refused the connection")
	// ErrFenced means that the target has seen a higher fencing token.
	ErrFenced = merry.Sentinel("target has seen a higher fencing token")
	// ErrOldRun means that the target has seen this run or a later one end.
	ErrStaleRun = merry.Sentinel("target has seen a later run of the task")
	// ErrLate means that the order's deadline had passed.
	ErrDeadlinePassed = merry.Sentinel("order reached the target after its deadline")
	// ErrNoRoom means that the target has no room.
	ErrNoCapacity = merry.Sentinel("target has no room")
	// ErrUnhealthy means that the target refuses all work.
	ErrUnhealthy = merry.Sentinel("target refuses work")
	// ErrReborn means that another life of the target answered.
	ErrRestarted = merry.Sentinel("another life of the target answered")
	// ErrRejected means that the target found the order invalid.
	ErrRejected = merry.Sentinel("target rejected the order")
)

// Life is one life of a target, from its start to its end.
type Incarnation struct {
	ID       string
	Born     int64 // Unix ms
	Addr     string
	Service  string
	Capacity rsrc.Vector
	Labels   []string
	Leaving  bool
}

// Same tells whether l and o are the same life.
func (l Incarnation) Same(o Incarnation) bool { return l.ID == o.ID && l.Born == o.Born }

// Order starts or stops one run of a task.
type Order struct {
	Task     string
	Run      int
	Spec     string
	Deadline int64 // target's clock, ms
	Fence    int64
}

// Renewal renews the lease on all that runs at a target and asks for its lists.
type Renewal struct {
	Deadline int64 // target's clock, ms; 0 renews nothing
	Fence    int64
	Seen     int64 // ends up to this number need not be listed again
	Wait     int64 // longest wait for an end, ms
}

// Listing is what a target says of its runs.
type Listing struct {
	Clock   int64 // target's clock, ms
	Running []Running
	Ended   []Ended
}

// Running is a run in progress.
type Running struct {
	Task    string
	Run     int
	Percent int
}

// How tells how a run ended.
type Outcome int

// Ends of a run.
const (
	EndedOther Outcome = iota // stopped, or its lease lapsed
	EndedDone
	EndedFailed
)

// Ended is a run that has ended.
type Ended struct {
	Seq     int64 // in the order of ends, from 1 in each life
	Task    string
	Run     int
	Outcome Outcome
}
