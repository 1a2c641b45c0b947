package lease

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

// retention is how long a holder stays in the table after its lease has lapsed.
const retention = time.Minute

// Table holds the leases of named holders. The zero value is empty and ready to
// use. It is not safe for concurrent use.
type Table struct{ holders map[string]*holder }

// holder is the newest incarnation of a holder and its lease.
type holder struct {
	incarnation uint64
	expiry      boot.Time
	reported    bool // NewlyLapsed has returned the lapse
}

// Lapse is a lease that has lapsed, at Expiry.
type Lapse struct {
	Holder      string
	Incarnation uint64
	Expiry      boot.Time
}

// Renew extends the lease of a holder's incarnation to expiry, unless it already
// lasts longer, and reports whether the incarnation is new. A new incarnation
// replaces the previous one, whose lease ends.
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

// Holds reports whether a holder's incarnation holds a lease at now.
func (t *Table) Holds(name string, incarnation uint64, now boot.Time) bool {
	h := t.holders[name]
	return h != nil && h.incarnation == incarnation && now < h.expiry
}

// LapsedFor returns how long the lease of a holder's incarnation has lapsed at now. It is
// not positive while the lease lasts, and 0 if the incarnation is not in the table.
func (t *Table) LapsedFor(name string, incarnation uint64, now boot.Time) time.Duration {
	h := t.holders[name]
	if h == nil || h.incarnation != incarnation {
		return 0
	}
	return now.Sub(h.expiry)
}

// NewlyLapsed returns the leases that have lapsed by now and that no earlier call
// has returned, and removes holders whose leases lapsed more than retention ago.
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

// Len returns the number of holders in the table.
func (t *Table) Len() int { return len(t.holders) }
