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

// Reasons given by a home for a task without an answer.
const (
	NoGate          ledger.Reason = "nogate"   // no gate of the service is available
	GateUnreachable ledger.Reason = "noroute"  // no connection to the gate could be made
	GateLost        ledger.Reason = "gatelost" // the gate may have started the task, and its incarnation no longer exists
	JobStopped      ledger.Reason = "halted"   // another task of the job ended without an answer before this one started
)

const (
	maxGatesPerRound = 3                      // gates tried for one task before a pause
	maxBackoffs      = 5                      // pauses for one task
	initialBackoff   = 50 * time.Millisecond  // doubles with each pause; each is extended by a random part of up to 100 %
	waitMargin       = 250 * time.Millisecond // added to the expected wait at a gate for the longest wait there
	resolveInterval  = 20 * time.Millisecond  // between two requests for a result
)

// startMethod is the net/rpc method by which a gate starts a task or reports its
// result.
const startMethod = "Gate.Start"

// runTask runs task i at a gate and returns its result. It tries another gate only
// if the previous one certainly did not start the task. If no gate accepts tasks,
// as when many restart at once, it tries again after a pause.
func (j *job) runTask(i int) starts.Result {
	backoff := initialBackoff
	for range maxBackoffs {
		res := j.tryGates(i)
		if !isTransient(res) || !j.backOff(backoff) {
			return res
		}
		j.home.Stats.CountRetry(string(res.Reason))
		backoff *= 2
	}
	return j.tryGates(i)
}

// tryGates tries to run task i at up to maxGatesPerRound gates, without a pause. At
// the last of these the task may wait for a slot for any time.
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
			j.home.Stats.CountRetry(string(last.Reason))
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
		last = j.startOnNode(choice.Node, i, maxWait)
		if last.State != ledger.NotRun {
			return last
		}
		tried = append(tried, choice.Node.Ref)
	}
	return last
}

// isTransient reports whether a refusal is likely to end once a newer roster
// arrives or targets have announced themselves. A full queue is not transient in
// this sense, since another attempt would only add to the load.
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

// backOff waits for the given time plus a random part of it. It returns false if
// no task may start afterwards, because the deadline is too close or the job has
// been stopped.
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

// startOnNode starts task i at the gate of node and returns its result. The gate
// refuses the task if it would wait for a slot longer than maxWait.
func (j *job) startOnNode(node roster.Node, i int, maxWait time.Duration) starts.Result {
	args := j.startMessage(node, i, msgs.Begin)
	if maxWait < slots.UnlimitedWait {
		args.MaxWait = maxWait.Milliseconds()
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
	case errors.Is(err, peer.ErrDeadlinePassed):
		return starts.Result{State: ledger.Unknown, Reason: ledger.DeadlineReached}
	}
	return j.resolve(node, i)
}

// resolve returns the result of a task whose start is in doubt, because the message
// may or may not have arrived. It asks the same incarnation of the gate until that
// replies, no longer exists, or the job's context ends.
func (j *job) resolve(node roster.Node, i int) starts.Result {
	for {
		j.countExtraMessage("asked")
		reply := &msgs.StartReply{}
		err := j.sendStart(node, j.startMessage(node, i, msgs.Query), reply)
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
		case <-time.After(resolveInterval):
		}
	}
}

// cancelTask removes task i from the gate's queue if it still waits there.
func (j *job) cancelTask(node roster.Node, i int) {
	j.countExtraMessage("cancelled")
	_ = j.sendStart(node, j.startMessage(node, i, msgs.Cancel), &msgs.StartReply{})
}

// sendStart sends one message to the gate of node, without the network if that is
// the home's own node.
func (j *job) sendStart(node roster.Node, args *msgs.Start, reply *msgs.StartReply) error {
	if node.Ref == j.incarnation.ref {
		j.home.StartLocal(args, reply)
		return nil
	}
	return j.home.Pool.Call(j.ctx, node.Addr, startMethod, args, reply)
}

// recordReply passes the load in a gate's reply to the picker and returns the result
// of the task.
func (j *job) recordReply(node roster.Node, reply *msgs.StartReply) starts.Result {
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

// startMessage returns a message about task i for the gate of node.
func (j *job) startMessage(node roster.Node, i int, mode msgs.Mode) *msgs.Start {
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
