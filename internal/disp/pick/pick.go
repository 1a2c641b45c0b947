package pick

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
)

const (
	// meanReleaseTime is the assumed mean time until a running task ends and frees its
	// resources, on a target of speed 1.
	meanReleaseTime = 200 * time.Millisecond
	// maxUsagePenalty is the cost that is added for a target whose CPU is fully used.
	// The cost rises with the third power of the used share. This fills equal targets
	// evenly, and short tasks leave the last capacity of fast targets to long tasks,
	// which gain more from it.
	maxUsagePenalty = 80 * time.Millisecond
	// minSpeed is the lower bound for the speed of a target in estimates.
	minSpeed = 0.02
	// maxOpenBreakerPercent is the share of available gates, in percent, that may have
	// an open circuit breaker. Above it, circuit breakers are ignored.
	maxOpenBreakerPercent = 50
)

// Gate describes a gate and its target for the choice.
type Gate struct {
	Capacity      rsrc.Vector
	Used          rsrc.Vector
	QueuedWork    int64   // work in the gate's queue, in core-milliseconds on a target of speed 1
	Speed         float64 // run time on a target of speed 1 divided by the run time here
	Unavailable   bool    // the gate can't start any task now
	BreakerOpen   bool    // the target's circuit breaker is open
	Avoid         bool    // an earlier placement of the task at this gate was unsuccessful
	RunTimeFactor float64 // multiplies the task's run time at this gate; values below 1 count as 1
	Cold          bool    // the target is slow for some seconds, since it has started or was without work
	Slowdown      float64 // factor by which the runs there slow the task; values below 1 count as 1
	Harm          float64 // sum over the runs there of the share by which the task slows each; 0 for none
}

// Task is the task to place.
type Task struct {
	Size    rsrc.Vector   // required resources
	RunTime time.Duration // expected run time on a target of speed 1
}

// Choice is the gate chosen for a task.
type Choice struct {
	Gate          int           // index of the gate; -1 if none has the capacity
	Wait          time.Duration // expected time until the task starts
	Finish        time.Duration // expected time until the task ends
	IgnoreBreaker bool          // the gate shall ignore the target's open circuit breaker, since too many are open
	Apart         bool          // the gate was chosen because of Slowdown or Harm at another one
}

// Best returns the choice with the earliest expected end, adjusted by a penalty for
// high CPU usage. Among gates with the capacity it prefers, in this order of
// importance, those that are available, those whose circuit breaker is closed, and
// those that are not to be avoided; the expected end decides only between gates that
// are equal in these. Among those, a cold target is used only if the task would wait at
// each warm one, and then it is preferred to a wait. Circuit breakers are ignored if too
// many are open, since then the tasks are more likely at fault than the targets.
func Best(gates []Gate, t Task) Choice {
	ignoreBreakers := tooManyOpenBreakers(gates)
	best := Choice{Gate: -1}
	p := coldPenalty(gates, t, ignoreBreakers)
	bestRank := 0
	var bestCost time.Duration
	for i, g := range gates {
		if !t.Size.Within(g.Capacity) {
			continue
		}
		wait, finish := g.estimate(t)
		cost := finish + g.usagePenalty()
		rank := g.rankWith(p, wait, ignoreBreakers)
		if best.Gate < 0 || rank < bestRank || rank == bestRank && cost < bestCost {
			best = Choice{Gate: i, Wait: wait, Finish: finish, IgnoreBreaker: g.BreakerOpen && ignoreBreakers}
			bestRank, bestCost = rank, cost
		}
	}
	if best.Gate >= 0 && best.Wait == 0 && gates[best.Gate].interferes() {
		return apart(gates, t, best, bestRank, p, ignoreBreakers)
	}
	return best
}

// apart returns the choice with the lowest cost, interference included, among the gates of
// the given rank that can start t at once. The present best choice is one of them.
func apart(gates []Gate, t Task, best Choice, rank int, p penalty, ignoreBreakers bool) Choice {
	first := best.Gate
	bestCost := best.Finish + gates[first].usagePenalty() + gates[first].interference(t)
	for i, g := range gates {
		if !t.Size.Within(g.Capacity) {
			continue
		}
		wait, finish := g.estimate(t)
		cost := finish + g.usagePenalty() + g.interference(t)
		if wait == 0 && cost < bestCost && g.rankWith(p, wait, ignoreBreakers) == rank {
			best = Choice{Gate: i, Finish: finish, IgnoreBreaker: g.BreakerOpen && ignoreBreakers, Apart: true}
			bestCost = cost
		}
	}
	return best
}

// interferes reports whether a task at g and the runs there slow each other down.
func (g Gate) interferes() bool { return g.Slowdown > 1 || g.Harm > 0 }

// interference returns by how much longer t would run at g because of the runs there, and
// these because of t. They overlap until one of them ends.
func (g Gate) interference(t Task) time.Duration {
	if !g.interferes() {
		return 0
	}
	own := (max(g.Slowdown, 1) - 1) * max(g.RunTimeFactor, 1) * float64(t.RunTime)
	others := max(g.Harm, 0) * float64(min(t.RunTime, meanReleaseTime))
	return time.Duration((own + others) / max(g.Speed, minSpeed))
}

// estimate returns the expected times until t starts and ends at g. The wait covers the
// work in the queue and the release of the CPU that t lacks; it is 0 if t fits and the
// queue is empty.
func (g Gate) estimate(t Task) (wait, finish time.Duration) {
	speed := max(g.Speed, minSpeed)
	free := g.Capacity.Minus(g.Used)
	if !t.Size.Within(free) || g.QueuedWork > 0 {
		shortage := float64(max(0, t.Size.CPU-free.CPU)) / float64(max(g.Used.CPU, 1))
		queuedMS := float64(g.QueuedWork) * 1000 / float64(max(g.Capacity.CPU, 1))
		wait = time.Duration((shortage*float64(meanReleaseTime) + queuedMS*float64(time.Millisecond)) / speed)
	}
	factor := max(g.RunTimeFactor, 1)
	return wait, wait + time.Duration(factor*float64(t.RunTime)/speed)
}

// usagePenalty returns the cost of placing a task at g at the current CPU usage.
func (g Gate) usagePenalty() time.Duration {
	used := float64(g.Used.CPU) / float64(max(g.Capacity.CPU, 1))
	return time.Duration(float64(maxUsagePenalty) * used * used * used)
}

// rank returns the sum of the weights of the conditions that speak against g. Costs
// are compared only between gates of equal rank; the lowest rank is best.
func (g Gate) rank(ignoreBreakers bool) int {
	rank := 0
	if g.Avoid {
		rank++
	}
	if g.BreakerOpen && !ignoreBreakers {
		rank += 2
	}
	if g.Unavailable {
		rank += 4
	}
	return rank
}

// tooManyOpenBreakers reports whether more than maxOpenBreakerPercent of the available
// gates have an open circuit breaker.
func tooManyOpenBreakers(gates []Gate) bool {
	available, openBreakers := 0, 0
	for _, g := range gates {
		if g.Unavailable {
			continue
		}
		available++
		if g.BreakerOpen {
			openBreakers++
		}
	}
	return openBreakers*100 > available*maxOpenBreakerPercent
}
