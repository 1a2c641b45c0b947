package rules

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
)

const (
	usualDelay   = 2 * time.Millisecond   // longest that most calls and answers take at a target, or on their way
	rareDelay    = 40 * time.Millisecond  // the same for one of rareEvery
	rareEvery    = 16                     // of so many calls one is slow
	maxCopyTime  = time.Millisecond       // longest time between the copies of the two lists
	maxClockGap  = 3 * time.Millisecond   // longest time between the copies and the reading of the clock
	maxStopTime  = 50 * time.Millisecond  // longest time from the order to stop a run until its end
	maxAnswering = 200 * time.Millisecond // longest time from the listing of a slow poll until it is answered
	maxLateness  = 4 * time.Second        // longest time from a lost call until it is executed
	leaseTime    = 600 * time.Millisecond // how long the orders of gates are valid; most late calls come within it
	maxListedEnd = 500                    // ends in one listing
	fewEnds      = 3                      // the same where schedules are random, which have few ends at a time
)

// step is what takes a target some time.
type step int

const (
	execution    step = iota // from the arrival of a call until it is executed
	transit                  // from an answer until it arrives
	copying                  // from the copy of the first list until that of the second
	clockReading             // from the copy of the lists until the clock is read
	stopping                 // from the order to stop a run until its end
	lateness                 // from the loss of a call until it is executed
	crashing                 // from the start of a mute run until its target is down
	answering                // from the listing of a slow poll until it is answered
)

// option is what a target may do in either of two ways.
type option int

const (
	clockFirst   option = iota // the clock is read before a call is executed, or the lists are copied
	endsFirst                  // the ended runs are copied before those in progress
	hidesStopped               // a run that is being stopped is not listed as running
	worksOn                    // a run that is being stopped works on, and may end by itself
	executesLost               // a lost call is executed at once
	executesLate               // a lost call that is not executed at once is executed later
	startsMute                 // a mute run starts before it takes the target down
)

// behavior is what the platform leaves open about a target. A call is named by what it
// orders and how often that was ordered before.
type behavior interface {
	delay(s step, call string) time.Duration
	chooses(o option, call string) bool
	listedEnds() int // in one listing
}

// randomBehavior is a behavior that follows from a seed and the name of the target, not from
// the order in which goroutines run, so that a schedule can be replayed.
type randomBehavior struct {
	seed   int
	target string
}

// number returns a random number for a call.
func (b randomBehavior) number(what, call string) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, b.seed, "/", b.target, "/", what, "/", call)
	n := h.Sum64()
	for range 2 {
		n ^= n >> 31
		n *= 0x9E3779B97F4A7C15 // mixes the bits: the last bytes of the text hardly reach the upper ones
	}
	return n ^ n>>29
}

// delay returns how long a step takes.
func (b randomBehavior) delay(s step, call string) time.Duration {
	n := b.number(fmt.Sprint("delay", s), call)
	longest := usualDelay
	switch {
	case s == copying:
		longest = maxCopyTime
	case s == clockReading:
		longest = maxClockGap
	case s == stopping:
		longest = maxStopTime
	case s == answering:
		longest = maxAnswering
	case s == lateness && n%2 == 0:
		longest = leaseTime
	case s == lateness:
		longest = maxLateness
	case n%rareEvery == 0:
		longest = rareDelay
	}
	return time.Duration(n / rareEvery % uint64(longest+1))
}

// chooses reports whether the target takes an option.
func (b randomBehavior) chooses(o option, call string) bool {
	return b.number(fmt.Sprint("option", o), call)%2 == 0
}

func (b randomBehavior) listedEnds() int { return fewEnds }

// scripted is a behavior for a directed test. What it does not say takes no time and is not
// chosen.
type scripted struct {
	delays  func(s step, call string) time.Duration
	options func(o option, call string) bool
}

func (b scripted) delay(s step, call string) time.Duration {
	if b.delays == nil {
		return 0
	}
	return b.delays(s, call)
}

func (b scripted) chooses(o option, call string) bool { return b.options != nil && b.options(o, call) }

func (b scripted) listedEnds() int { return maxListedEnd }

// setBehavior replaces the behavior of the target.
func (t *target) setBehavior(b behavior) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behavior = b
}

// callName names a call for the behavior. t.mu must be held.
func (t *target) callName(verb, task string, run int) string {
	name := verb
	if task != "" {
		name = fmt.Sprintf("%s %s/%d", verb, task, run)
	}
	t.calls[name]++
	return fmt.Sprintf("%s #%d", name, t.calls[name])
}

// pause lets a step of a call take its time. It reports whether the target is still in the
// same incarnation then, and up. t.mu must be held, and is released during the pause.
func (t *target) pause(s step, call string) bool {
	d, incarnation := t.behavior.delay(s, call), t.incarnation
	if d > 0 {
		t.mu.Unlock()
		time.Sleep(d)
		t.mu.Lock()
	}
	return !t.down && t.incarnation.Same(incarnation)
}

// answerOf lets a target serve a call and returns the answer, or targ.ErrUnanswered if that
// does not arrive before ctx is done. The call goes its way all the same.
func answerOf[T any](ctx context.Context, serve func() (T, error)) (T, error) {
	type answer struct {
		value T
		err   error
	}
	answers := make(chan answer, 1)
	go func() {
		value, err := serve()
		answers <- answer{value, err}
	}()
	select {
	case a := <-answers:
		return a.value, a.err
	case <-ctx.Done():
		var zero T
		return zero, targ.ErrUnanswered
	}
}

// carryOut lets an order arrive, be executed and be answered, with some time between. It
// returns the reading of the target's clock in the answer. t.mu must be held.
func (t *target) carryOut(ctx context.Context, l targ.Incarnation, call string, execute func() error) (int64, error) {
	if err := t.receive(ctx, l, call, func() { _ = execute() }); err != nil {
		return 0, err
	}
	clock := t.clockMS()
	if !t.pause(execution, call) {
		return 0, targ.ErrUnanswered
	}
	err := execute()
	if !t.behavior.chooses(clockFirst, call) {
		clock = t.clockMS()
	}
	if errors.Is(err, targ.ErrUnanswered) {
		return 0, err
	}
	t.pause(transit, call)
	return clock, err
}
