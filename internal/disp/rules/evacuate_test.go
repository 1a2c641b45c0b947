package rules

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/evac"
	"pgregory.net/rapid"
)

const (
	domainCount     = 2
	evacuateLimit   = 5 * time.Second        // from the operator's write to the last start
	informedTime    = 2 * time.Second        // for which a gate must have reached an informed entry to know what that knows
	followInterval  = 50 * time.Millisecond  // between two polls of the store by an entry
	informedChecks  = 100 * time.Millisecond // between two looks at which gates reach informed entries
	evacuationMS    = 14000                  // time in which jobs are submitted and failures begin, in the schedules here
	maxEvacuationMS = 9000
)

// domainOf returns the failure domain of gate g.
func domainOf(g int) string { return fmt.Sprint("d", g%domainCount) }

// operatorTable simulates the operator's rows in the platform's store, and records since when
// gates have reached an entry that knows the present ones.
type operatorTable struct {
	mu        sync.Mutex
	version   int64
	rows      map[string]evac.Order
	since     map[string]time.Time // when the rows were written, by domain
	changes   []evac.Order         // that were not discarded
	discarded int64                // version of the newest change that was
	informed  map[[2]int]informedPair
}

// informedPair is a connection between an informed entry and a gate.
type informedPair struct {
	entry *entryProcess
	gate  *gateProcess
	since time.Time
}

// write writes the row of a domain, or deletes it.
func (o *operatorTable) write(domain string, evacuated bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.rows == nil {
		o.rows, o.since = map[string]evac.Order{}, map[string]time.Time{}
	}
	_, present := o.rows[domain]
	if !present && !evacuated {
		return
	}
	o.version++
	change := evac.Order{Domain: domain, Version: o.version, Evacuated: evacuated}
	o.changes = append(o.changes, change)
	if !evacuated {
		delete(o.rows, domain)
		return
	}
	o.rows[domain] = change
	if !present {
		o.since[domain] = time.Now()
	}
}

// discard discards the history.
func (o *operatorTable) discard() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.changes, o.discarded = nil, o.version
}

// read returns the changes after a version and the newest version, or a listing if the changes
// were discarded or the version is negative.
func (o *operatorTable) read(after int64) (orders []evac.Order, version int64, listing bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if listing = after < o.discarded; listing {
		for _, r := range o.rows {
			orders = append(orders, r)
		}
		return orders, o.version, true
	}
	for _, change := range o.changes {
		if change.Version > after {
			orders = append(orders, change)
		}
	}
	return orders, o.version, false
}

// followStore lets an incarnation of entry i follow the operator's rows until it ends. It
// can serve from the first listing on, or from the word of another entry that can.
func (c *cluster) followStore(i int, p *entryProcess) {
	for version := int64(-1); p.ctx.Err() == nil; time.Sleep(followInterval) {
		c.awaitEntry(i)
		if c.isCut(storePath, i) {
			continue
		}
		orders, newest, listing := c.operator.read(version)
		time.Sleep(oneWayDelay)
		c.awaitEntry(i)
		p.applyOrders(orders)
		if listing {
			var listed []string
			for _, o := range orders {
				listed = append(listed, o.Domain)
			}
			p.applyOrders(p.orders.Absent(newest, listed))
		}
		version = newest
		p.serves.Store(true)
	}
}

// applyOrders applies orders as proc.Entry does.
func (p *entryProcess) applyOrders(orders []evac.Order) {
	for _, o := range orders {
		p.orders.Apply(o)
	}
	for _, l := range p.links {
		l.OrdersChanged()
	}
}

// watchInformed records which gates reach entries that know all rows of the gate's domain,
// until the cluster is finished.
func (c *cluster) watchInformed() {
	for {
		select {
		case <-c.done:
			return
		case <-time.After(informedChecks):
		}
		for i := range c.entries {
			for g := range c.gates {
				c.recordInformed(i, g)
			}
		}
	}
}

func (c *cluster) recordInformed(i, g int) {
	p := c.entryAt(i)
	to, conn := c.connection(i, g)
	reached := conn == connected && p.ctx.Err() == nil && to.ctx.Err() == nil && c.stalled(i) == nil
	o := &c.operator
	o.mu.Lock()
	defer o.mu.Unlock()
	pair := o.informed[[2]int{i, g}]
	switch {
	case !reached || p.orders.Of(domainOf(g)).Version < o.rows[domainOf(g)].Version:
		delete(o.informed, [2]int{i, g})
	case pair.entry != p || pair.gate != to:
		if o.informed == nil {
			o.informed = map[[2]int]informedPair{}
		}
		o.informed[[2]int{i, g}] = informedPair{p, to, time.Now()}
	}
}

