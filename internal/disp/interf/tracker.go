package interf

import (
	"math"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

const (
	// idleTime is how long a kind must have had no run before another kind may take its
	// place. Kinds in use thus stay during a flood of other kinds.
	idleTime = 5 * time.Second
	// minLevelWeight is the least weight of a run in the moving mean of the target's level.
	// About the latest 17 runs count, which are less than a second at 20 runs a second.
	minLevelWeight = 0.06
	// driftWeight is the weight of a run in the moving mean of the latest residuals, and
	// maxDrift the mean, in standard deviations, from which the level has changed. By chance
	// the mean has a standard deviation of 0.33.
	driftWeight = 0.2
	maxDrift    = 1.0
	// levelLifetime is the time without a run after which the level starts anew.
	levelLifetime = 2 * time.Second
	// maxTimeDifference and maxTimeShare bound by how much the time between the start and the
	// end of a run, as the Tracker was told of them, may differ from the run time. Otherwise
	// the runs beside it are not known well enough.
	maxTimeDifference = 40 * time.Millisecond
	maxTimeShare      = 0.25
)

// Tracker observes the runs of one target. The zero value is usable. It is not safe for
// concurrent use.
type Tracker struct {
	kinds  [maxKinds]*kind // nil if unused
	now    boot.Time       // newest time that was passed in
	level  float64         // moving mean of the logarithm by which runs of all kinds take longer than expected
	levelN int             // runs in level
	drift  float64         // moving mean of the latest residuals, in standard deviations
	lastAt boot.Time       // time of the newest observation
	pairs  []reportedPair
}

// kind is what a Tracker keeps of one kind.
type kind struct {
	name     string
	runs     int           // runs at the target
	lastUsed boot.Time     // when the newest run began or ended
	one      time.Duration // sum of the times with at least one run
	two      time.Duration // sum of the times with at least two runs
	fit      fit
}

// Mark is the start of a run.
type Mark struct {
	kind    int // index of its kind
	at      boot.Time
	present [maxKinds]time.Duration // for each kind, the sum of the times with another run of it
}

// Begin records that a run of a kind begins at now. The result is to be passed to End. It
// is nil if the kind is not observed, for lack of a name or since too many others are.
func (t *Tracker) Begin(name string, now boot.Time) *Mark {
	i := t.indexFor(name, now)
	if i < 0 {
		return nil
	}
	t.advance(now)
	k := t.kinds[i]
	k.runs++
	k.lastUsed = t.now
	m := &Mark{kind: i, at: t.now}
	t.readPresent(i, &m.present)
	return m
}

// End records that a run ends at now, after the given run time, which was expected to be
// expected at speed 1. The run counts only for those beside it if either is not positive.
// End returns the changes of the pairs found, which are few.
func (t *Tracker) End(m *Mark, now boot.Time, expected, runTime time.Duration) []Change {
	if m == nil {
		return nil
	}
	t.advance(now)
	k := t.kinds[m.kind]
	var present [maxKinds]time.Duration
	t.readPresent(m.kind, &present)
	k.runs--
	k.lastUsed = t.now
	span := t.now.Sub(m.at)
	difference := (span - runTime).Abs()
	if expected <= 0 || runTime <= 0 || difference > max(maxTimeDifference, time.Duration(maxTimeShare*float64(runTime))) {
		return nil
	}
	var shares [maxKinds]float64
	for i := range shares {
		shares[i] = min(1, float64(present[i]-m.present[i])/float64(max(span, 1)))
	}
	return t.observe(m.kind, &shares, float64(expected), float64(runTime))
}

// Runs calls yield with the number of runs of each kind that has some.
func (t *Tracker) Runs(yield func(kind string, runs int)) {
	for _, k := range t.kinds {
		if k != nil && k.runs > 0 {
			yield(k.name, k.runs)
		}
	}
}

// observe adds a run to the fit of its kind and, now and then, evaluates that.
func (t *Tracker) observe(i int, shares *[maxKinds]float64, expected, runTime float64) []Change {
	if t.now.Sub(t.lastAt) > levelLifetime {
		t.levelN = 0
	}
	t.lastAt = t.now
	f := &t.kinds[i].fit
	ratio := math.Log(runTime / expected)
	if t.levelN == 0 {
		t.level = ratio - f.coef[intercept]
	}
	residual := f.add(shares, math.Log(expected), ratio-t.level, t.now)
	t.levelN++
	t.level += max(minLevelWeight, 1/float64(t.levelN+1)) * residual
	// A slow period begins or ends at once, and the level must not lag behind by many runs:
	// those would seem to be slowed by whatever ran beside them.
	t.drift += driftWeight * (residual/math.Sqrt(f.variance) - t.drift)
	if math.Abs(t.drift) > maxDrift {
		t.level += t.drift * math.Sqrt(f.variance)
		t.drift = 0
	}
	if t.pairHasEnded(i) {
		f.distrust()
	} else if f.unsolved < solveInterval {
		return nil
	}
	f.solve()
	return t.evaluate(i)
}

// advance adds the time since the last call to the sums of all kinds with runs.
func (t *Tracker) advance(now boot.Time) {
	if now <= t.now {
		return
	}
	elapsed := now.Sub(t.now)
	t.now = now
	for _, k := range t.kinds {
		if k == nil {
			continue
		}
		if k.runs >= 1 {
			k.one += elapsed
		}
		if k.runs >= 2 {
			k.two += elapsed
		}
	}
}

// readPresent sets for each kind the sum of the times with another run of it, as seen by a
// run of kind own.
func (t *Tracker) readPresent(own int, present *[maxKinds]time.Duration) {
	for i, k := range t.kinds {
		switch {
		case k == nil:
		case i == own:
			present[i] = k.two
		default:
			present[i] = k.one
		}
	}
}

// indexFor returns the index of a kind. A kind that is not known takes an unused place, or
// that of the kind that has been idle for longest. The result is -1 if there is none.
func (t *Tracker) indexFor(name string, now boot.Time) int {
	if name == "" || len(name) > maxNameLength {
		return -1
	}
	place := -1
	for i, k := range t.kinds {
		switch {
		case k == nil:
			if place < 0 || t.kinds[place] != nil {
				place = i
			}
		case k.name == name:
			return i
		case k.runs > 0 || now.Sub(k.lastUsed) < idleTime || t.inPair(k.name):
		case place < 0 || t.kinds[place] != nil && k.lastUsed < t.kinds[place].lastUsed:
			place = i
		}
	}
	if place >= 0 {
		t.replace(place, name)
	}
	return place
}

// replace makes the kind with the given name take a place. What is known of the effects of
// the kind before on others is forgotten.
func (t *Tracker) replace(place int, name string) {
	next := &kind{name: name}
	if previous := t.kinds[place]; previous != nil {
		next.one, next.two = previous.one, previous.two // so that they never decrease
		for _, k := range t.kinds {
			if k != nil {
				k.fit.forget(place)
			}
		}
	}
	t.kinds[place] = next
}
