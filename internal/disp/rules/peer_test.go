package rules

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/coord"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/giveup"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/memb"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rotate"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/peer"
)

// Times of the calls between entries, as in package proc.
const (
	answerTimeout       = 400 * time.Millisecond // for the answer of another entry
	silentAnswerTimeout = 100 * time.Millisecond // the same if it has been silent for answerTimeout
	drainReplyWait      = 50 * time.Millisecond  // until an entry replies that tasks of a job have not ended
)

// checkInterval is the time between the load balancer's checks of an entry.
const checkInterval = time.Second

// errSilent is the error of a call to an entry that does not answer in time.
var errSilent = errors.New("no answer")

// entryAddr returns the address of entry i.
func entryAddr(i int) string { return strconv.Itoa(i) }

// checkEntries is the load balancer: it checks each entry once a second, if it reaches it
// and the entry neither is dead nor stands still.
func (c *cluster) checkEntries() {
	for {
		for i := range c.entries {
			p := c.entryAt(i)
			if p.ctx.Err() == nil && c.stalled(i) == nil && !c.isCut(callersPath, i) {
				p.rotation.Observe()
			}
		}
		select {
		case <-c.done:
			return
		case <-time.After(checkInterval):
		}
	}
}

// watchRotation does the periodic work of an incarnation of entry i until it ends.
func (c *cluster) watchRotation(i int, p *entryProcess) {
	guard := c.guard(i, p)
	for p.ctx.Err() == nil {
		c.awaitEntry(i)
		for to := range c.others(i) {
			go c.gossip(i, to, p)
		}
		guard.Check(p.ctx)
		p.rotation.Await(p.ctx, rotate.RepeatInterval)
	}
}

// guard returns the guard of an incarnation of entry i.
func (c *cluster) guard(i int, p *entryProcess) *rotate.Guard {
	return &rotate.Guard{
		Monitor:    &p.rotation,
		WarnOthers: func(ctx context.Context) int { return c.warnOthers(ctx, i, p) },
		EndJobs: func(age time.Duration, _ int) {
			c.awaitEntry(i)
			p.coord.AbandonOlder(age, cause.CutOff)
		},
	}
}

// warnOthers exchanges messages with the other entries that were in contact with entry i not
// long before its last check, and returns how many have not answered when ctx ends.
func (c *cluster) warnOthers(ctx context.Context, i int, p *entryProcess) int {
	recent := p.members.Recent(p.rotation.LastCheck())
	var unwarned atomic.Int32
	var calls sync.WaitGroup
	for to := range c.others(i) {
		if !slices.Contains(recent, memb.Member{Role: memb.Entry, Addr: entryAddr(to)}) {
			continue
		}
		calls.Go(func() {
			if err := c.exchange(ctx, i, to, p); err != nil && !errors.Is(err, peer.ErrRefused) {
				unwarned.Add(1)
			}
		})
	}
	calls.Wait()
	return int(unwarned.Load())
}

// gossip sends one periodic message and records whether it was answered.
func (c *cluster) gossip(i, to int, p *entryProcess) {
	ctx, cancel := context.WithTimeout(p.ctx, answerTimeout)
	defer cancel()
	err := c.exchange(ctx, i, to, p)
	p.asker.Record(entryAddr(to), err)
}

// exchange lets two entries tell each other whether they are out of rotation, and which domains
// are evacuated. An entry
// that can serve lets the caller serve too, with its orders.
func (c *cluster) exchange(ctx context.Context, i, to int, p *entryProcess) error {
	callerOut, calleeOut := p.rotation.Out(), false
	orders, serves := p.orders.Orders(), false
	err := c.callEntry(ctx, i, to, p, func(callee *entryProcess) {
		callee.hear(i, callerOut, c.entryNow(to))
		calleeOut = callee.rotation.Out()
		callee.applyOrders(orders)
		serves = callee.serves.Load()
		orders = callee.orders.Orders()
	})
	if err == nil {
		p.applyOrders(orders)
		if serves {
			p.serves.Store(true)
		}
		p.hear(to, calleeOut, c.entryNow(i))
	}
	return err
}

// hear records a message of entry from that was received at now, and whether it says that
// the entry is out of rotation.
func (p *entryProcess) hear(from int, out bool, now boot.Time) {
	p.members.RecordContact(memb.Member{Role: memb.Entry, Addr: entryAddr(from)}, now)
	p.asker.Heard(entryAddr(from))
	if out {
		p.others.Record(entryAddr(from))
	}
}

