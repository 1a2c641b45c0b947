package lease

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

// keep is how long a holder is remembered after its lease has lapsed.
const retention = time.Minute

// Book is the leases of some holders, by name. The zero value has none. It is not
// safe for concurrent use.
type Table struct{ holders map[string]*holder }

// holder is what is known of one holder.
type holder struct {
	incarnation uint64
	expiry      boot.Time
	reported    bool // the lapse has been told
}

// Lapse is a lease that has lapsed.
type Lapse struct {
	Holder      string
	Incarnation uint64
	Expiry      boot.Time
}

// Renew has the lease of a holder's life last until a moment, unless it lasts
// longer already, and reports whether the life is new. A new life takes the place
// of the former, whose lease ends.
func (t *Table) Renew(name string, incarnation uint64, expiry, now boot.Time) bool {
	if t.holders == nil {
		t.holders = map[string]*holder{}
	}
	h := t.holders[name]
	isNew := h == nil || h.incarnation != incarnation
	if isNew {
		h = &holder{incarnation: incarnation}
		t.holders[name] = h
	}
	h.expiry = max(h.expiry, expiry)
	h.reported = h.reported && now >= h.expiry
	return isNew
}

// Holds tells whether the lease of a holder's life holds at now.
func (t *Table) Holds(name string, incarnation uint64, now boot.Time) bool {
	h := t.holders[name]
	return h != nil && h.incarnation == incarnation && now < h.expiry
}

// Lapsed returns the leases that have lapsed since it was asked last, and forgets
// holders that have been without one for long.
func (t *Table) NewlyLapsed(now boot.Time) []Lapse {
	var lapsed []Lapse
	for name, h := range t.holders {
		if now >= h.expiry && !h.reported {
			h.reported = true
			lapsed = append(lapsed, Lapse{name, h.incarnation, h.expiry})
		}
		if now.Sub(h.expiry) > retention {
			delete(t.holders, name)
		}
	}
	return lapsed
}

// Len returns the number of holders that are known.
func (t *Table) Len() int { return len(t.holders) }
