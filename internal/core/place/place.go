package place

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/roster"
	"github.com/gypsumlanding/gypsumlanding/internal/core/slots"
)

const (
	// SampleSize is the number of gates compared for one task.
	SampleSize = 4

	firstMean    = 50 * time.Millisecond  // run time assumed while no gate is known
	typicalPart  = 10                     // a report counts one part in this in the typical run time
	silentBase   = 100 * time.Millisecond // a gate is silent after silentBase
	silentFactor = 2                      // and this many mean run times
	staleAfter   = 2 * time.Second        // age at which a report no longer counts
	penaltyTime  = 2 * time.Second        // how long a gate that refused is avoided
	hopNear      = 200 * time.Microsecond
	hopFar       = 1200 * time.Microsecond
	localBenefit = 200 * time.Microsecond
)

// Choice is a gate chosen for a task, and how long the task is believed to wait
// there for a slot.
type Choice struct {
	Node         roster.Node
	ExpectedWait time.Duration
}

// Picker chooses gates for one home. The zero value knows no gates. It is safe
// for concurrent use.
type Picker struct {
	// Rand returns a number from 0 to n-1; nil means math/rand/v2.
	Rand func(n int) int

	mu     sync.Mutex
	local  roster.Ref         // the home's own node
	domain string             // its failure domain
	look   func() slots.Load  // at the present load of its gate; nil for none
	known  map[string]bool    // services that any node is listed with
	gates  map[string][]*gate // gates open to new work, by service
	byRef  map[roster.Ref]*gate
	mean   map[string]time.Duration // typical run time, by service
}

type gate struct {
	node     roster.Node
	load     slots.Load
	reported time.Time
	sent     int       // started here and not yet answered
	heard    time.Time // of the last answer, or of the first start since there was none to wait for
	avoid    time.Time
}

// SetLocal tells which node is the home's own, its failure domain, and how to
// look at the present load of its gate; with nil only its reports are known.
func (p *Picker) SetLocal(ref roster.Ref, domain string, load func() slots.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.local = ref
	p.domain = domain
	p.look = load
}

// Update takes the gates of a newer roster and keeps what is known of them.
func (p *Picker) Update(r roster.Roster) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.byRef
	p.known = map[string]bool{}
	p.gates = map[string][]*gate{}
	p.byRef = map[roster.Ref]*gate{}
	for _, n := range r.Nodes() {
		p.known[n.Service] = true
		if n.Service == "" || n.Leaving || n.Slots == 0 {
			continue
		}
		g := old[n.Ref]
		if g == nil {
			g = &gate{}
		}
		g.node = n
		p.byRef[n.Ref] = g
		p.gates[n.Service] = append(p.gates[n.Service], g)
	}
	for _, gates := range p.gates {
		p.shuffle(gates)
	}
}

// Pick returns the gate to start a task of the service at, and counts the task
// as sent to it. It passes over the refs in tried. It returns false if no gate
// is left.
func (p *Picker) Pick(service string, tried []roster.Ref, now time.Time) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lookAtLocal(now)
	var best *gate
	var bestCost time.Duration
	for _, g := range p.sample(service, tried) {
		cost := p.cost(g, now)
		if best == nil || cost < bestCost {
			best = g
			bestCost = cost
		}
	}
	if best == nil {
		return Choice{}, false
	}
	wait := p.wait(best, now)
	if best.sent == 0 {
		best.heard = now
	}
	best.sent++
	return Choice{Node: best.node, ExpectedWait: wait}, true
}

// Knows tells whether any node is listed with the service, also if none is open
// to new work now.
func (p *Picker) HasService(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known[service]
}

// Done takes the report that came with the answer to a task sent to ref.
func (p *Picker) Finished(ref roster.Ref, load slots.Load, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g, ok := p.byRef[ref]; ok {
		g.report(load, now)
		p.learn(g.node.Service, load.Mean)
	}
}

// report takes in the load that came with a reply to a task.
func (g *gate) report(load slots.Load, now time.Time) {
	g.sent--
	g.heard = now
	g.load = load
	g.reported = now
}

