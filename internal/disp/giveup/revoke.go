package giveup

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/gate"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

const (
	// RevokeMethod is the method of a gate that revokes jobs.
	RevokeMethod = "Gate.Revoke"

	// reuseTime is how long the answer of a gate that has revoked a job holds for further entries. It
	// is well below the time for which the gate refuses their tasks.
	reuseTime     = 2 * time.Second
	batchTime     = 2 * time.Millisecond   // for which a revocation waits for others to the same gate
	batchInterval = 50 * time.Millisecond  // between two calls to a gate, whatever the number of jobs
	revokeTimeout = 200 * time.Millisecond // of one call to a gate
	// revokeInterval is the pause before a gate is asked again, which has tasks that are being
	// stopped or has not answered.
	revokeInterval = 15 * time.Millisecond
)

// revocation is the order to gates to revoke one job. All entries that may have the job share it,
// so that a gate is asked once whatever their number.
type revocation struct {
	ctx context.Context // ends when the job need not be revoked any more
	job string

	mu    sync.Mutex
	gates map[string]*gateOrder // by the address of a gate that was asked
}

// gateOrder is what a revocation knows of one gate.
type gateOrder struct {
	end  boot.Time // of the tasks there, since the gate is silent; 0 while it answers
	done bool      // no task of another entry may run there
	// reusableUntil is until when done holds for a further entry too: the gate has answered, and
	// refuses the tasks of all others. Leases that have ended prove nothing about later tasks.
	reusableUntil boot.Time
	waits         []*gateWait // that wait for done
}

// gateWait is the wait for all gates of an entry.
type gateWait struct {
	left   int // gates that are not done
	proofs chan<- Proof
}

// batch is a set of revocations that are sent to a gate in one call.
type batch struct{ revocations []*revocation }

// jobs returns the jobs that still have to be revoked.
func (b *batch) jobs() []string {
	var jobs []string
	for _, r := range b.revocations {
		if r.ctx.Err() == nil && !slices.Contains(jobs, r.job) {
			jobs = append(jobs, r.job)
		}
	}
	return jobs
}

// askGates makes the gates revoke a job, and sends the proof when all of them have. It does not
// wait for that.
func (a *Asker) askGates(gates []string, r *revocation, proofs chan<- Proof) {
	for _, addr := range r.await(gates, &gateWait{proofs: proofs}, a.now()) {
		a.revokeAt(addr, r)
	}
}

// await makes w wait for the gates, and returns those that have to be asked: not before, or without
// an answer that still holds at now.
func (r *revocation) await(gates []string, w *gateWait, now boot.Time) (unasked []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gates == nil {
		r.gates = make(map[string]*gateOrder, len(gates))
	}
	for _, addr := range gates {
		o := r.gates[addr]
		if o == nil || o.done && now >= o.reusableUntil {
			o = &gateOrder{}
			r.gates[addr] = o
			unasked = append(unasked, addr)
		}
		if !o.done {
			o.waits = append(o.waits, w)
			w.left++
		}
	}
	if w.left == 0 {
		w.proofs <- ByGates
	}
	return unasked
}

// finish records that no task of another entry may run at a gate. The caller holds mu.
func (o *gateOrder) finish() {
	o.done = true
	for _, w := range o.waits {
		w.left--
		if w.left == 0 {
			w.proofs <- ByGates
		}
	}
}

// revokeAt makes a gate revoke a job once more, unless the tasks there have ended by the leases or
// the job need not be revoked any more.
func (a *Asker) revokeAt(addr string, r *revocation) {
	switch {
	case r.ctx.Err() != nil:
	case a.hasEnded(addr):
		r.mu.Lock()
		defer r.mu.Unlock()
		r.gates[addr].finish()
	default:
		a.join(addr, r)
	}
}

// handleReply processes the outcome of a call that was to revoke the job of r at a gate, and
// reports whether the gate has to be asked again. What runs at a gate that does not answer ends by
// the leases.
func (a *Asker) handleReply(addr string, r *revocation, mayRun bool, err error) (again bool) {
	silentSince := a.silentSince(addr)
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.gates[addr]
	switch {
	case err == nil && !mayRun:
		o.reusableUntil = a.now().Add(reuseTime)
		o.finish()
		return false
	case err == nil:
		o.end = 0
	case o.end == 0:
		o.end = silentSince.Add(gate.MaxOrphanTime)
	case a.now() >= o.end:
		o.finish()
		return false
	}
	return true
}

