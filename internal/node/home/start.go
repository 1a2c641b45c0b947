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
	maxGatesPerRound = 3                      // gates tried for one task in one round
	maxBackoffs      = 5                      // pauses made for one task
	initialBackoff   = 50 * time.Millisecond  // doubled each time, and spread by chance
	waitMargin       = 250 * time.Millisecond // a task may wait so much longer than believed
	resolveInterval  = 20 * time.Millisecond  // between questions for an outcome
)

// method is the net/rpc method of a gate.
const startMethod = "Gate.Start"

// place starts task i at a gate, and at another only if the first has proved
// that it did not start it. If no gate is open just now, as when many restart,
// it tries again after a pause.
func (j *job) runTask(i int) starts.Result {
	backoff := initialBackoff
	for range maxBackoffs {
		res := j.tryGates(i)
		if !isTransient(res) || !j.backOff(backoff) {
			return res
		}
		j.home.Stats.Retried(string(res.Reason))
		backoff *= 2
	}
	return j.tryGates(i)
}

// placeOnce tries up to maxPlaces gates.
func (j *job) tryGates(i int) starts.Result {
	var tried []roster.Ref
	last := starts.Result{State: ledger.NotRun, Reason: NoGate}
	for len(tried) < maxGatesPerRound {
		if j.isStopped() {
			return starts.Result{State: ledger.NotRun, Reason: JobStopped}
		}
		if !time.Now().Before(j.deadline) {
			return starts.Result{State: ledger.NotRun, Reason: slots.TooLate}
		}
		if len(tried) > 0 {
			j.home.Stats.Retried(string(last.Reason))
			j.countExtraMessage("bounced")
		}
		choice, ok := j.home.picker.Pick(j.args.Service, tried, time.Now())
		if !ok {
			return last
		}
		maxWait := choice.ExpectedWait + waitMargin
		if len(tried) == maxGatesPerRound-1 {
			maxWait = slots.UnlimitedWait
		}
		last = j.startAt(choice.Node, i, maxWait)
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
func isTransient(res starts.Result) bool {
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
func (j *job) backOff(backoff time.Duration) bool {
	backoff += rand.N(backoff)
	if time.Until(j.deadline) < backoff {
		return false
	}
	select {
	case <-time.After(backoff):
		return true
	case <-j.stopped:
		return false
	}
}

// start starts task i at node, if it waits there no longer than the given time,
// and returns its outcome.
func (j *job) startAt(node roster.Node, i int, maxWait time.Duration) starts.Result {
	args := j.startMessage(node, i, msgs.Begin)
	if maxWait < slots.UnlimitedWait {
		args.Wait = maxWait.Milliseconds()
	}
	reply := &msgs.StartReply{}
	done := make(chan error, 1)
	go func() { done <- j.sendStart(node, args, reply) }()
	var err error
	select {
	case err = <-done:
	case <-j.stopped:
		go j.cancelTask(node, i)
		err = <-done
	}
	if err == nil {
		return j.recordReply(node, reply)
	}
	j.home.picker.Unavailable(node.Ref, time.Now())
	switch {
	case errors.Is(err, peer.ErrNotSent):
		return starts.Result{State: ledger.NotRun, Reason: GateUnreachable}
	case errors.Is(err, peer.ErrLate):
		return starts.Result{State: ledger.Unknown, Reason: ledger.DeadlineReached}
	}
	return j.resolve(node, i)
}

// ask learns the outcome of a task whose start may or may not have arrived.
// It asks the same incarnation of the gate until that answers, is gone, or the
// deadline comes.
func (j *job) resolve(node roster.Node, i int) starts.Result {
	for {
		j.countExtraMessage("asked")
		reply := &msgs.StartReply{}
		err := j.sendStart(node, j.startMessage(node, i, msgs.Ask), reply)
		switch {
		case err == nil:
			return resultOf(reply)
		case errors.Is(err, peer.ErrRefused):
			return starts.Result{State: ledger.Unknown, Reason: GateLost}
		case errors.Is(err, peer.ErrLate):
			return starts.Result{State: ledger.Unknown, Reason: ledger.DeadlineReached}
		}
		select {
		case <-j.ctx.Done():
			return starts.Result{State: ledger.Unknown, Reason: ledger.DeadlineReached}
		case <-time.After(resolveInterval):
		}
	}
}

// cancel takes task i out of the gate's queue if it still waits there.
func (j *job) cancelTask(node roster.Node, i int) {
	j.countExtraMessage("cancelled")
	_ = j.sendStart(node, j.startMessage(node, i, msgs.Cancel), &msgs.StartReply{})
}

// send sends one message to a gate, which may be the home's own.
func (j *job) sendStart(node roster.Node, args *msgs.Start, reply *msgs.StartReply) error {
	if node.Ref == j.incarnation.ref {
		j.home.StartLocal(args, reply)
		return nil
	}
	return j.home.Pool.Call(j.ctx, node.Addr, startMethod, args, reply)
}

// note takes the load that came with a reply and returns the task's result.
func (j *job) recordReply(node roster.Node, reply *msgs.StartReply) starts.Result {
	now := time.Now()
	load := slots.Load{
		Slots: reply.Slots, Running: reply.Running, Queued: reply.Queued,
		Mean: time.Duration(reply.Mean) * time.Microsecond, Leaving: reply.Leaving,
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

func (j *job) startMessage(node roster.Node, i int, mode msgs.Mode) *msgs.Start {
	return &msgs.Start{
		Mode:     mode,
		Key:      j.args.Key,
		Task:     i,
		ToInc:    node.Inc,
		Deadline: j.args.Deadline,
		Left:     time.Until(j.deadline).Milliseconds(),
		Wait:     -1,
		Service:  j.args.Service,
		Entry:    j.args.Entry,
		Body:     j.args.Tasks[i],
	}
}
