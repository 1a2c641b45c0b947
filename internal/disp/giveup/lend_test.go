package giveup

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

// lend lends the entry a listing.
func (f *fake) lend() { f.Lend("e", f.Now().Add(ListingTime)) }

// timeToTell returns how long it takes to tell of a job.
func (f *fake) timeToTell(job string) time.Duration {
	start := time.Now()
	f.Tell(context.Background(), job)
	return time.Since(start)
}

// An entry that has lent its listing must not start a job before the others that rely on the listing
// know of it, or can't rely on it any more.
func TestJobStartsWhenAllThatRelyOnAListingKnowOfIt(t *testing.T) {
	for name, tt := range map[string]struct {
		change func(f *fake)
		want   time.Duration
	}{
		"nobody has a listing":   {change: func(*fake) {}},
		"it answers":             {func(f *fake) { f.lend(); f.delay = 30 * time.Millisecond }, 30 * time.Millisecond},
		"it does not answer":     {func(f *fake) { f.lend(); f.delay = -1 }, ListingTime},
		"it refuses connections": {func(f *fake) { f.lend(); f.err = errDown }, ListingTime},
		"its listing is old":     {func(f *fake) { f.lend(); f.delay = -1; time.Sleep(ListingTime) }, 0},
		"its listing has been renewed": {func(f *fake) {
			f.lend()
			f.delay = -1
			time.Sleep(ListingTime / 2)
			f.lend()
		}, ListingTime},
		"it has the job": {func(f *fake) {
			f.lend()
			f.hasJob = true
			time.AfterFunc(time.Second, func() { f.update(func() { f.hasJob = false }) })
		}, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFake(t)
				tt.change(f)
				if lent := f.HasLent(); lent != (tt.want > 0) {
					t.Errorf("has lent a listing is %v", lent)
				}
				if took := f.timeToTell("j"); took < tt.want || took > tt.want+20*time.Millisecond {
					t.Errorf("took %v, want %v", took, tt.want)
				}
			})
		})
	}
}

// Jobs that start at the same moment are told of in one call.
func TestJobsShareClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake(t)
		f.lend()
		var orders []Order
		ask := f.Ask
		f.Ask = func(ctx context.Context, addr string, o Order, fresh bool) (Reply, error) {
			orders = append(orders, o)
			return ask(ctx, addr, o, fresh)
		}
		f.delay = 50 * time.Millisecond
		go f.Tell(context.Background(), "j")
		boot.Sleep(context.Background(), time.Millisecond)
		go f.Tell(context.Background(), "k")
		f.timeToTell("l")
		if len(orders) != 2 || !slices.Equal(orders[1].Claims, []string{"k", "l"}) || len(orders[1].Jobs) > 0 {
			t.Errorf("got %+v", orders)
		}
	})
}
