package lease

import (
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

func TestLeaseIsValidUntilExpiry(t *testing.T) {
	var leases Table
	at := func(d time.Duration) boot.Time { return boot.Time(time.Hour).Add(d) }
	if leases.Holds("e", 1, at(0)) {
		t.Error("a lease holds that was never renewed")
	}
	if !leases.Renew("e", 1, at(time.Second), at(0)) || leases.Renew("e", 1, at(0), at(0)) {
		t.Error("an incarnation must be new at its first renewal only")
	}
	if !leases.Holds("e", 1, at(time.Second-1)) || leases.Holds("e", 1, at(time.Second)) {
		t.Error("a lease must hold until its expiry and no longer, and an earlier expiry must not shorten it")
	}
	if got := leases.NewlyLapsed(at(time.Second)); len(got) != 1 || got[0] != (Lapse{"e", 1, at(time.Second)}) {
		t.Errorf("got %+v", got)
	}
	if got := leases.NewlyLapsed(at(time.Second)); got != nil {
		t.Errorf("lapse returned twice: %+v", got)
	}
	leases.Renew("e", 1, at(3*time.Second), at(2*time.Second))
	if got := leases.NewlyLapsed(at(3 * time.Second)); len(got) != 1 {
		t.Errorf("second lapse: got %+v", got)
	}
}

func TestNewIncarnationEndsPreviousLease(t *testing.T) {
	var leases Table
	leases.Renew("e", 1, 100, 0)
	leases.Renew("e", 2, 100, 0)
	if leases.Holds("e", 1, 50) || !leases.Holds("e", 2, 50) {
		t.Error("the previous incarnation holds a lease, or the new one does not")
	}
}

func TestHolderIsRemovedAfterRetention(t *testing.T) {
	var leases Table
	leases.Renew("e", 1, 100, 0)
	leases.NewlyLapsed(boot.Time(100).Add(retention))
	if leases.Len() != 1 {
		t.Error("holder removed too early")
	}
	leases.NewlyLapsed(boot.Time(101).Add(retention))
	if leases.Len() != 0 {
		t.Error("holder not removed")
	}
}
