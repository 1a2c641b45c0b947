package interf

import (
	"math"
	"slices"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

const (
	// minRuns is the least weight of runs both beside and apart for a pair to be found, or
	// to be dropped because it no longer holds.
	minRuns = 4.0
	// findFactor is the least factor of a pair that is found. Placing a task apart gains less
	// than 15 % below, and slow periods, which also make runs overlap more, look like factors
	// of up to 1.18.
	findFactor = 1.2
	// actFactor is the least factor of a found pair on which placements act. Short runs were seen to
	// look up to 1.28 times longer beside long ones where nobody gained by keeping them apart.
	actFactor = 1.35
	// suspectFactor is the least factor of a pair that is suspected.
	suspectFactor = 1.15
	// keepFactor is the factor below which a pair is dropped.
	keepFactor = 1.12
	// suspectDeviations is the number of standard errors from which a Tracker reports a pair
	// to be merged with the findings of others. Of 16 pairs without interference, about one
	// in a hundred trackers reports one.
	suspectDeviations = 3.0
	// findDeviations is the number of standard errors from which a pair counts as found,
	// at one target or after merging. Up to 256 pairs are evaluated several times a second.
	findDeviations = 5.0
	// keepDeviations is the number below which a pair is dropped.
	keepDeviations = 1.5
	// pairLifetime is how long a pair is kept without enough runs to judge it. If tasks are
	// placed apart because of it there are none.
	pairLifetime = 10 * time.Second
	// maxPairs is the number of pairs that a Tracker reports. They are sent with each load.
	maxPairs = 32
	// changeRatio is the ratio of factors from which a change is reported.
	changeRatio = 1.2
)

// Pair means that runs of the kind Slowed take Factor times as long beside runs of the
// kind By.
type Pair struct {
	Slowed   string
	By       string
	Factor   float64
	Evidence float64 // reciprocal of the variance of the logarithm of Factor; 100 means ±10 %
}

// deviations returns the number of standard errors by which p differs from no effect.
func (p Pair) deviations() float64 { return math.Log(p.Factor) * math.Sqrt(p.Evidence) }

// Percent returns the factor in percent.
func (p Pair) Percent() int { return int(math.Round(100 * p.Factor)) }

// CounterPrefix precedes Found, Changed or Dropped in the names of the counters of changes.
const CounterPrefix = "interference."

// Counters returns the names of the counters of changes.
func Counters() []string {
	return []string{CounterPrefix + Changed, CounterPrefix + Dropped, CounterPrefix + Found}
}

// Kinds of changes.
const (
	Found   = "found"
	Changed = "changed"
	Dropped = "dropped"
)

// Change is a change of the pairs that have been found.
type Change struct {
	What string // Found, Changed or Dropped
	Pair Pair
}

// reportedPair is a pair that a Tracker reports.
type reportedPair struct {
	Pair
	judged boot.Time // when there were last enough runs to judge it
	logged float64   // factor in the latest Change; 0 as long as the pair is only suspected
}

// HasPairs reports whether there are pairs, found or suspected.
func (t *Tracker) HasPairs() bool { return len(t.pairs) > 0 }

// Pairs calls yield with each pair that is found or suspected.
func (t *Tracker) Pairs(yield func(Pair)) {
	for _, p := range t.pairs {
		yield(p.Pair)
	}
}

// Expire drops the pairs for which there have not been enough runs lately.
func (t *Tracker) Expire(now boot.Time) []Change {
	var changes []Change
	t.pairs = slices.DeleteFunc(t.pairs, func(p reportedPair) bool {
		if now.Sub(p.judged) < pairLifetime {
			return false
		}
		if p.logged > 0 {
			changes = append(changes, Change{Dropped, p.Pair})
		}
		return true
	})
	return changes
}

// inPair reports whether a kind belongs to a pair.
func (t *Tracker) inPair(name string) bool {
	for i := range t.pairs {
		if t.pairs[i].Slowed == name || t.pairs[i].By == name {
			return true
		}
	}
	return false
}

// pairHasEnded reports whether the latest runs of the kind at index i show that a pair has
// ended by which it was slowed.
func (t *Tracker) pairHasEnded(i int) bool {
	slowed := t.kinds[i]
	for p := range t.pairs {
		if t.pairs[p].Slowed != slowed.name {
			continue
		}
		for place, by := range t.kinds {
			if by != nil && by.name == t.pairs[p].By && slowed.fit.hasEnded(place) {
				return true
			}
		}
	}
	return false
}

// evaluate updates the pairs of which the kind at index i is the one that is slowed.
func (t *Tracker) evaluate(i int) []Change {
	var changes []Change
	slowed := t.kinds[i]
	for place, by := range t.kinds {
		if by == nil || slowed.fit.contrast(place) < minRuns {
			continue
		}
		log, variance, ok := slowed.fit.effect(place)
		if !ok {
			continue
		}
		p := Pair{Slowed: slowed.name, By: by.name, Factor: math.Exp(log), Evidence: 1 / variance}
		if what := t.update(p); what != "" {
			changes = append(changes, Change{what, p})
		}
	}
	return changes
}

// update compares a pair's newest estimate with what is known of it. It returns what has
// changed, or the empty string.
func (t *Tracker) update(p Pair) string {
	i := slices.IndexFunc(t.pairs, func(r reportedPair) bool { return r.Slowed == p.Slowed && r.By == p.By })
	deviations := p.deviations()
	switch {
	case i < 0 && (p.Factor < suspectFactor || deviations < suspectDeviations || len(t.pairs) == maxPairs):
		return ""
	case i < 0:
		t.pairs = append(t.pairs, reportedPair{Pair: p})
		i = len(t.pairs) - 1
	case p.Factor < keepFactor || deviations < keepDeviations:
		logged := t.pairs[i].logged
		t.pairs = slices.Delete(t.pairs, i, i+1)
		if logged > 0 {
			return Dropped
		}
		return ""
	}
	r := &t.pairs[i]
	r.Pair, r.judged = p, t.now
	switch {
	case r.logged == 0 && (deviations < findDeviations || p.Factor < findFactor):
		return ""
	case r.logged == 0:
		r.logged = p.Factor
		return Found
	case max(p.Factor/r.logged, r.logged/p.Factor) >= changeRatio:
		r.logged = p.Factor
		return Changed
	}
	return ""
}