// callEntry makes a call from an incarnation of entry i to another entry, which serves it.
// The error is errSilent if there is no answer before ctx ends.
func (c *cluster) callEntry(ctx context.Context, i, to int, p *entryProcess, serve func(callee *entryProcess)) error {
	time.Sleep(oneWayDelay)
	callee := c.entryAt(to)
	if c.apart(i, to) || p.ctx.Err() != nil || !c.answers(ctx, to) {
		<-ctx.Done()
		return errSilent
	}
	if callee.ctx.Err() != nil {
		return peer.ErrRefused
	}
	serve(callee)
	time.Sleep(oneWayDelay)
	if c.apart(i, to) || ctx.Err() != nil || callee.ctx.Err() != nil {
		<-ctx.Done()
		return errSilent
	}
	return nil
}

// giveUpElsewhere makes other entries give up a job, and waits until they have: all of them
// if it was submitted repeatedly or this entry may have been cut off itself, and otherwise
// those that are out of rotation.
func (c *cluster) giveUpElsewhere(ctx context.Context, i int, p *entryProcess, job string, repeated bool) {
	out, all := p.others.Out(), repeated || p.rotation.Out()
	var addrs []string
	for to := range c.others(i) {
		if all || slices.Contains(out, entryAddr(to)) {
			addrs = append(addrs, entryAddr(to))
		}
	}
	p.asker.GiveUp(ctx, addrs, job)
}

// giveUpIfKnown makes the other entries give up a job that answer soon that they have it.
func (c *cluster) giveUpIfKnown(ctx context.Context, i int, p *entryProcess, job string) {
	var addrs []string
	for to := range c.others(i) {
		addrs = append(addrs, entryAddr(to))
	}
	p.asker.GiveUpIfKnown(ctx, addrs, job)
}

// prepareAsker sets what the asker of an incarnation of entry i calls.
func (c *cluster) prepareAsker(i int, p *entryProcess, links []*link.Link) {
	gates := make([]string, len(links))
	for g, l := range links {
		gates[g] = l.Addr
	}
	a := &p.asker
	a.Entry, a.Incarnation, a.Now = links[0].Entry, links[0].Incarnation, func() boot.Time { return c.entryNow(i) }
	a.Gates = func(string) ([]string, bool) { return gates, true }
	a.GateView = func(addr string) link.View { return links[slices.Index(gates, addr)].View(c.entryNow(i)) }
	a.CallGate = func(ctx context.Context, addr, method string, args, reply any) error {
		return c.call(ctx, i, p, slices.Index(gates, addr), method, args, reply)
	}
	a.Ask = func(ctx context.Context, addr, job string, _ bool) (giveup.Reply, error) {
		to, err := strconv.Atoi(addr)
		if err != nil {
			return giveup.Reply{}, err
		}
		return c.askToGiveUp(ctx, i, to, p, job)
	}
}

// askToGiveUp makes one call that makes another entry give up a job.
func (c *cluster) askToGiveUp(ctx context.Context, i, to int, p *entryProcess, job string) (giveup.Reply, error) {
	reply := &msgs.LookupReply{}
	err := c.callEntry(ctx, i, to, p, func(callee *entryProcess) {
		drainCtx, cancel := context.WithTimeout(callee.ctx, drainReplyWait)
		defer cancel()
		if callee.coord.GiveUp(drainCtx, job) {
			reply.State = "cancelled"
		}
		reply.OrphansFor = giveup.Orphans(callee.started, c.entryNow(to))
	})
	if err != nil {
		return giveup.Reply{}, err
	}
	return giveup.ReplyOf(reply), nil
}

// runsElsewhere reports whether an entry other than i that answers runs a job.
func (c *cluster) runsElsewhere(ctx context.Context, i int, p *entryProcess, job string) bool {
	var runs atomic.Bool
	var asked sync.WaitGroup
	for to := range c.others(i) {
		asked.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, p.timeoutFor(to))
			defer cancel()
			hasJob := false
			err := c.callEntry(ctx, i, to, p, func(callee *entryProcess) {
				s, ok := callee.coord.State(job)
				hasJob = ok && (s == coord.Waiting || s == coord.Working) || !ok && callee.coord.MayRun(job)
			})
			if err == nil && hasJob {
				runs.Store(true)
			}
		})
	}
	asked.Wait()
	return runs.Load()
}

// timeoutFor returns how long to wait for the answer of another entry.
func (p *entryProcess) timeoutFor(to int) time.Duration {
	if p.asker.SilentFor(entryAddr(to)) >= answerTimeout {
		return silentAnswerTimeout
	}
	return answerTimeout
}
