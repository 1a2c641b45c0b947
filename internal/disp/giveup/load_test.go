package giveup

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/gate"
)

const (
	crowdJobs    = 20
	crowdEntries = 9
	crowdGates   = 59
	// maxGoroutinesPerQuestion bounds what one job costs for each other entry. A goroutine takes
	// some 3 KB, and hundreds of jobs wait at an entry of 144 MB after all processes were lost.
	maxGoroutinesPerQuestion = 6
)

// addrs returns n addresses with the given prefix.
func addrs(prefix string, n int) []string {
	var all []string
	for i := range n {
		all = append(all, fmt.Sprint(prefix, i))
	}
	return all
}

// After all processes had lost power, callers submitted their jobs again while no entry could
// prove anything. Each job took a goroutine for each gate of each entry, so that small entries
// came close to their memory limit, and no processor time was left for callers.
func TestManyJobsWithoutProofCostLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake(addrs("g", crowdGates)...)
		f.delay, f.running = -1, true
		ctx, cancel := context.WithCancel(t.Context())
		before := runtime.NumGoroutine()
		for i := range crowdJobs {
			go f.GiveUp(ctx, addrs("e", crowdEntries), fmt.Sprint("j", i))
		}
		time.Sleep(time.Second)
		if n := runtime.NumGoroutine() - before; n > crowdJobs*crowdEntries*maxGoroutinesPerQuestion {
			t.Errorf("%d goroutines for %d jobs and %d entries", n, crowdJobs, crowdEntries)
		}
		f.update(func() {
			// Each call is repeated with the timestamp of the gate.
			if limit := 2 * crowdGates * int(time.Second/batchInterval+2); f.revoked > limit {
				t.Errorf("%d calls to gates within a second, want at most %d", f.revoked, limit)
			}
		})
		cancel()
		time.Sleep(5 * time.Second) // until the calls in progress have ended
	})
}

// Jobs that came within the second after a start waited for the leases of all entries that had
// just started too, though the gates were known moments later and could tell.
func TestGatesAreAskedOnceTheyAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const knownAfter = 300 * time.Millisecond
		f := newFake("g")
		f.reply.OrphansFor = gate.MaxOrphanTime
		start := time.Now()
		f.Gates = func(string) ([]string, bool) { return []string{"g"}, time.Since(start) >= knownAfter }
		if took := f.timeToGiveUp("j"); took < knownAfter || took > knownAfter+2*gatesCheckInterval {
			t.Errorf("took %v, want the gates' word soon after %v", took, knownAfter)
		}
	})
}
