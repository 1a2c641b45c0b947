package clock

import (
	"testing"
	"time"
)

// fakeSource is a clock source set by the test. Its times have no monotonic reading,
// so its wall time takes the place of the monotonic time of a VM's clock.
type fakeSource struct{ now time.Time }

func (f *fakeSource) read() time.Time { return f.now }

func TestReadingFollowsReferenceForwardOnly(t *testing.T) {
	ref := time.UnixMilli(1_700_000_000_000)
	f := &fakeSource{now: ref.Add(7 * time.Minute)} // the wall clock of this VM is ahead
	c := &Clock{Source: f.read}
	if !c.Adjust(ref) || !c.Now().Equal(ref) {
		t.Fatalf("not set to the first reference: %v", c.Now())
	}
	f.now = f.now.Add(time.Second)
	if c.Adjust(ref) {
		t.Error("went back to an older reference")
	}
	if got := c.Now(); !got.Equal(ref.Add(time.Second)) {
		t.Errorf("got %v, want one second past the reference", got)
	}
	if c.Adjust(ref.Add(time.Second + Tolerance)) {
		t.Error("adjusted for a difference within the tolerance")
	}
	ahead := ref.Add(3 * time.Minute)
	if !c.Adjust(ahead) || !c.Now().Equal(ahead) {
		t.Errorf("not adjusted to a reference far ahead: %v", c.Now())
	}
}

func TestZeroClockStartsAtWallClock(t *testing.T) {
	var c Clock
	before := time.Now()
	if got := c.Now(); got.Before(before.Round(0)) || time.Since(got) > time.Minute {
		t.Errorf("got %v, want the time of the wall clock", got)
	}
	if c.Until(c.Now().Add(time.Hour)) > time.Hour {
		t.Error("Until returned more than an hour for a time an hour from now")
	}
}
