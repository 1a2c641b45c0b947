package giveup

import (
	"context"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/gate"
)

const (
	askRetryTime = 10 * time.Millisecond // before an entry is asked again
	// gatesAnswerTime is how long all gates of an entry may take to answer when many jobs wait.
	gatesAnswerTime = 500 * time.Millisecond
)

// effort makes other entries give up one job. It needs one goroutine, whatever their number: hundreds
// of jobs wait after all processes were lost.
type effort struct {
	asker      *Asker
	ctx        context.Context // ends with the effort
	begin      boot.Time
	revocation *revocation
	parts      []*part

	mu     sync.Mutex
	left   int // parts without a proof
	proofs map[Proof]int
	done   chan struct{} // closed when left is 0
}

// part is the part of an effort for one entry.
type part struct {
	effort *effort
	addr   string

	// Guarded by effort.mu:
	question    *question // the newest one
	proved      bool
	gatesWanted bool // the entry gave a sign that it has no proof to give soon
	gatesAsked  bool
}

// giveUp is GiveUp for entries of which further ones have proved that they have no task of the job by
// their listings.
func (a *Asker) giveUp(ctx context.Context, addrs []string, job string, unlisted int) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e := &effort{
		asker: a, ctx: ctx, begin: a.now(), revocation: &revocation{ctx: ctx, job: job},
		left: len(addrs), proofs: map[Proof]int{ByListing: unlisted}, done: make(chan struct{}),
	}
	if len(addrs) == 0 {
		close(e.done)
	}
	for _, addr := range addrs {
		e.parts = append(e.parts, &part{effort: e, addr: addr})
	}
	for _, p := range e.parts {
		p.ask()
		if a.unanswered(p.addr) {
			p.askGates()
		}
	}
	e.awaitGates()
	select {
	case <-e.done:
	case <-ctx.Done():
	}
	e.end()
}

// end withdraws the questions without an answer, and counts and logs the proofs: in one line, unless
// the entries have answered or listed their jobs.
func (e *effort) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.asker
	for _, p := range e.parts {
		a.inquiryTo(p.addr).take(p.question)
	}
	for p, n := range e.proofs {
		for range n {
			a.count(ProvedPrefix + string(p))
		}
	}
	byGates, byTime := e.proofs[ByGates], e.proofs[ByTime]
	if a.Trace != nil && byGates+byTime > 0 {
		a.Trace("job_given_up", "job", e.revocation.job, "gates", byGates, "time", byTime, "took", a.now().Sub(e.begin))
	}
}

// awaitGates asks the gates that were not known when they were wanted, once they are. Until then the
// tasks of an entry count as ended when it has been silent for so long. It does not wait for that.
func (e *effort) awaitGates() {
	wait := time.Duration(0)
	for _, p := range e.parts {
		if left, known := p.checkGates(); !known && (wait == 0 || left < wait) {
			wait = min(left, gatesCheckInterval)
		}
	}
	if wait > 0 && e.ctx.Err() == nil {
		time.AfterFunc(wait, e.awaitGates)
	}
}

// checkGates is awaitGates for one entry. It reports whether the gates are known or not needed any
// more, and otherwise how long the entry may still be silent.
func (p *part) checkGates() (left time.Duration, known bool) {
	a := p.effort.asker
	p.effort.mu.Lock()
	proved, wanted := p.proved, p.gatesWanted
	p.effort.mu.Unlock()
	if proved {
		return 0, true
	}
	if _, known := a.gatesOf(p.addr); known {
		if wanted {
			p.askGates()
		}
		return 0, true
	}
	if left = a.untilEndedBySilence(p.addr, p.effort.begin); left > 0 {
		return left, false
	}
	p.prove(ByTime)
	return 0, true
}

// ask asks the entry, unless the effort has ended or it has given a proof.
func (p *part) ask() {
	p.effort.mu.Lock()
	defer p.effort.mu.Unlock()
	if p.proved || p.effort.ctx.Err() != nil {
		return
	}
	p.question = newQuestion(toGiveUp, p.effort.revocation.job, p.askGates, p.handle)
	p.effort.asker.enqueue(p.addr, p.question)
}

// handle processes the answer of the entry. Whatever it says, it is asked until there is a proof.
func (p *part) handle(got answer) {
	a := p.effort.asker
	switch {
	case isRefused(got.err):
		p.awaitEnd(a.refusedSince(p.addr).Add(gate.MaxOrphanTime).Sub(a.now()))
	case got.hasJob:
		time.AfterFunc(askRetryTime, p.ask)
	case got.orphansFor > 0:
		p.awaitEnd(got.orphansFor)
	default:
		p.prove(ByAnswer)
	}
}

// awaitEnd has a proof in the given time, when the tasks of the entry have ended with its leases. It
// asks the gates if these can tell sooner.
func (p *part) awaitEnd(left time.Duration) {
	if left <= 0 {
		p.prove(ByTime)
		return
	}
	if left > gatesAnswerTime {
		p.askGates()
	}
	time.AfterFunc(left, func() { p.prove(ByTime) })
}

// askGates asks the gates of the entry as well, once, as soon as they are known.
func (p *part) askGates() {
	a := p.effort.asker
	gates, known := a.gatesOf(p.addr)
	p.effort.mu.Lock()
	p.gatesWanted = true
	ask := known && !p.gatesAsked && !p.proved
	p.gatesAsked = p.gatesAsked || ask
	p.effort.mu.Unlock()
	if ask {
		a.askGates(gates, p.effort.revocation, func() { p.prove(ByGates) })
	}
}

// prove records a proof that the entry has no task of the job, unless there is one.
func (p *part) prove(by Proof) {
	e := p.effort
	e.mu.Lock()
	defer e.mu.Unlock()
	if p.proved || e.ctx.Err() != nil {
		return
	}
	p.proved = true
	e.proofs[by]++
	if e.left--; e.left == 0 {
		close(e.done)
	}
}
