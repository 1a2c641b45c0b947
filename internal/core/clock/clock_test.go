package clock

import (
	"testing"
	"time"
)

// fake is a VM's clock: a monotonic part that only rises, and a wall part that
// jumps. time.Time without a monotonic reading stands for both here.
type fake struct{ now time.Time }

func (f *fake) read() time.Time { return f.now }

func TestReadingFollowsTheReferenceForwardOnly(t *testing.T) {
	ref := time.UnixMilli(1_700_000_000_000)
	f := &fake{now: ref.Add(7 * time.Minute)} // this VM's wall clock is ahead
	c := &Clock{Source: f.read}
	if !c.Adjust(ref) || !c.Now().Equal(ref) {
		t.Fatalf("first reference not taken: %v", c.Now())
	}
	f.now = f.now.Add(time.Second)
	if c.Adjust(ref) {
		t.Error("went back to an older reference")
	}
	if got := c.Now(); !got.Equal(ref.Add(time.Second)) {
		t.Errorf("got %v, want one second past the reference", got)
	}
	if c.Adjust(ref.Add(time.Second + Tolerance)) {
		t.Error("jumped for a difference within the tolerance")
	}
	ahead := ref.Add(3 * time.Minute)
	if !c.Adjust(ahead) || !c.Now().Equal(ahead) {
		t.Errorf("did not follow a reference that jumped ahead: %v", c.Now())
	}
}

func TestZeroClockStartsAtTheWallClock(t *testing.T) {
	var c Clock
	before := time.Now()
	if got := c.Now(); got.Before(before.Round(0)) || time.Since(got) > time.Minute {
		t.Errorf("got %v", got)
	}
	if c.Until(c.Now().Add(time.Hour)) > time.Hour {
		t.Error("an hour from now is more than an hour away")
	}
}
