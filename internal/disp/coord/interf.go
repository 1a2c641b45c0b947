package coord

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/interf"
)

// ApartCounter counts the tasks that were sent to another gate because of interference.
const ApartCounter = "placed.apart"

const (
	// mergeInterval is the time between two merges of what the gates of a service report. It
	// bounds their cost, and is short against the seconds in which interference changes.
	mergeInterval = 250 * time.Millisecond
	// wantKindsTime is for how long links ask gates for their runs by kind after a merge with
	// pairs in force.
	wantKindsTime = 2 * time.Second
)

// interference is what the gates of all services have reported of kinds that slow each other
// down. The zero value has no reports.
type interference struct {
	known     atomic.Bool // a service is active
	mu        sync.Mutex
	byService map[string]*serviceInterference // those that have been active, or asked about while one was
}

// serviceInterference is what the gates of one service have reported.
type serviceInterference struct {
	merger   interf.Merger
	mergedAt boot.Time
	active   bool // there are pairs in force or reported
}

// InterferingPair is a pair in force at the gates of a service.
type InterferingPair struct {
	Service string
	interf.Pair
}

// weighInterference sets what tasks of a kind and the runs at the candidates do to each other.
// It reports whether there are any pairs in force. It does nothing unless a gate has reported
// one.
func (c *Coordinator) weighInterference(cands *candidates, service, kind string) bool {
	if !cands.interference && !c.interference.known.Load() {
		return false
	}
	table := c.mergeInterference(service, c.now())
	cands.weigh(table[kind])
	return len(table) > 0
}

// weigh sets what tasks of a kind with the given effects and the runs at the candidates do to each
// other.
func (cands *candidates) weigh(effects []interf.Effect) {
	if len(effects) == 0 {
		return
	}
	for i, l := range cands.links {
		slowdown, harm := 1.0, 0.0
		for _, e := range effects {
			if n := l.Runs(e.Other); n > 0 {
				slowdown *= e.Slowed
				harm += float64(n) * (e.Slows - 1)
			}
		}
		cands.gates[i].Slowdown, cands.gates[i].Harm = slowdown, harm
	}
}

// knownInterference returns the effects in force at the gates of a service, as of the latest
// merge.
func (c *Coordinator) knownInterference(service string) interf.Table {
	c.interference.mu.Lock()
	defer c.interference.mu.Unlock()
	if si := c.interference.byService[service]; si != nil {
		return si.merger.Table()
	}
	return nil
}

// mergeInterference returns the effects in force at the gates of a service. It merges their
// reports if that was not done for mergeInterval.
func (c *Coordinator) mergeInterference(service string, now boot.Time) interf.Table {
	c.interference.mu.Lock()
	defer c.interference.mu.Unlock()
	si := c.interference.byService[service]
	if si == nil {
		if c.interference.byService == nil {
			c.interference.byService = map[string]*serviceInterference{}
		}
		si = &serviceInterference{}
		c.interference.byService[service] = si
		c.interference.known.Store(true)
	}
	if si.mergedAt > 0 && now.Sub(si.mergedAt) < mergeInterval {
		return si.merger.Table()
	}
	si.mergedAt = now
	si.active = c.mergeReports(si, service, now) || len(si.merger.Table()) > 0
	known := false
	for _, other := range c.interference.byService {
		known = known || other.active
	}
	c.interference.known.Store(known)
	return si.merger.Table()
}

// mergeReports merges the newest reports of the gates of a service, and reports whether there
// are any.
func (c *Coordinator) mergeReports(si *serviceInterference, service string, now boot.Time) bool {
	reported, gates := false, 0
	links := c.Links()
	for _, l := range links {
		v := l.View(now)
		if !v.Available || v.Load.Service != service {
			continue
		}
		gates++
		for _, p := range v.Load.Interference {
			reported = true
			si.merger.Add(interf.Pair{Slowed: p.Slowed, By: p.By, Factor: float64(p.Factor) / 100, Evidence: float64(p.Evidence)})
		}
	}
	for _, ch := range si.merger.Merge(gates) {
		c.count(interf.CounterPrefix + ch.What)
		c.trace("interference_"+ch.What, "service", service, "slowed", ch.Pair.Slowed, "by", ch.Pair.By,
			"percent", ch.Pair.Percent(), "evidence", int(ch.Pair.Evidence))
	}
	if len(si.merger.Table()) == 0 {
		return reported
	}
	for _, l := range links {
		if l.View(now).Load.Service == service {
			l.WantKinds(now.Add(wantKindsTime))
		}
	}
	return reported
}

// Interference returns the pairs in force, as of the latest placement, by service.
func (c *Coordinator) Interference() []InterferingPair {
	c.interference.mu.Lock()
	defer c.interference.mu.Unlock()
	var all []InterferingPair
	for service, si := range c.interference.byService {
		si.merger.Pairs(func(p interf.Pair) { all = append(all, InterferingPair{service, p}) })
	}
	slices.SortStableFunc(all, func(a, b InterferingPair) int { return cmp.Compare(a.Service, b.Service) })
	return all
}