// join adds a revocation to the next call to a gate. Jobs that are revoked at the same moment
// share a call.
func (a *Asker) join(addr string, r *revocation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.batches[addr]
	if b == nil {
		b = &batch{}
		if a.batches == nil {
			a.batches = map[string]*batch{}
		}
		a.batches[addr] = b
		time.AfterFunc(a.untilNextBatch(addr), func() { a.send(addr, b) })
	}
	b.revocations = append(b.revocations, r)
}

// untilNextBatch returns when the next call to a gate is made, and notes it. The caller holds mu.
func (a *Asker) untilNextBatch(addr string) time.Duration {
	now := a.now()
	at := max(now.Add(batchTime), a.lastBatches[addr].Add(batchInterval))
	if a.lastBatches == nil {
		a.lastBatches = map[string]boot.Time{}
	}
	a.lastBatches[addr] = at
	return at.Sub(now)
}

// send makes the call of a batch, and has the gate asked again for the jobs of which tasks may
// still run there.
func (a *Asker) send(addr string, b *batch) {
	a.mu.Lock()
	delete(a.batches, addr)
	a.mu.Unlock()
	jobs := b.jobs()
	if len(jobs) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	running, err := a.callGate(ctx, addr, jobs)
	a.recordGate(addr, err)
	var unfinished []*revocation
	for _, r := range b.revocations {
		if r.ctx.Err() == nil && a.handleReply(addr, r, slices.Contains(running, r.job), err) {
			unfinished = append(unfinished, r)
		}
	}
	if len(unfinished) == 0 {
		return
	}
	time.AfterFunc(revokeInterval, func() {
		for _, r := range unfinished {
			a.revokeAt(addr, r)
		}
	})
}

// RevokeAt revokes a job at the gate at addr for this entry, in place of an older revocation for another.
// It returns when no task of another entry may run there, or when ctx ends, and reports whether the gate
// takes the tasks of this entry now. One that has not answered for gate.MaxOrphanTime does not; what runs
// there counts as ended by the leases.
func (a *Asker) RevokeAt(ctx context.Context, addr, job string) bool {
	var end boot.Time // of the tasks there, since the gate is silent; 0 while it answers
	for ctx.Err() == nil && !a.hasEnded(addr) {
		running, err := a.callGateOnce(ctx, addr, job)
		switch {
		case err == nil && len(running) == 0:
			return true
		case err == nil:
			end = 0
		case end == 0:
			end = a.silentSince(addr).Add(gate.MaxOrphanTime)
		case a.now() >= end:
			return false
		}
		boot.Sleep(ctx, revokeInterval)
	}
	return false
}

// callGateOnce is callGate for one job, with an end to the call, and records the outcome unless ctx has
// ended.
func (a *Asker) callGateOnce(ctx context.Context, addr, job string) ([]string, error) {
	call, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	running, err := a.callGate(call, addr, []string{job})
	if ctx.Err() == nil {
		a.recordGate(addr, err)
	}
	return running, err
}

// callGate revokes jobs at a gate, and returns those of which a task may still run. If the gate
// finds that the order may be old, it is repeated with the timestamp of the gate.
func (a *Asker) callGate(ctx context.Context, addr string, jobs []string) ([]string, error) {
	load := a.gateView(addr).Load
	sender := msgs.Sender{Entry: a.Entry, Incarnation: a.Incarnation, GateIncarnation: load.Incarnation, EchoedTimestamp: load.Timestamp}
	for {
		if a.Count != nil {
			a.Count(RevocationCounter)
		}
		reply := &msgs.RevokeReply{}
		if err := a.CallGate(ctx, addr, RevokeMethod, &msgs.Revoke{Sender: sender, Jobs: jobs}, reply); err != nil {
			return nil, err
		}
		if reply.Applied {
			return reply.Running, nil
		}
		sender.GateIncarnation, sender.EchoedTimestamp = reply.Incarnation, reply.Timestamp
	}
}

// gateView returns what is known about a gate.
func (a *Asker) gateView(addr string) link.View {
	if a.GateView == nil {
		return link.View{}
	}
	return a.GateView(addr)
}
