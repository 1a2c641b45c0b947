package pick

import "time"

// disfavor says which gates of equal rank count against others.
type disfavor int

const (
	none    disfavor = iota
	cold             // those with a cold target
	waiting          // those at which the task would wait
)

// of returns 1 if d counts against a gate at which the task would wait for the given time, and
// otherwise 0.
func (d disfavor) of(g Gate, wait time.Duration) int {
	if d == cold && g.Cold || d == waiting && wait > 0 {
		return 1
	}
	return 0
}

// coldDisfavor returns the disfavor for t. It is none without a cold target among the gates of
// the best rank; cold if t could start at once at a warm one of them, and otherwise waiting if
// it could at a cold one.
func coldDisfavor(gates []Gate, t Task, ignoreBreakers bool) disfavor {
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
