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

	// initialMean is the mean run time assumed for a gate while neither the gate
	// nor any other of its service has reported one.
	initialMean = 50 * time.Millisecond

	// typicalSmoothing is the inverse of a report's weight in the typical run time.
	typicalSmoothing = 10

	// A gate counts as silent if its starts stay unanswered for longer than
	// silentBase plus silentFactor mean run times.
	silentBase   = 100 * time.Millisecond
	silentFactor = 2

	// maxReportAge is the age from which a reported load is ignored.
	maxReportAge = 2 * time.Second

	// penaltyTime is added to the cost of a gate that is silent, and to that of an
	// unavailable gate for the same length of time.
	penaltyTime = 2 * time.Second

	latencySameDomain  = 200 * time.Microsecond  // one way, within a failure domain
	latencyOtherDomain = 1200 * time.Microsecond // one way, between failure domains
	localAdvantage     = 200 * time.Microsecond  // subtracted from the cost of the local gate
)

// Choice is a gate chosen for a task, with the time that the task is expected to
// wait there for a slot.
type Choice struct {
	Node         roster.Node
	ExpectedWait time.Duration
}

// Picker chooses gates for one home. The zero value has no gates. It is safe for
// concurrent use.
type Picker struct {
	// Rand returns a random number in [0, n). If it is nil, math/rand/v2 is used.
	Rand func(n int) int

	mu         sync.Mutex
	local      roster.Ref         // node of this home
	domain     string             // failure domain of that node
	localLoad  func() slots.Load  // returns the current load of the local gate; may be nil
	services   map[string]bool    // services of all nodes in the roster
	gates      map[string][]*gate // gates that accept new tasks, by service
	gatesByRef map[roster.Ref]*gate
	runTime    map[string]time.Duration // typical run time of a task, by service
}

// gate is what the home knows of one gate.
type gate struct {
	node        roster.Node
	load        slots.Load // as last reported
	reportedAt  time.Time  // time of that report
	outstanding int        // tasks that this home started and that have no reply yet
	silentSince time.Time  // last reply or failure, or a later start with no other outstanding
	avoidUntil  time.Time  // end of the penalty for being unavailable
}

// SetLocal sets the node that the home runs on, its failure domain, and the
// function that returns the current load of its gate. If load is nil, the load of
// that gate is known from its reports only.
func (p *Picker) SetLocal(ref roster.Ref, domain string, load func() slots.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.local = ref
	p.domain = domain
	p.localLoad = load
}

// Update replaces the gates by those of a newer roster. What is known of a gate is
// kept as long as rosters list the same incarnation of its node as open to tasks.
func (p *Picker) Update(r roster.Roster) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.gatesByRef
	p.services = map[string]bool{}
	p.gates = map[string][]*gate{}
	p.gatesByRef = map[roster.Ref]*gate{}
	for _, n := range r.Nodes() {
		p.services[n.Service] = true
		if n.Service == "" || n.Leaving || n.Slots == 0 {
			continue
		}
		g := old[n.Ref]
		if g == nil {
			g = &gate{}
		}
		g.node = n
		p.gatesByRef[n.Ref] = g
		p.gates[n.Service] = append(p.gates[n.Service], g)
	}
	for _, gates := range p.gates {
		p.shuffle(gates)
	}
}

// Pick returns the gate at which to start a task of the service, and counts the
// task as outstanding there. Gates in tried are excluded. It returns false if no
// gate is left. Every task picked must be reported once by Finished, Bounced or
// Unavailable.
func (p *Picker) Pick(service string, tried []roster.Ref, now time.Time) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refreshLocalLoad(now)
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
	expectedWait := p.expectedWait(best, now)
	if best.outstanding == 0 {
		best.silentSince = now
	}
	best.outstanding++
	return Choice{Node: best.node, ExpectedWait: expectedWait}, true
}

// HasService reports whether any node of the roster has the service, even if none
// accepts new tasks at the moment.
func (p *Picker) HasService(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.services[service]
}

// Finished records the load that the gate at ref reported with the outcome of a
// task.
func (p *Picker) Finished(ref roster.Ref, load slots.Load, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g, ok := p.gatesByRef[ref]; ok {
		g.applyReport(load, now)
		p.updateRunTime(g.node.Service, load.Mean)
	}
}

// applyReport records a reply to a task and the load that came with it.
func (g *gate) applyReport(load slots.Load, now time.Time) {
	g.outstanding--
	g.silentSince = now
	g.load = load
	g.reportedAt = now
}

