package coord

import (
	"slices"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/pick"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
)

// remoteDataFactor is the factor by which the run time of a task grows on a target
// without the step's preferred label, that is, away from its data.
const remoteDataFactor = 1.5

// candidates are the gates that may run a task, with what the entry knows of each.
// links, targets and gates have the same length and order.
type candidates struct {
	links   []*link.Link
	targets []string // IDs of the incarnations of the gates' targets
	gates   []pick.Gate
	scratch []pick.Gate // used by longestWait
}

// findCandidates returns the gates of a service that have reported their load
// recently, are not leaving, and have the label that the step requires. They need not
// have free capacity or an available target. The caller passes them to release when it
// does not need them any more: each placement looks at all gates, so without reuse
// their memory would be most of what an entry allocates.
func (c *Coordinator) findCandidates(service string, s Step) *candidates {
	cands, ok := c.candidatePool.Get().(*candidates)
	if !ok {
		cands = &candidates{}
	}
	now := c.now()
	for _, l := range c.Links() {
		cands.add(l, service, s, now)
	}
	return cands
}

// release returns the memory of candidates for later calls of findCandidates.
func (c *Coordinator) release(cands *candidates) {
	clear(cands.links)
	clear(cands.targets)
	cands.links, cands.targets, cands.gates = cands.links[:0], cands.targets[:0], cands.gates[:0]
	c.candidatePool.Put(cands)
}

// add adds the gate of a link if it may run a task of s.
func (cands *candidates) add(l *link.Link, service string, s Step, now boot.Time) {
	v := l.View(now)
	if !v.Available || v.Load.Service != service {
		return
	}
	if s.RequiredLabel != "" && !slices.Contains(v.Load.Labels, s.RequiredLabel) {
		return
	}
	runTimeFactor := 1.0
	if s.PreferredLabel != "" && !slices.Contains(v.Load.Labels, s.PreferredLabel) {
		runTimeFactor = remoteDataFactor
	}
	cands.links = append(cands.links, l)
	cands.targets = append(cands.targets, v.Load.TargetIncarnation)
	cands.gates = append(cands.gates, pick.Gate{
		Capacity:      rsrc.Vector{CPU: v.Load.CPU, Memory: v.Load.Memory, GPU: v.Load.GPU},
		Used:          v.Used,
		QueuedWork:    v.Load.QueuedWork,
		Speed:         v.Load.Speed,
		Unavailable:   cannotStart(v.Load.BlockedReason),
		BreakerOpen:   v.Load.BlockedReason != "" && !cannotStart(v.Load.BlockedReason),
		RunTimeFactor: runTimeFactor,
	})
}

// cannotStart reports whether a gate whose load has this BlockedReason can start no
// task at all. Any other non-empty reason means that the target's circuit breaker is open.
func cannotStart(blockedReason string) bool {
	return blockedReason == cause.Silent || blockedReason == cause.NoTarget
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
