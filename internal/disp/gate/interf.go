package gate

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/interf"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// kindsPeriod is for how long loads have Kinds after an entry has asked for them. An entry that
// uses them asks at least once in 200 ms.
const kindsPeriod = time.Second

// observeStart records the start of r for the estimate of interference. A run that is found
// to be in progress again after a doubt counts from its first start.
func (g *Gate) observeStart(r *run) {
	if r.mark == nil {
		r.mark = g.interference.Begin(r.msg.Kind, g.steady())
	}
}

// observeEnd records the end of r, and its run time if it is done.
func (g *Gate) observeEnd(r *run) {
	if r.mark == nil {
		return
	}
	runTime := time.Duration(0)
	if r.result == msgs.Done {
		runTime = r.runTime
	}
	expected := time.Duration(r.msg.ExpectedRunTime) * time.Millisecond
	g.logInterference(g.interference.End(r.mark, g.steady(), expected, runTime))
	r.mark = nil
}

// expireInterference drops what has not been seen for too long.
func (g *Gate) expireInterference() {
	if g.interference.HasPairs() {
		g.logInterference(g.interference.Expire(g.steady()))
	}
}

// logInterference logs and counts changes of the pairs found.
func (g *Gate) logInterference(changes []interf.Change) {
	for _, c := range changes {
		g.count(interf.CounterPrefix + c.What)
		g.event("interference_"+c.What, "target", g.incarnation.ID, "slowed", c.Pair.Slowed, "by", c.Pair.By,
			"percent", c.Pair.Percent(), "evidence", int(c.Pair.Evidence))
	}
}

// wantKinds records whether an entry asks for Kinds.
func (g *Gate) wantKinds(wanted bool) {
	if wanted {
		g.kindsUntil = g.now().Add(kindsPeriod)
	}
}

// addInterference adds the pairs found to a load and, if there are any here or at the entries,
// the number of runs by kind.
func (g *Gate) addInterference(l *msgs.Load, now boot.Time) {
	if !g.interference.HasPairs() && now >= g.kindsUntil {
		return
	}
	g.interference.Pairs(func(p interf.Pair) {
		l.Interference = append(l.Interference, msgs.Interference{Slowed: p.Slowed, By: p.By, Factor: p.Percent(), Evidence: int(p.Evidence)})
	})
	g.interference.Runs(func(kind string, runs int) {
		l.Kinds = append(l.Kinds, msgs.KindRuns{Kind: kind, Runs: runs})
	})
}
