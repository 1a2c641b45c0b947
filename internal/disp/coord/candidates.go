package coord

import (
	"slices"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/bulk"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/pick"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/route"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
)

// defaultRemoteFactor replaces Coordinator.RemoteFactor where the platform states none.
const defaultRemoteFactor = 1.5

// candidates are the gates that may run a task, with what the entry knows of each.
// links, targets and gates have the same length and order.
type candidates struct {
	links   []*link.Link
	targets []string // IDs of the incarnations of the gates' targets
	gates   []pick.Gate
	service []serviceGate
	scratch []pick.Gate // used by longestWait
	// remoteFactor is Coordinator.RemoteFactor or what replaces it.
	remoteFactor float64
	// allCrashed is set if there are gates and their targets have all crashed. Those are
	// back after some seconds at the earliest.
	allCrashed bool
	// evacuated is set if a target in an evacuated domain, which is none of the candidates,
	// could run the task.
	evacuated bool
	// interference is set if a gate of the service has reported kinds that slow each other
	// down.
	interference bool
	explanation  *explanation // set only by placement queries
}

// serviceGate is a gate of the service, whether it can run the task or not.
type serviceGate struct {
	addr    string
	crashed bool // its target is down
}

// findCandidates returns the gates of a route's service that have reported their load
// recently, are not leaving, are not in an evacuated domain, have the label that the step
// requires, and belong to the route's share while bulkheads are raised. They need not have
// free capacity or an available target. The caller passes them to release when it does not need them any
// more: each placement looks at all gates, so without reuse their memory would be most of
// what an entry allocates.
func (c *Coordinator) findCandidates(r route.Route, s Step) *candidates {
	cands, ok := c.candidatePool.Get().(*candidates)
	if !ok {
		cands = &candidates{}
	}
	now := c.now()
	cands.remoteFactor = c.remoteFactor()
	cands.collect(c.Links(), r.Service, s, now)
	c.mu.Lock()
	defer c.mu.Unlock()
	if cands.separate(c.guard(r.Service), r, s, now) {
		c.trace("bulkheads_raised", "service", r.Service, "gates", len(cands.service))
		c.count("bulkheads.raised")
	}
	return cands
}

// remoteFactor returns the factor by which a task runs longer away from its data.
func (c *Coordinator) remoteFactor() float64 {
	if c.RemoteFactor > 0 {
		return c.RemoteFactor
	}
	return defaultRemoteFactor
}

// collect adds the gates of links that may run a task of s.
func (cands *candidates) collect(links []*link.Link, service string, s Step, now boot.Time) {
	for _, l := range links {
		cands.add(l, service, s, now)
	}
}

// separate removes the gates that the route may not use at now, if the targets of its
// service crash one after the other. If none of the others can run a task of s, all
// stay. It records in g what is known at now, and reports whether that raises the
// bulkheads.
func (cands *candidates) separate(g *bulk.Guard, r route.Route, s Step, now boot.Time) (raised bool) {
	g.Use(r.Name, now)
	for _, sg := range cands.service {
		if g.Observe(sg.addr, sg.crashed, now) {
			raised = true
		}
	}
	if g.Raised(now) {
		cands.keepShare(g.Share(r.Name, cands.serviceAddrs(), now), s)
	}
	hasNotCrashed := func(l *link.Link) bool { return !g.Crashed(l.Addr) }
	cands.allCrashed = len(cands.links) > 0 && !slices.ContainsFunc(cands.links, hasNotCrashed)
	return raised
}

// serviceAddrs returns the addresses of all gates of the service.
func (cands *candidates) serviceAddrs() []string {
	var addrs []string
	for _, sg := range cands.service {
		addrs = append(addrs, sg.addr)
	}
	return addrs
}

// guard returns the guard of a service's targets. The caller holds mu.
func (c *Coordinator) guard(service string) *bulk.Guard {
	g, ok := c.guards[service]
	if !ok {
		if c.guards == nil {
			c.guards = map[string]*bulk.Guard{}
		}
		g = &bulk.Guard{}
		c.guards[service] = g
	}
	return g
}

// fits reports whether the target of a gate in share is large enough for a task of s.
func (cands *candidates) fits(share map[string]bool, s Step) bool {
	for i, l := range cands.links {
		if share[l.Addr] && s.Size.Within(cands.gates[i].Capacity) {
			return true
		}
	}
	return false
}

