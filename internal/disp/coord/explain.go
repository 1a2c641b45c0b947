package coord

import (
	"fmt"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/pick"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
)

// explanation notes what the search for candidates saw of the gates, and which it left out.
// A nil explanation notes nothing, so that placements don't pay for it.
type explanation struct {
	views    map[*link.Link]link.View
	excluded []excludedGate
}

// excludedGate is a gate that is not a candidate.
type excludedGate struct {
	link   *link.Link
	reason string
}

// see notes the view of a gate with which it is decided whether it is a candidate.
func (x *explanation) see(l *link.Link, v link.View) {
	if x == nil {
		return
	}
	if x.views == nil {
		x.views = map[*link.Link]link.View{}
	}
	x.views[l] = v
}

// exclude notes that a gate is not a candidate.
func (x *explanation) exclude(l *link.Link, reason string) {
	if x != nil {
		x.excluded = append(x.excluded, excludedGate{l, reason})
	}
}

// unusable returns why a gate that is not available or belongs to another service is not a
// candidate.
func unusable(v link.View, now boot.Time) string {
	switch {
	case v.LastAnswer == 0 || now.Sub(v.LastAnswer) >= link.MaxLoadAge:
		return cause.Silent
	case v.Load.Leaving:
		return cause.Leaving
	case v.Load.Service == "":
		return cause.NoTarget
	}
	return cause.WrongService
}

// objections returns what counts against a candidate with the estimate p for a task of s.
func objections(g pick.Gate, v link.View, s Step, p GatePlan) []string {
	var against []string
	switch {
	case g.BreakerOpen:
		against = append(against, cause.BreakerOpen+": "+v.Load.BlockedReason)
	case g.Unavailable:
		against = append(against, v.Load.BlockedReason)
	}
	if !p.Fits {
		against = append(against, fmt.Sprintf("%s: needs %s, has %s", cause.TooLarge, describe(s.Size), describe(g.Capacity)))
	}
	if p.Wait > 0 {
		against = append(against, cause.NoCapacity)
	}
	if g.RunTimeFactor > 1 {
		against = append(against, fmt.Sprintf("%s: runs %g times as long", cause.AwayFromData, g.RunTimeFactor))
	}
	if g.Slowdown > 1 {
		against = append(against, fmt.Sprintf("%s: runs %.2f times as long beside the runs there", cause.Interference, g.Slowdown))
	}
	return against
}

// describe returns the resources of v in words.
func describe(v rsrc.Vector) string {
	return fmt.Sprintf("cpu %d, memory %d MB, gpu %d", v.CPU, v.Memory, v.GPU)
}
