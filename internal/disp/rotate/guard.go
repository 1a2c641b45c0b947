package rotate

import (
	"context"
	"time"
)

// warnTimeout is how long the other entries and the store have to answer an entry that the
// load balancer does not check any more.
const warnTimeout = 100 * time.Millisecond

// Guard ends the jobs of an entry that has been cut off: the load balancer does not check it,
// so callers may have lost their connections, and an entry that these callers may have come
// to can't be told, so nobody else could end the jobs. All fields are required. Its methods
// must not be called concurrently.
type Guard struct {
	Monitor *Monitor
	// WarnOthers tells the other entries that were in contact lately that this one is out of
	// rotation. It returns how many have not answered when ctx ends.
	WarnOthers func(ctx context.Context) (unwarned int)
	// StoreAnswers reports whether the platform's store answers before ctx ends. An entry
	// that has the store is not partitioned: it's the silent entries that are away.
	StoreAnswers func(ctx context.Context) bool
	// EndJobs ends all jobs of this entry, which could not warn so many others.
	EndJobs func(unwarned int)

	unchecked bool // at the last call of Check
}

// Check looks whether the balancer has ceased to check the entry since the last call. If so,
// it warns the other entries, and ends the jobs of an entry that is cut off, without waiting
// for that.
func (g *Guard) Check(ctx context.Context) {
	unchecked := g.Monitor.Unchecked()
	if unchecked && !g.unchecked {
		go g.endJobsIfCutOff(ctx)
	}
	g.unchecked = unchecked
}

func (g *Guard) endJobsIfCutOff(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, warnTimeout)
	defer cancel()
	storeAnswers := make(chan bool, 1)
	go func() { storeAnswers <- g.StoreAnswers(ctx) }()
	if unwarned := g.WarnOthers(ctx); unwarned > 0 && !<-storeAnswers {
		g.EndJobs(unwarned)
	}
}