// forbids returns why nothing may start at the target of gate g now, or the empty string.
func (o *operatorTable) forbids(g int) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	domain := domainOf(g)
	if _, present := o.rows[domain]; !present || time.Since(o.since[domain]) <= evacuateLimit {
		return ""
	}
	for pair, p := range o.informed {
		if pair[1] == g && time.Since(p.since) > informedTime {
			return fmt.Sprintf("%v after %s was evacuated, which entry %d knows", time.Since(o.since[domain]), domain, pair[0])
		}
	}
	return ""
}

// stretch spreads the jobs of a schedule over evacuationMS.
func stretch(s *schedule) {
	s.ActiveMS = evacuationMS
	for i := range s.SubmitMS {
		s.SubmitMS[i] = s.SubmitMS[i] * evacuationMS / activeMS
	}
}

// drawEvacuation returns an evacuation that lasts for longer than evacuateLimit, mostly.
func drawEvacuation(t *rapid.T, name string, domain int) event {
	return event{
		StartMS: rapid.IntRange(0, 4000).Draw(t, name+" at"), Kind: evacuateDomain, Index: domain,
		DurationMS: rapid.IntRange(3000, maxEvacuationMS).Draw(t, name+" for"),
	}
}

// checkEvacuations simulates schedules with one or two evacuations, and the events of kinds and
// of more beside them, spread over the same time.
func checkEvacuations(t *testing.T, kinds []int, more func(*rapid.T) []event) {
	checkDrawn(t, func(rt *rapid.T) schedule {
		sched := drawSchedule(rt, kinds)
		stretch(&sched)
		for i := range sched.Events {
			sched.Events[i].StartMS *= 2
		}
		for i := range rapid.IntRange(1, 2).Draw(rt, "evacuations") {
			sched.Events = append(sched.Events, drawEvacuation(rt, fmt.Sprint("evacuation", i), rapid.IntRange(0, domainCount-1).Draw(rt, fmt.Sprint("domain", i))))
		}
		sched.Events = append(sched.Events, more(rt)...)
		return sched
	})
}

// TestRulesHoldWhenDomainsAreEvacuated evacuates domains, also both at once, or one again while
// it is being taken back, beside a store that can't be reached or has discarded its history, and
// beside processes and targets that die or leave. Nothing starts there after the limit, and all
// jobs are done once the domains are taken back.
func TestRulesHoldWhenDomainsAreEvacuated(t *testing.T) {
	kinds := []int{cutStore, cutStore, discardHistory, evacuateDomain, killGate, killEntry, cutConnection, restartTarget, drainTarget, loseOrders, stallEntry}
	checkEvacuations(t, kinds, func(*rapid.T) []event { return nil })
}

// TestUninformedEntryStartsNothingInEvacuatedDomain cuts an entry off from the store and from the
// other entry before a domain is evacuated. It goes on placing tasks; the gates, which the
// other entry has told, and tells again when they have restarted, start none of them.
func TestUninformedEntryStartsNothingInEvacuatedDomain(t *testing.T) {
	checkEvacuations(t, []int{killGate, discardHistory}, func(rt *rapid.T) []event {
		i := rapid.IntRange(0, entryCount-1).Draw(rt, "uninformed")
		return []event{{Kind: cutStore, Index: i, DurationMS: evacuationMS}, {Kind: cutPeers, Index: i, DurationMS: evacuationMS}}
	})
}

// TestEvacuationPassesBetweenEntries cuts an entry off from the store only: it learns of the
// evacuation, and of its end, from the other one. The gates are cut off from that one.
func TestEvacuationPassesBetweenEntries(t *testing.T) {
	checkEvacuations(t, []int{discardHistory, cutConnection}, func(rt *rapid.T) []event {
		i := rapid.IntRange(0, entryCount-1).Draw(rt, "uninformed")
		return []event{{Kind: cutStore, Index: i, DurationMS: evacuationMS}, {Kind: cutGates, Index: 1 - i, DurationMS: evacuationMS}}
	})
}
