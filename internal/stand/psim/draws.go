package psim

import (
	"math/rand/v2"
	"sync"
	"time"
)

// The platform's pages promise no more than this of a target. A target that does better
// would hide what the dispatcher must not rely on, so all of it happens in each test.
const (
	startPath = "/-/run-start"
	stopPath  = "/-/run-stop"
	pollPath  = "/-/hold"

	maxClockDelay  = 3 * time.Millisecond  // between the copies of the lists and the reading of the clock
	maxListGap     = 3 * time.Millisecond  // between the copies of the two lists, in either order
	stopBound      = 50 * time.Millisecond // until a run that is stopped has ended, as the processes are told
	maxStopTime    = 45 * time.Millisecond // the same as drawn, since timers may need some of the bound
	heldBackShare  = 0.03                  // share of answers that newer ones overtake
	maxHoldBack    = 30 * time.Millisecond // how long such an answer is held back
	slowStartShare = 0.03                  // share of starts that are executed or answered slowly
	maxStartDelay  = 40 * time.Millisecond // how long such a start takes
	maxLateness    = 3 * time.Second       // until an order without an answer is executed
	maxListedEnds  = 500                   // ends in one listing
)

// draws are the random choices of the targets. Make one with newDraws. It is safe for
// concurrent use.
type draws struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newDraws(seed uint64) *draws { return &draws{rng: rand.New(rand.NewPCG(seed, 0))} }

// happens reports true with the given probability.
func (d *draws) happens(probability float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.Float64() < probability
}

// oneOf returns one of 0 to n-1.
func (d *draws) oneOf(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.IntN(n)
}

// shuffle puts n elements into a random order.
func (d *draws) shuffle(n int, swap func(i, j int)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rng.Shuffle(n, swap)
}

// upTo returns a duration that is not negative and less than limit.
func (d *draws) upTo(limit time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.rng.Int64N(int64(limit)))
}

// startDelay is when a start is slow. At most one of its fields is positive.
type startDelay struct {
	beforeExecution time.Duration // the clock is read after it
	afterClock      time.Duration // before the execution, but the answer has the earlier clock
	afterExecution  time.Duration // the clock is read after it
}

// startDelay returns the delay of an order at the given path.
func (d *draws) startDelay(path string) startDelay {
	if path != startPath || !d.happens(slowStartShare) {
		return startDelay{}
	}
	delay := d.upTo(maxStartDelay)
	switch d.oneOf(3) {
	case 0:
		return startDelay{beforeExecution: delay}
	case 1:
		return startDelay{afterClock: delay}
	}
	return startDelay{afterExecution: delay}
}
