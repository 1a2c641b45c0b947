package lease

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

// keep is how long a holder is remembered after its lease has lapsed.
const keep = time.Minute

// Book is the leases of some holders, by name. The zero value has none. It is not
// safe for concurrent use.
type Book struct{ holders map[string]*holder }

// holder is what is known of one holder.
type holder struct {
	life  uint64
	until boot.Time
	told  bool // the lapse has been told
}

// Lapse is a lease that has lapsed.
type Lapse struct {
	Holder string
	Life   uint64
	Until  boot.Time
}

// Renew has the lease of a holder's life last until a moment, unless it lasts
// longer already, and reports whether the life is new. A new life takes the place
// of the former, whose lease ends.
func (b *Book) Renew(name string, life uint64, until, now boot.Time) bool {
	if b.holders == nil {
		b.holders = map[string]*holder{}
	}
	h := b.holders[name]
	fresh := h == nil || h.life != life
	if fresh {
		h = &holder{life: life}
		b.holders[name] = h
	}
	h.until = max(h.until, until)
	h.told = h.told && now >= h.until
	return fresh
}

// Holds tells whether the lease of a holder's life holds at now.
func (b *Book) Holds(name string, life uint64, now boot.Time) bool {
	h := b.holders[name]
	return h != nil && h.life == life && now < h.until
}

// Lapsed returns the leases that have lapsed since it was asked last, and forgets
// holders that have been without one for long.
func (b *Book) Lapsed(now boot.Time) []Lapse {
	var lapsed []Lapse
	for name, h := range b.holders {
		if now >= h.until && !h.told {
			h.told = true
			lapsed = append(lapsed, Lapse{name, h.life, h.until})
		}
		if now.Sub(h.until) > keep {
			delete(b.holders, name)
		}
	}
	return lapsed
}

// Len returns the number of holders that are known.
func (b *Book) Len() int { return len(b.holders) }
