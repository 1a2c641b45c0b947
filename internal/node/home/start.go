package home

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/ledger"
	"github.com/gypsumlanding/gypsumlanding/internal/core/roster"
	"github.com/gypsumlanding/gypsumlanding/internal/core/slots"
	"github.com/gypsumlanding/gypsumlanding/internal/core/starts"
	"github.com/gypsumlanding/gypsumlanding/internal/node/gate"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/peer"
)

// Reasons of the home about gates.
const (
	NoGate          ledger.Reason = "nogate"   // no gate serves the service
	GateUnreachable ledger.Reason = "noroute"  // the gate could not be reached
	GateLost        ledger.Reason = "gatelost" // the gate that may have started the task is gone
	JobStopped      ledger.Reason = "halted"   // the job failed before the task was started
)

const (
	maxPlaces  = 3                      // gates tried for one task in one round
	maxRounds  = 5                      // pauses made for one task
	firstPause = 50 * time.Millisecond  // doubled each time, and spread by chance
	waitMargin = 250 * time.Millisecond // a task may wait so much longer than believed
	askPause   = 20 * time.Millisecond  // between questions for an outcome
)

// method is the net/rpc method of a gate.
const method = "Gate.Start"

// place starts task i at a gate, and at another only if the first has proved
// that it did not start it. If no gate is open just now, as when many restart,
// it tries again after a pause.
func (j *job) place(i int) starts.Result {
	pause := firstPause
	for range maxRounds {
		res := j.placeOnce(i)
		if !passing(res) || !j.rest(pause) {
			return res
		}
		j.home.Stats.CountRetry(string(res.Reason))
		pause *= 2
	}
	return j.placeOnce(i)
}

// placeOnce tries up to maxPlaces gates.
func (j *job) placeOnce(i int) starts.Result {
	var tried []roster.Ref
	last := starts.Result{State: ledger.NotRun, Reason: NoGate}
	for len(tried) < maxPlaces {
		if j.halted() {
			return starts.Result{State: ledger.NotRun, Reason: JobStopped}
		}
		if !time.Now().Before(j.deadline) {
			return starts.Result{State: ledger.NotRun, Reason: slots.TooLate}
		}
		if len(tried) > 0 {
			j.home.Stats.CountRetry(string(last.Reason))
			j.waste("bounced")
		}
		choice, ok := j.home.picker.Pick(j.args.Service, tried, time.Now())
		if !ok {
			return last
		}
		wait := choice.ExpectedWait + waitMargin
		if len(tried) == maxPlaces-1 {
			wait = slots.UnlimitedWait
		}
		last = j.start(choice.Node, i, wait)
		if last.State != ledger.NotRun {
			return last
		}
		tried = append(tried, choice.Node.Ref)
	}
	return last
}

// passing tells whether a refusal is likely to pass once the roster is newer or
// targets have announced themselves. A full queue is none: trying again there
// would only add to the load.
func passing(res starts.Result) bool {
	if res.State != ledger.NotRun {
		return false
	}
	switch res.Reason {
	case NoGate, GateUnreachable, gate.OtherIncarnation, slots.Leaving, slots.NoTarget:
		return true
	}
	return false
}

// rest waits for the given time, more or less, and reports whether the job may
// still start tasks then.
func (j *job) rest(pause time.Duration) bool {
	pause += rand.N(pause)
	if time.Until(j.deadline) < pause {
		return false
	}
	select {
	case <-time.After(pause):
		return true
	case <-j.stop:
		return false
	}
}

// start starts task i at node, if it waits there no longer than the given time,
// and returns its outcome.
func (j *job) start(node roster.Node, i int, wait time.Duration) starts.Result {
	args := j.message(node, i, msgs.Begin)
	if wait < slots.UnlimitedWait {
		args.MaxWait = wait.Milliseconds()
	}
	reply := &msgs.StartReply{}
	done := make(chan error, 1)
	go func() { done <- j.send(node, args, reply) }()
	var err error
	select {
	case err = <-done:
	case <-j.stop:
		go j.cancel(node, i)
		err = <-done
	}
	if err == nil {
		return j.note(node, reply)
	}
	j.home.picker.Unavailable(node.Ref, time.Now())
	switch {
	case errors.Is(err, peer.ErrNotSent):
		return starts.Result{State: ledger.NotRun, Reason: GateUnreachable}
	case errors.Is(err, peer.ErrDeadlinePassed):
		return starts.Result{State: ledger.Unknown, Reason: ledger.DeadlineReached}
	}
	return j.ask(node, i)
}

// ask learns the outcome of a task whose start may or may not have arrived.
// It asks the same incarnation of the gate until that answers, is gone, or the
// deadline comes.
func (j *job) ask(node roster.Node, i int) starts.Result {
	for {
		j.waste("asked")
		reply := &msgs.StartReply{}
		err := j.send(node, j.message(node, i, msgs.Query), reply)
		switch {
		case err == nil:
			return resultOf(reply)
		case errors.Is(err, peer.ErrRefused):
			return starts.Result{State: ledger.Unknown, Reason: GateLost}
		case errors.Is(err, peer.ErrDeadlinePassed):
			return starts.Result{State: ledger.Unknown, Reason: ledger.DeadlineReached}
		}
		select {
		case <-j.ctx.Done():
			return starts.Result{State: ledger.Unknown, Reason: ledger.DeadlineReached}
		case <-time.After(askPause):
		}
	}
}

// cancel takes task i out of the gate's queue if it still waits there.
func (j *job) cancel(node roster.Node, i int) {
	j.waste("cancelled")
	_ = j.send(node, j.message(node, i, msgs.Cancel), &msgs.StartReply{})
}

// send sends one message to a gate, which may be the home's own.
func (j *job) send(node roster.Node, args *msgs.Start, reply *msgs.StartReply) error {
	if node.Ref == j.life.ref {
		j.home.StartLocal(args, reply)
		return nil
	}
	return j.home.Pool.Call(j.ctx, node.Addr, method, args, reply)
}

// note takes the load that came with a reply and returns the task's result.
func (j *job) note(node roster.Node, reply *msgs.StartReply) starts.Result {
	now := time.Now()
	load := slots.Load{
		Slots: reply.Slots, Running: reply.Running, Queued: reply.Queued,
		Mean: time.Duration(reply.MeanRunTime) * time.Microsecond, Leaving: reply.Leaving,
	}
	res := resultOf(reply)
	switch {
	case res.Reason == slots.Bounced:
		j.home.picker.Bounced(node.Ref, load, now)
	case res.State == ledger.NotRun:
		j.home.picker.Unavailable(node.Ref, now)
	default:
		j.home.picker.Finished(node.Ref, load, now)
	}
	return res
}

func resultOf(reply *msgs.StartReply) starts.Result {
	return starts.Result{
		State: ledger.State(reply.State), Reason: ledger.Reason(reply.Reason), Answer: reply.Answer,
	}
}

func (j *job) message(node roster.Node, i int, mode msgs.Mode) *msgs.Start {
	return &msgs.Start{
		Mode:            mode,
		Key:             j.args.Key,
		Task:            i,
		GateIncarnation: node.Inc,
		Deadline:        j.args.Deadline,
		TimeLeft:        time.Until(j.deadline).Milliseconds(),
		MaxWait:         -1,
		Service:         j.args.Service,
		Entry:           j.args.Entry,
		Body:            j.args.Tasks[i],
	}
}
