package pick

import "time"

// penalty says which gates of equal rank come after the others.
type penalty int

const (
	none    penalty = iota
	cold            // those with a cold target
	waiting         // those at which the task would wait
)

// rankWith returns the rank of g with the penalty p, if the task would wait there for the given time.
func (g Gate) rankWith(p penalty, wait time.Duration, ignoreBreakers bool) int {
	rank := 2 * g.rank(ignoreBreakers)
	if p == cold && g.Cold || p == waiting && wait > 0 {
		rank++
	}
	return rank
}

// coldPenalty returns the penalty for t. It is none without a cold target among the gates of
// the best rank; cold if t could start at once at a warm one of them, and otherwise waiting if
// it could at a cold one.
func coldPenalty(gates []Gate, t Task, ignoreBreakers bool) penalty {
	if !anyColdGate(gates) {
		return none // the usual case, without an estimate for each gate
	}
	bestRank, anyCold, warmFree, coldFree := -1, false, false, false
	for _, g := range gates {
		if !t.Size.Within(g.Capacity) {
			continue
		}
		rank := g.rank(ignoreBreakers)
		if bestRank < 0 || rank < bestRank {
			bestRank, anyCold, warmFree, coldFree = rank, false, false, false
		}
		if rank > bestRank {
			continue
		}
		wait, _ := g.estimate(t)
		anyCold = anyCold || g.Cold
		warmFree = warmFree || !g.Cold && wait == 0
		coldFree = coldFree || g.Cold && wait == 0
	}
	switch {
	case anyCold && warmFree:
		return cold
	case coldFree:
		return waiting
	}
	return none
}

func anyColdGate(gates []Gate) bool {
	for i := range gates {
		if gates[i].Cold {
			return true
		}
	}
	return false
}