// Bounced records the load reported by the gate at ref when it handed a task back
// because the task would have waited there longer than its home allowed. The mean
// run time in it doesn't change the typical run time of the service.
func (p *Picker) Bounced(ref roster.Ref, load slots.Load, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g, ok := p.gatesByRef[ref]; ok {
		g.applyReport(load, now)
	}
}

// Unavailable records that the gate at ref refused a task or could not be reached.
// The task no longer counts as outstanding. For penaltyTime from now on the gate costs
// more, so that others are preferred.
func (p *Picker) Unavailable(ref roster.Ref, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g, ok := p.gatesByRef[ref]; ok {
		g.outstanding--
		g.silentSince = now
		g.avoidUntil = now.Add(penaltyTime)
	}
}

// sample returns up to SampleSize gates that are not in tried: the local gate and
// others from a random position on.
func (p *Picker) sample(service string, tried []roster.Ref) []*gate {
	all := p.gates[service]
	if len(all) == 0 {
		return nil
	}
	picked := make([]*gate, 0, SampleSize)
	local := p.gatesByRef[p.local]
	if local != nil && local.node.Service == service && !slices.Contains(tried, p.local) {
		picked = append(picked, local)
	}
	start := p.randIntN(len(all))
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

// shuffle randomizes the order of gates. Samples are runs of neighbours in this
// order, so with the same order at all homes the same gates would always be
// compared with each other.
func (p *Picker) shuffle(gates []*gate) {
	for i := len(gates) - 1; i > 0; i-- {
		k := p.randIntN(i + 1)
		gates[i], gates[k] = gates[k], gates[i]
	}
}

// refreshLocalLoad reads the current load of the local gate.
func (p *Picker) refreshLocalLoad(now time.Time) {
	g, ok := p.gatesByRef[p.local]
	if !ok || p.localLoad == nil {
		return
	}
	g.load = p.localLoad()
	g.reportedAt = now
}

// cost returns the expected time to finish one more task at g, plus penaltyTime if
// g is unavailable or silent.
func (p *Picker) cost(g *gate, now time.Time) time.Duration {
	mean := p.meanRunTime(g)
	cost := mean + p.expectedWait(g, now) + p.networkCost(g)
	if now.Before(g.avoidUntil) || g.silent(mean, now) {
		cost += penaltyTime
	}
	return cost
}

// expectedWait returns how long one more task is expected to wait for a slot of g.
// It assumes as many tasks ahead as the larger of the gate's reported load and the
// home's own unanswered starts.
func (p *Picker) expectedWait(g *gate, now time.Time) time.Duration {
	mean := p.meanRunTime(g)
	ahead := g.outstanding
	if now.Sub(g.reportedAt) < maxReportAge {
		ahead = max(ahead, g.load.Running+g.load.Queued)
	}
	waiting := ahead - g.node.Slots + 1
	if waiting <= 0 {
		return 0
	}
	return mean * time.Duration(waiting) / time.Duration(g.node.Slots)
}

// silent reports whether starts at the gate have been unanswered for too long,
// given the mean run time of its tasks.
func (g *gate) silent(mean time.Duration, now time.Time) bool {
	return g.outstanding > 0 && now.Sub(g.silentSince) > silentBase+silentFactor*mean
}

// meanRunTime returns the mean run time of the gate's tasks. For a gate that has
// not reported one yet it returns the typical run time of the service, so that a
// new gate doesn't look fastest and attract all tasks.
func (p *Picker) meanRunTime(g *gate) time.Duration {
	if g.load.Mean > 0 {
		return g.load.Mean
	}
	if runTime := p.runTime[g.node.Service]; runTime > 0 {
		return runTime
	}
	return initialMean
}

// updateRunTime merges a reported mean run time into the typical run time of the
// service. Means that are not positive are ignored.
func (p *Picker) updateRunTime(service string, runTime time.Duration) {
	if runTime <= 0 {
		return
	}
	if p.runTime == nil {
		p.runTime = map[string]time.Duration{}
	}
	if p.runTime[service] == 0 {
		p.runTime[service] = runTime
		return
	}
	p.runTime[service] += (runTime - p.runTime[service]) / typicalSmoothing
}

// networkCost returns the round-trip time to the gate. For the local gate it is
// negative, which favours that gate.
func (p *Picker) networkCost(g *gate) time.Duration {
	switch {
	case g.node.Ref == p.local:
		return -localAdvantage
	case g.node.Domain == p.domain:
		return 2 * latencySameDomain
	}
	return 2 * latencyOtherDomain
}

// randIntN returns a random number in [0, n).
func (p *Picker) randIntN(n int) int {
	if p.Rand != nil {
		return p.Rand(n)
	}
	return rand.IntN(n)
}
