package pick

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
)

const (
	// turnover is how long a running task takes on average to make room.
	turnover = 200 * time.Millisecond
	// crowding is what the last room of a target costs. The cost rises with the
	// third power of what is used, so equal targets are filled evenly, and short
	// tasks leave the last room of fast targets to long ones, which gain more.
	crowding = 80 * time.Millisecond
	// slowest is the least speed that is reckoned with.
	slowest = 0.02
	// mostAside is the share of gates that can start tasks, in percent, that may
	// be set aside before being so counts for nothing.
	mostAside = 50
)

// Gate is what is known of one gate.
type Gate struct {
	Capacity      rsrc.Vector
	Used          rsrc.Vector
	Queued        int64 // core-milliseconds that wait
	Speed         float64
	Unavailable   bool    // it can start nothing now
	Aside         bool    // its target is set aside
	Avoid         bool    // the task has come back from it
	RunTimeFactor float64 // factor on the run time there; 0 means 1
}

// Task is what a task asks for.
type Task struct {
	Size     rsrc.Vector
	Expected time.Duration // on a target of speed 1
}

// Choice is where a task goes.
type Choice struct {
	Gate   int           // index; -1 for none
	Wait   time.Duration // expected in the gate's queue
	Finish time.Duration // expected from now on
	Insist bool          // the gate's target is set aside, as too many are
}

// Best returns the choice with the earliest expected end. Gates that can start
// nothing, that are set aside, or that the task has come back from, are taken only
// where no other can run it. Where too many are set aside, being so counts for
// nothing: then it is the tasks that fail rather than the targets.
func Best(gates []Gate, t Task) Choice {
	ignoreAside := tooManyAside(gates)
	best := Choice{Gate: -1}
	bestRank := 0
	var bestCost time.Duration
	for i, g := range gates {
		if !t.Size.Within(g.Capacity) {
			continue
		}
		wait, finish := g.expect(t)
		cost := finish + g.crowded()
		rank := g.rank(ignoreAside)
		if best.Gate < 0 || rank < bestRank || rank == bestRank && cost < bestCost {
			best = Choice{Gate: i, Wait: wait, Finish: finish, Insist: g.Aside && ignoreAside}
			bestRank, bestCost = rank, cost
		}
	}
	return best
}

// expect returns how long t waits at g, and when it ends.
func (g Gate) expect(t Task) (wait, finish time.Duration) {
	speed := max(g.Speed, slowest)
	free := g.Capacity.Minus(g.Used)
	if !t.Size.Within(free) || g.Queued > 0 {
		short := float64(max(0, t.Size.CPU-free.CPU)) / float64(max(g.Used.CPU, 1))
		ms := float64(g.Queued) * 1000 / float64(max(g.Capacity.CPU, 1))
		wait = time.Duration((short*float64(turnover) + ms*float64(time.Millisecond)) / speed)
	}
	far := max(g.RunTimeFactor, 1)
	return wait, wait + time.Duration(far*float64(t.Expected)/speed)
}

func (g Gate) crowded() time.Duration {
	used := float64(g.Used.CPU) / float64(max(g.Capacity.CPU, 1))
	return time.Duration(float64(crowding) * used * used * used)
}

// rank orders gates before their costs are compared.
func (g Gate) rank(ignoreAside bool) int {
	rank := 0
	if g.Avoid {
		rank++
	}
	if g.Aside && !ignoreAside {
		rank += 2
	}
	if g.Unavailable {
		rank += 4
	}
	return rank
}

func tooManyAside(gates []Gate) bool {
	open, aside := 0, 0
	for _, g := range gates {
		if g.Unavailable {
			continue
		}
		open++
		if g.Aside {
			aside++
		}
	}
	return aside*100 > open*mostAside
}
