package lease

import (
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

func TestLeaseHoldsUntilItsEnd(t *testing.T) {
	var b Book
	at := func(d time.Duration) boot.Time { return boot.Time(time.Hour).Add(d) }
	if b.Holds("e", 1, at(0)) {
		t.Error("nobody has renewed it")
	}
	if !b.Renew("e", 1, at(time.Second), at(0)) || b.Renew("e", 1, at(0), at(0)) {
		t.Error("a life is new once")
	}
	if !b.Holds("e", 1, at(time.Second-1)) || b.Holds("e", 1, at(time.Second)) {
		t.Error("it holds until its end and no longer, and an older stamp does not shorten it")
	}
	if got := b.Lapsed(at(time.Second)); len(got) != 1 || got[0] != (Lapse{"e", 1, at(time.Second)}) {
		t.Errorf("got %+v", got)
	}
	if got := b.Lapsed(at(time.Second)); got != nil {
		t.Errorf("told twice: %+v", got)
	}
	b.Renew("e", 1, at(3*time.Second), at(2*time.Second))
	if got := b.Lapsed(at(3 * time.Second)); len(got) != 1 {
		t.Errorf("a second lapse: got %+v", got)
	}
}

func TestNewLifeEndsTheFormersLease(t *testing.T) {
	var b Book
	b.Renew("e", 1, 100, 0)
	b.Renew("e", 2, 100, 0)
	if b.Holds("e", 1, 50) || !b.Holds("e", 2, 50) {
		t.Error("the former life holds a lease")
	}
}

func TestHolderIsForgotten(t *testing.T) {
	var b Book
	b.Renew("e", 1, 100, 0)
	b.Lapsed(boot.Time(100).Add(keep))
	if b.Len() != 1 {
		t.Error("forgotten too early")
	}
	b.Lapsed(boot.Time(101).Add(keep))
	if b.Len() != 0 {
		t.Error("not forgotten")
	}
}
