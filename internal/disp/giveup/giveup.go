package giveup

import (
	"context"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/gate"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// gatesCheckInterval is the longest time between two checks whether the gates of an entry are
// known. They are soon after this entry has started.
const gatesCheckInterval = 50 * time.Millisecond

// Proof is what shows that an entry has no task of a job that can still be running.
type Proof string

// Proofs, as written to logs and in the names of counters.
const (
	ByAnswer Proof = "answer" // the entry has answered that it has none
	ByGates  Proof = "gates"  // the gates have revoked the job
	ByTime   Proof = "time"   // its tasks have ended with its leases
)

// Names of counters. The name of a counter of proofs is ProvedPrefix followed by a Proof.
const (
	ProvedPrefix      = "givenup."
	RevocationCounter = "revocations.sent" // calls to gates that revoke jobs
)

// Counters returns the names of the counters.
func Counters() []string {
	return []string{ProvedPrefix + string(ByAnswer), ProvedPrefix + string(ByGates), ProvedPrefix + string(ByTime), RevocationCounter}
}

// Reply is the answer of an entry that was asked to give up a job.
type Reply struct {
	HasJob bool // it has the job, or tasks of it
	// OrphansFor is how long tasks of its former incarnation may still run; 0 if none may.
	OrphansFor time.Duration
}

// Asker makes other entries give up jobs for one entry. Set the exported fields before use. It
// is safe for concurrent use.
type Asker struct {
	Entry       string // name of this entry
	Incarnation uint64 // of this entry
	// Ask asks the entry at addr to give up a job. If fresh is set, it does so on a connection of
	// its own. The error is peer.ErrRefused if the entry refuses the connection.
	Ask func(ctx context.Context, addr, job string, fresh bool) (Reply, error)
	// Gates returns the addresses of the gates at which the entry at addr may have tasks. It
	// reports false if they are not known; nil means that they never are.
	Gates func(addr string) ([]string, bool)
	// CallGate calls a method of a gate.
	CallGate func(ctx context.Context, addr, method string, args, reply any) error
	// GateView returns what this entry's link to a gate shows; the zero View without a link.
	GateView func(addr string) link.View
	// Now returns the present time; nil means boot.Now.
	Now func() boot.Time
	// Event logs a change of state; nil discards it.
	Event func(event string, pairs ...any)
	// Trace logs a decision about a job; nil discards it.
	Trace func(event string, pairs ...any)
	// Count increments the named counter; nil discards it.
	Count func(name string)

	mu       sync.Mutex
	silences map[string]*silence // by the address of an entry that does not answer
	batches  map[string]*batch   // revocations that are about to be sent, by the address of the gate
	// lastBatches has when the latest call to a gate is or was made, by its address.
	lastBatches map[string]boot.Time
	// silentGates has what the calls to a gate have shown since it last answered, by its address.
	silentGates map[string]gateSilence
}

// GiveUp makes the entries at addrs give up a job. It returns when it is proved that none of
// them has a task of the job that can still be running, or when ctx ends.
func (a *Asker) GiveUp(ctx context.Context, addrs []string, job string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &revocation{ctx: ctx, job: job}
	var asked sync.WaitGroup
	for _, addr := range addrs {
		asked.Go(func() { a.giveUpAt(ctx, addr, r) })
	}
	asked.Wait()
}

// giveUpAt is GiveUp for one other entry. It asks the entry, and its gates as well from the
// first sign that the entry has no proof to give.
func (a *Asker) giveUpAt(ctx context.Context, addr string, r *revocation) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	gates, gatesKnown := a.gatesOf(addr)
	begin, proofs := a.now(), make(chan Proof, 3) // one from each source
	askGates := sync.OnceFunc(func() {
		if gatesKnown {
			a.askGates(gates, r, proofs)
		}
	})
	if a.unanswered(addr) {
		askGates()
	}
	go a.askEntry(ctx, addr, r.job, askGates, proofs)
	if !gatesKnown {
		go a.awaitGates(ctx, addr, r, begin, proofs)
	}
	select {
	case <-ctx.Done():
	case p := <-proofs:
		a.recordProof(addr, r.job, p, a.now().Sub(begin))
	}
}

// awaitGates asks the gates of the entry at addr once they are known. Until then it sends a proof
// if the tasks of the entry count as ended since it has been silent for so long.
func (a *Asker) awaitGates(ctx context.Context, addr string, r *revocation, begin boot.Time, proofs chan<- Proof) {
	for ctx.Err() == nil {
		if gates, ok := a.gatesOf(addr); ok {
			a.askGates(gates, r, proofs)
			return
		}
		left := a.untilEndedBySilence(addr, begin)
		if left <= 0 {
			proofs <- ByTime
			return
		}
		boot.Sleep(ctx, min(left, gatesCheckInterval))
	}
}

// gatesOf returns the gates at which the entry at addr may have tasks, and whether they are
// known.
func (a *Asker) gatesOf(addr string) ([]string, bool) {
	if a.Gates == nil {
		return nil, false
	}
	gates, ok := a.Gates(addr)
	return gates, ok && len(gates) > 0
}

// askEntry asks an entry until it proves that it has no task of the job, and sends the proof.
// It calls askGates whenever the entry gives a sign that it can't prove that soon.
func (a *Asker) askEntry(ctx context.Context, addr, job string, askGates func(), proofs chan<- Proof) {
	wait := a.firstWait(addr)
	for ctx.Err() == nil {
		began := a.now()
		reply, err := a.ask(ctx, addr, job, wait, askGates)
		switch {
		case ctx.Err() != nil:
			return
		case isRefused(err):
			if left := a.refusedSince(addr).Add(gate.MaxOrphanTime).Sub(a.now()); left > 0 {
				askGates()
				boot.Sleep(ctx, left)
			}
			proofs <- ByTime
			return
		case err != nil:
			boot.Sleep(ctx, askRetryTime)
		case reply.HasJob:
			wait = max(wait, 2*a.now().Sub(began))
			boot.Sleep(ctx, askRetryTime)
		case reply.OrphansFor > 0:
			askGates()
			boot.Sleep(ctx, reply.OrphansFor)
			proofs <- ByTime
			return
		default:
			proofs <- ByAnswer
			return
		}
	}
}

// recordProof counts and logs the proof that an entry has no task of a job.
func (a *Asker) recordProof(addr, job string, p Proof, took time.Duration) {
	if a.Count != nil {
		a.Count(ProvedPrefix + string(p))
	}
	if a.Trace != nil && p != ByAnswer {
		a.Trace("job_given_up", "job", job, "entry", addr, "proof", string(p), "took", took)
	}
}

// Orphans returns how long tasks of the former incarnation of a process may run at now that has
// been started at started, in the unit of msgs.LookupReply; 0 if none may. A start at 0 means
// that there is no former incarnation.
func Orphans(started, now boot.Time) int64 {
	if started == 0 {
		return 0
	}
	left := started.Add(gate.MaxOrphanTime).Sub(now)
	return max(0, (left + time.Millisecond - 1).Milliseconds())
}

// ReplyOf returns the Reply that a message contains.
func ReplyOf(m *msgs.LookupReply) Reply {
	return Reply{HasJob: m.State != "" || m.Timestamp != 0, OrphansFor: time.Duration(m.OrphansFor) * time.Millisecond}
}

func (a *Asker) event(event string, pairs ...any) {
	if a.Event != nil {
		a.Event(event, pairs...)
	}
}

func (a *Asker) now() boot.Time {
	if a.Now != nil {
		return a.Now()
	}
	return boot.Now()
}
