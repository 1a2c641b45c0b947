package giveup

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

// giveUpMany gives up n jobs of the entries at addrs at once, and waits for that.
func (f *fake) giveUpMany(n int, addrs ...string) {
	var done sync.WaitGroup
	for i := range n {
		done.Go(func() { f.GiveUp(context.Background(), addrs, fmt.Sprint("j", i)) })
	}
	done.Wait()
}

// A call for each job and each other entry kept entries that were short of processor time from
// answering the load balancer, so that they were asked on.
func TestSlowEntryGetsFewCallsForManyJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake(t, "g")
		f.delay = 150 * time.Millisecond
		f.giveUpMany(500, "e")
		if f.asked > 3 {
			t.Errorf("%d calls", f.asked)
		}
	})
}

// Each job that waited for a silent entry opened connections of its own to it.
func TestSilentEntryGetsFewCallsForManyJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake(t, "g")
		f.delay, f.running = -1, true
		time.AfterFunc(3*time.Second, func() { f.update(func() { f.running = false }) })
		f.giveUpMany(500, "e")
		if f.asked > 2*maxCalls {
			t.Errorf("%d calls within 3 s", f.asked)
		}
	})
}

// Questions of a time in which many jobs come are bounded by the clock, not by jobs times entries, and
// more so while the entry has its connections to open.
func TestQuestionsOfAnEntryAreBounded(t *testing.T) {
	const entries, period = 99, 4 * time.Second
	for name, tt := range map[string]struct {
		hasStarted bool // just now
		interval   time.Duration
	}{
		"it has run for long": {interval: callInterval},
		"it has just started": {hasStarted: true, interval: startInterval},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFake(t, "g")
				f.delay = time.Millisecond
				if tt.hasStarted {
					f.Started = f.Now()
				}
				ctx, cancel := context.WithTimeout(t.Context(), period)
				defer cancel()
				for i := 0; ctx.Err() == nil; i++ {
					go f.GiveUpIfKnown(ctx, addrs("e", entries), fmt.Sprint("j", i))
					boot.Sleep(ctx, 10*time.Millisecond)
				}
				f.update(func() {
					if limit := callBurst + entries + int(period/tt.interval); f.asked > limit {
						t.Errorf("%d calls within %v, want at most %d", f.asked, period, limit)
					}
				})
				time.Sleep(time.Second)
			})
		})
	}
}

// outFake returns an entry that is out of rotation, and has just listed the given jobs.
func outFake(t *testing.T, jobs ...string) *fake {
	f := newFake(t, "g")
	f.StoreListing("e", f.Now(), jobs)
	return f
}

// asks reports whether the entry is asked about a job whose caller has waited.
func (f *fake) asks(job string) bool {
	before := f.asked
	f.GiveUpUnlessUnlisted(context.Background(), []string{"e"}, job)
	return f.asked > before
}

// A listing proves that an entry has no job only while it has to tell of each other one.
func TestEntryIsAskedUnlessItsListingProvesThatItHasNotTheJob(t *testing.T) {
	for name, tt := range map[string]struct {
		change func(f *fake)
		want   bool
	}{
		"the listing lacks the job":           {change: func(*fake) {}},
		"the listing has the job":             {func(f *fake) { f.StoreListing("e", f.Now(), []string{"j"}) }, true},
		"the entry has told of the job since": {func(f *fake) { f.Claim("e", []string{"j"}) }, true},
		"the entry has told of another job":   {func(f *fake) { f.Claim("e", []string{"k"}) }, false},
		"another entry has told of the job":   {func(f *fake) { f.Claim("d", []string{"j"}) }, false},
		"the listing is old":                  {func(*fake) { time.Sleep(ListingTime) }, true},
		"the entry has been forgotten":        {func(f *fake) { f.Expire("e") }, true},
		"an older listing is read later":      {func(f *fake) { f.StoreListing("e", f.Now().Add(-ListingTime/2), []string{"j"}) }, false},
		"the listing is of the future":        {func(f *fake) { f.Expire("e"); f.StoreListing("e", f.Now().Add(time.Hour), nil) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := outFake(t, "first")
				time.Sleep(askRetryTime)
				tt.change(f)
				if got := f.asks("j"); got != tt.want {
					t.Errorf("asked is %v, want %v", got, tt.want)
				}
			})
		})
	}
}

// A caller that submits its job again at once can come from a later incarnation than the one that has
// listed its jobs.
func TestEntryWithListingIsAskedAboutRepeatedJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := outFake(t)
		before := f.asked
		f.GiveUp(context.Background(), []string{"e"}, "j")
		f.GiveUpIfKnown(context.Background(), []string{"e"}, "k")
		if n := f.asked - before; n != 2 {
			t.Errorf("asked %d times", n)
		}
	})
}

// The claims of an entry that is out for long must not pile up.
func TestOldClaimsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake(t)
		for i := range 1000 {
			f.Claim("e", []string{fmt.Sprint("j", i)})
			time.Sleep(100 * time.Millisecond)
		}
		if n := len(f.claims["e"]); n > int(2*ListingTime/(100*time.Millisecond))+1 {
			t.Errorf("%d claims", n)
		}
	})
}