// keepShare removes all gates whose address is not in share, unless none of those in it
// fits a task of s.
func (cands *candidates) keepShare(share map[string]bool, s Step) {
	if !cands.fits(share, s) {
		return
	}
	n := 0
	for i, l := range cands.links {
		if !share[l.Addr] {
			cands.explanation.exclude(l, cause.Separated)
			continue
		}
		cands.links[n], cands.targets[n], cands.gates[n] = l, cands.targets[i], cands.gates[i]
		n++
	}
	cands.truncate(n)
}

// includes reports whether the gate at addr is one of the candidates.
func (cands *candidates) includes(addr string) bool {
	return slices.ContainsFunc(cands.links, func(l *link.Link) bool { return l.Addr == addr })
}

// truncate keeps the first n gates.
func (cands *candidates) truncate(n int) {
	cands.links, cands.targets, cands.gates = cands.links[:n], cands.targets[:n], cands.gates[:n]
}

// release returns the memory of candidates for later calls of findCandidates.
func (c *Coordinator) release(cands *candidates) {
	clear(cands.links)
	clear(cands.targets)
	cands.truncate(0)
	cands.service, cands.allCrashed, cands.evacuated, cands.interference = cands.service[:0], false, false, false
	c.candidatePool.Put(cands)
}

// add adds the gate of a link if it may run a task of s.
func (cands *candidates) add(l *link.Link, service string, s Step, now boot.Time) {
	v := l.View(now)
	cands.explanation.see(l, v)
	if !v.Available || v.Load.Service != service {
		cands.explanation.exclude(l, unusable(v, now))
		return
	}
	if v.Evacuated {
		capacity := rsrc.Vector{CPU: v.Load.CPU, Memory: v.Load.Memory, GPU: v.Load.GPU}
		hasLabel := s.RequiredLabel == "" || slices.Contains(v.Load.Labels, s.RequiredLabel)
		cands.evacuated = cands.evacuated || hasLabel && s.Size.Within(capacity)
		cands.explanation.exclude(l, cause.Evacuated)
		return
	}
	cands.interference = cands.interference || len(v.Load.Interference) > 0
	cands.service = append(cands.service, serviceGate{l.Addr, v.Load.BlockedReason == cause.TargetCrashed})
	if s.RequiredLabel != "" && !slices.Contains(v.Load.Labels, s.RequiredLabel) {
		cands.explanation.exclude(l, cause.NoLabel)
		return
	}
	runTimeFactor := 1.0
	if s.PreferredLabel != "" && !slices.Contains(v.Load.Labels, s.PreferredLabel) {
		runTimeFactor = cands.remoteFactor
	}
	cands.links = append(cands.links, l)
	cands.targets = append(cands.targets, v.Load.TargetIncarnation)
	cands.gates = append(cands.gates, pick.Gate{
		Capacity:      rsrc.Vector{CPU: v.Load.CPU, Memory: v.Load.Memory, GPU: v.Load.GPU},
		Used:          v.Used,
		QueuedWork:    v.Load.QueuedWork,
		Speed:         v.Load.Speed,
		Unavailable:   cause.PreventsStarts(v.Load.BlockedReason),
		BreakerOpen:   v.Load.BlockedReason != "" && !cause.PreventsStarts(v.Load.BlockedReason),
		RunTimeFactor: runTimeFactor,
		Cold:          now.Sub(v.LastAnswer) < time.Duration(v.Load.ColdFor)*time.Millisecond,
	})
}

// longestWait returns the longest expected wait for capacity of any task of s if all
// of them are placed now. It reports false if no target can run such a task.
func (cands *candidates) longestWait(s Step, expectedRunTime time.Duration) (time.Duration, bool) {
	cands.scratch = append(cands.scratch[:0], cands.gates...)
	var longest time.Duration
	for range s.Count {
		choice := pick.Best(cands.scratch, pick.Task{Size: s.Size, RunTime: expectedRunTime})
		if choice.Gate < 0 {
			return 0, false
		}
		longest = max(longest, choice.Wait)
		g := &cands.scratch[choice.Gate]
		if choice.Wait > 0 {
			g.QueuedWork += int64(s.Size.CPU) * expectedRunTime.Milliseconds() / 1000
			continue
		}
		g.Used = g.Used.Plus(s.Size)
	}
	return longest, true
}

// usableCapacity returns the CPU of all candidates that can start tasks, in thousandths
// of a core of a target of speed 1.
func (cands *candidates) usableCapacity() float64 {
	sum := 0.0
	for _, g := range cands.gates {
		if !g.Unavailable {
			sum += float64(g.Capacity.CPU) * g.Speed
		}
	}
	return sum
}

// usableGates returns the number of candidates that can start tasks.
func (cands *candidates) usableGates() int {
	n := 0
	for _, g := range cands.gates {
		if !g.Unavailable {
			n++
		}
	}
	return n
}
