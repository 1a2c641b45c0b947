package interf

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

const (
	// keepShare is the share of its largest evidence with which a merged pair stays in force,
	// if that is enough for a suspicion. With less, most gates that knew it have dropped it,
	// while the others have had too few runs yet to judge that.
	keepShare = 0.4
	// findMergedDeviations replaces findDeviations for pairs that several gates report: what is
	// taken for interference by chance, or in a slow moment, is rarely so at many gates.
	findMergedDeviations = 4.0
	// peakDecay is the factor by which the largest evidence falls with each call of Merge, so
	// that the share is that of the last minute.
	peakDecay = 0.997
	// silentShare is the share of the gates without a report of a pair that are taken to
	// have seen that there is none. The others have not seen both kinds together. Without it,
	// the chance suspicions of a few of many gates would add up.
	silentShare = 0.5
	// maxFactor bounds the factor of a merged pair.
	maxFactor = 8.0
)

// Effect is what a kind and another one do to each other.
type Effect struct {
	Other  string
	Slowed float64 // factor by which the kind is slowed by Other; 1 if it is not
	Slows  float64 // factor by which the kind slows Other; 1 if it does not
}

// pairKey identifies a pair.
type pairKey struct{ slowed, by string }

// Merger merges the pairs of several gates, weighted by their evidence. Gates report a pair
// that they only suspect too: it counts if enough of them do. The zero value has no pairs.
type Merger struct {
	sums  map[pairKey]sum
	force map[pairKey]inForce
	pairs []Pair // in force, by Slowed and By
	table Table
}

// sum is a weighted sum of logarithms of factors, as reported by some gates.
type sum struct {
	log, weight float64
	gates       int
}

// deviations returns the number of standard errors by which the sum differs from no effect, if
// silentShare of the other gates have as much evidence each for no effect.
func (s sum) deviations(gates int) float64 {
	silent := silentShare * float64(max(0, gates-s.gates))
	return s.log / math.Sqrt(s.weight*(1+silent/float64(s.gates)))
}

// inForce is what a Merger keeps of a pair in force.
type inForce struct {
	logged   float64 // factor in the latest Change
	evidence float64 // largest of late
}

// Add adds a pair that a gate reports.
func (m *Merger) Add(p Pair) {
	// A malformed report must not make the sums infinite or NaN.
	if !(p.Factor > 0 && p.Evidence > 0) || math.IsInf(p.Factor, 0) || math.IsInf(p.Evidence, 0) {
		return
	}
	if m.sums == nil {
		m.sums = map[pairKey]sum{}
	}
	key := pairKey{p.Slowed, p.By}
	s := m.sums[key]
	s.log += p.Evidence * math.Log(p.Factor)
	s.weight += p.Evidence
	s.gates++
	m.sums[key] = s
}

// isFound reports whether the sum is enough for a pair that is not in force.
func (s sum) isFound(gates int) bool {
	needed := findMergedDeviations
	if s.gates == 1 {
		needed = findDeviations
	}
	return s.log/s.weight >= math.Log(findFactor) && s.deviations(gates) >= needed
}

// Merge makes the pairs in force those of the pairs added since the last call that all of the
// given number of gates together have found, and returns the changes.
func (m *Merger) Merge(gates int) []Change {
	var changes []Change
	var pairs []Pair
	table, force := Table{}, map[pairKey]inForce{}
	for key, s := range m.sums {
		p := Pair{Slowed: key.slowed, By: key.by, Factor: min(math.Exp(s.log/s.weight), maxFactor), Evidence: s.weight}
		known, ok := m.force[key]
		switch {
		case !ok && !s.isFound(gates):
			continue
		case ok && (p.Factor < keepFactor || s.deviations(gates) < suspectDeviations || p.Evidence < keepShare*known.evidence):
			continue
		case !ok:
			known.logged = p.Factor
			changes = append(changes, Change{Found, p})
		case max(p.Factor/known.logged, known.logged/p.Factor) >= changeRatio:
			known.logged = p.Factor
			changes = append(changes, Change{Changed, p})
		}
		known.evidence = max(peakDecay*known.evidence, p.Evidence)
		force[key] = known
		pairs = append(pairs, p)
		if p.Factor >= actFactor {
			table.effect(p.Slowed, p.By).Slowed = p.Factor
			table.effect(p.By, p.Slowed).Slows = p.Factor
		}
	}
	for key, known := range m.force {
		if _, ok := force[key]; !ok {
			changes = append(changes, Change{Dropped, Pair{Slowed: key.slowed, By: key.by, Factor: known.logged, Evidence: m.sums[key].weight}})
		}
	}
	slices.SortFunc(pairs, func(a, b Pair) int { return cmp.Or(strings.Compare(a.Slowed, b.Slowed), strings.Compare(a.By, b.By)) })
	m.force, m.pairs, m.table = force, pairs, table
	clear(m.sums)
	return changes
}

// Table returns the effects of the pairs in force whose factor is large enough to act on.
func (m *Merger) Table() Table { return m.table }

// Pairs calls yield with each pair in force.
func (m *Merger) Pairs(yield func(Pair)) {
	for _, p := range m.pairs {
		yield(p)
	}
}

// Table holds the effects of each kind. Nil has none. It does not change.
type Table map[string][]Effect

// effect returns the effect of kind and other, which it adds if it is missing.
func (t Table) effect(kind, other string) *Effect {
	effects := t[kind]
	for i := range effects {
		if effects[i].Other == other {
			return &effects[i]
		}
	}
	t[kind] = append(effects, Effect{Other: other, Slowed: 1, Slows: 1})
	return &t[kind][len(effects)]
}