// Bounced takes the report of a gate that handed a task back, since it would
// have waited there for longer than believed.
func (p *Picker) Bounced(ref roster.Ref, load slots.Load, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g, ok := p.byRef[ref]; ok {
		g.report(load, now)
	}
}

// Avoid takes note that ref refused or could not be reached, and passes it
// over for a while as long as others are there.
func (p *Picker) Unavailable(ref roster.Ref, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g, ok := p.byRef[ref]; ok {
		g.sent--
		g.heard = now
		g.avoid = now.Add(penaltyTime)
	}
}

// sample returns the local gate and others by chance, SampleSize at most, none
// of them tried.
func (p *Picker) sample(service string, tried []roster.Ref) []*gate {
	all := p.gates[service]
	if len(all) == 0 {
		return nil
	}
	picked := make([]*gate, 0, SampleSize)
	local := p.byRef[p.local]
	if local != nil && local.node.Service == service && !slices.Contains(tried, p.local) {
		picked = append(picked, local)
	}
	start := p.random(len(all))
	for i := range all {
		g := all[(start+i)%len(all)]
		if len(picked) == SampleSize {
			break
		}
		if g != local && !slices.Contains(tried, g.node.Ref) {
			picked = append(picked, g)
		}
	}
	return picked
}

// shuffle puts gates in an order of this home's own, so that neighbours in the
// order are not compared together by all homes.
func (p *Picker) shuffle(gates []*gate) {
	for i := len(gates) - 1; i > 0; i-- {
		k := p.random(i + 1)
		gates[i], gates[k] = gates[k], gates[i]
	}
}

// lookAtLocal takes the present load of the home's own gate.
func (p *Picker) lookAtLocal(now time.Time) {
	g, ok := p.byRef[p.local]
	if !ok || p.look == nil {
		return
	}
	g.load = p.look()
	g.reported = now
}

// cost returns the time in which g is expected to finish one more task.
func (p *Picker) cost(g *gate, now time.Time) time.Duration {
	mean := p.meanOf(g)
	cost := mean + p.wait(g, now) + p.distance(g)
	if now.Before(g.avoid) || g.silent(mean, now) {
		cost += penaltyTime
	}
	return cost
}

// wait returns how long one more task is believed to wait for a slot of g, by
// the larger of what the gate reported and the home's own unanswered starts.
func (p *Picker) wait(g *gate, now time.Time) time.Duration {
	mean := p.meanOf(g)
	ahead := g.sent
	if now.Sub(g.reported) < staleAfter {
		ahead = max(ahead, g.load.Running+g.load.Queued)
	}
	waiting := ahead - g.node.Slots + 1
	if waiting <= 0 {
		return 0
	}
	return mean * time.Duration(waiting) / time.Duration(g.node.Slots)
}

// silent tells whether the gate has left starts unanswered for long.
func (g *gate) silent(mean time.Duration, now time.Time) bool {
	return g.sent > 0 && now.Sub(g.heard) > silentBase+silentFactor*mean
}

// meanOf returns the gate's mean run time, or the service's typical one for a
// gate that is not known yet: an unknown gate must not draw all work.
func (p *Picker) meanOf(g *gate) time.Duration {
	if g.load.Mean > 0 {
		return g.load.Mean
	}
	if mean := p.mean[g.node.Service]; mean > 0 {
		return mean
	}
	return firstMean
}

// learn takes a reported mean into the service's typical run time.
func (p *Picker) learn(service string, mean time.Duration) {
	if mean <= 0 {
		return
	}
	if p.mean == nil {
		p.mean = map[string]time.Duration{}
	}
	if p.mean[service] == 0 {
		p.mean[service] = mean
		return
	}
	p.mean[service] += (mean - p.mean[service]) / typicalPart
}

func (p *Picker) distance(g *gate) time.Duration {
	switch {
	case g.node.Ref == p.local:
		return -localBenefit
	case g.node.Domain == p.domain:
		return 2 * hopNear
	}
	return 2 * hopFar
}

func (p *Picker) random(n int) int {
	if p.Rand != nil {
		return p.Rand(n)
	}
	return rand.IntN(n)
}
