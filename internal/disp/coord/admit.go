package coord

import (
	"slices"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/pick"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
)

const (
	// farFactor is how much longer a task runs away from its data.
	farFactor = 1.5
	// admitShare is the part of a job's slack, in percent, that the wait for room
	// may be expected to take. The slack is what the allowance leaves beyond the
	// run time.
	admitShare = 100
)

// fleet is what the entry knows of the gates of one service.
type fleet struct {
	links []*link.Link
	views []link.View
	gates []pick.Gate
}

// survey returns the gates that a step can use now.
func (c *Coordinator) survey(service string, s Step) fleet {
	now := c.now()
	var f fleet
	for _, l := range c.Links() {
		v := l.View(now)
		if !v.Available || v.Load.Service != service {
			continue
		}
		if s.Label != "" && !slices.Contains(v.Load.Labels, s.Label) {
			continue
		}
		far := 1.0
		if s.PreferredLabel != "" && !slices.Contains(v.Load.Labels, s.PreferredLabel) {
			far = farFactor
		}
		f.links = append(f.links, l)
		f.views = append(f.views, v)
		f.gates = append(f.gates, pick.Gate{
			Capacity:      rsrc.Vector{CPU: v.Load.CPU, Memory: v.Load.Memory, GPU: v.Load.GPU},
			Used:          v.Used,
			Queued:        v.Load.Queued,
			Speed:         v.Load.Speed,
			Unavailable:   blocked(v.Load.Aside),
			Aside:         v.Load.Aside != "" && !blocked(v.Load.Aside),
			RunTimeFactor: far,
		})
	}
	return f
}

// blocked tells whether a gate that gives this reason can start nothing.
func blocked(aside string) bool { return aside == cause.Silent || aside == cause.NoTarget }

// admit decides whether a job is taken: not if no target could ever run one of
// its tasks, and not if the first steps would wait for room so long that the
// answer would be late. An entry that has no gates yet takes it, since they
// answer within moments of its start.
func (c *Coordinator) admit(p *progress) Answer {
	for i, s := range p.Steps {
		expected := c.times.Expected(p.Route.Name, s.DeclaredRunTime)
		slack := p.Route.LatencyBudget(expected) - expected
		f := c.survey(p.Route.Service, s)
		wait, fits := f.wait(s, expected)
		reason := ""
		switch {
		case len(f.gates) == 0:
		case !fits:
			reason = cause.Size
		case len(s.After) == 0 && wait > slack*admitShare/100:
			reason = cause.Overload
		}
		c.trace("step_admitted", "job", p.ID, "route", p.Route.Name, "config", p.ConfigVersion, "step", i, "tasks", s.Count,
			"cpu", s.Size.CPU, "expected", expected, "slack", slack, "gates", len(f.gates), "wait", wait, "refused", reason)
		switch reason {
		case cause.Size:
			return Answer{State: Refused, Reason: reason}
		case cause.Overload:
			return Answer{State: Refused, Reason: reason, RetryAfter: retryAfter}
		}
	}
	return Answer{}
}

// wait returns the longest that a task of s is expected to wait for room if all
// are placed now, and whether there are targets that can run one.
func (f fleet) wait(s Step, expected time.Duration) (time.Duration, bool) {
	gates := slices.Clone(f.gates)
	var longest time.Duration
	for range s.Count {
		choice := pick.Best(gates, pick.Task{Size: s.Size, Expected: expected})
		if choice.Gate < 0 {
			return 0, false
		}
		longest = max(longest, choice.Wait)
		g := &gates[choice.Gate]
		if choice.Wait > 0 {
			g.Queued += int64(s.Size.CPU) * expected.Milliseconds() / 1000
			continue
		}
		g.Used = g.Used.Plus(s.Size)
	}
	return longest, true
}
