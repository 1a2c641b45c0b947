package rotate

import (
	"context"
	"time"
)

const (
	// warnTimeout is how long the other entries have to answer an entry that may have lost
	// its callers.
	warnTimeout = 100 * time.Millisecond
	// maxUnguardedAge is the age from which the jobs of an entry that is cut off are ended.
	// A job that is younger is looked at again after RepeatInterval, before its caller can
	// have lost its connection and have come to another entry.
	maxUnguardedAge = maxCheckAge - RepeatInterval
)

// Guard ends the jobs of an entry that is cut off: it may have lost their callers, and can't
// tell an entry that these may come to, so nobody else could end the jobs. All fields are
// required. Its methods must not be called concurrently.
type Guard struct {
	Monitor *Monitor
	// WarnOthers tells the other entries that were in contact lately that this one is out of
	// rotation. It returns how many have not answered when ctx ends.
	WarnOthers func(ctx context.Context) (unwarned int)
	// EndJobs ends the jobs of this entry whose callers last arrived the given age ago or
	// earlier.
	EndJobs func(age time.Duration, unwarned int)
}

// Check warns the other entries if this one may have lost its callers, and ends its jobs if it
// is cut off. It does not wait for that. It is to be called at least every RepeatInterval, and
// when Monitor.Await returns.
func (g *Guard) Check(ctx context.Context) {
	if g.Monitor.Out() {
		go g.endJobsIfCutOff(ctx)
	}
}

func (g *Guard) endJobsIfCutOff(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, warnTimeout)
	defer cancel()
	if unwarned := g.WarnOthers(ctx); unwarned > 0 {
		g.EndJobs(maxUnguardedAge, unwarned)
	}
}
