package loss

import (
	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// maxItems is the number of losses that a List keeps; older ones are dropped.
const maxItems = 2048

// List is the list of the recent losses at a gate, numbered from 1. The zero value is empty. It is not
// safe for concurrent use.
type List struct {
	last  int64 // number of the newest loss
	items []item
}

// item is a loss and its time.
type item struct {
	msgs.Loss
	at boot.Time
}

// Add adds a loss at now, and numbers it.
func (l *List) Add(c msgs.Loss, now boot.Time) {
	l.last++
	c.Number = l.last
	l.items = append(l.items, item{c, now})
	for len(l.items) > maxItems || now.Sub(l.items[0].at) > Retention {
		l.items = l.items[1:]
	}
}

// Last returns the number of the newest loss that After returns at now; 0 if there is none.
func (l *List) Last(now boot.Time) int64 {
	if n := len(l.items); n > 0 && now.Sub(l.items[n-1].at) <= Retention {
		return l.last
	}
	return 0
}

// After returns the losses within Retention before now that have a higher number.
func (l *List) After(number int64, now boot.Time) []msgs.Loss {
	var losses []msgs.Loss
	for _, i := range l.items {
		if i.Number > number && now.Sub(i.at) <= Retention {
			i.LostFor = now.Sub(i.at).Milliseconds()
			losses = append(losses, i.Loss)
		}
	}
	return losses
}
