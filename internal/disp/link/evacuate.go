package link

import (
	"github.com/gypsumlanding/gypsumlanding/internal/disp/evac"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// OrdersChanged makes the link look at Orders, and tell the gate at once if the order of its
// failure domain is new.
func (l *Link) OrdersChanged() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.orderUnconfirmed() {
		l.waker.Wake()
	}
}

// order returns the newest order of the gate's failure domain, or the zero Order if there is
// none or the gate has not answered yet. The caller holds mu.
func (l *Link) order() evac.Order {
	if l.Orders == nil || l.load.Domain == "" {
		return evac.Order{}
	}
	return l.Orders.Of(l.load.Domain)
}

// orderToSend returns the order that the next message carries.
func (l *Link) orderToSend() msgs.Order {
	l.mu.Lock()
	defer l.mu.Unlock()
	return msgs.Order(l.order())
}

// orderUnconfirmed reports whether the gate has not answered a Sync call with the newest
// order of its failure domain. The caller holds mu.
func (l *Link) orderUnconfirmed() bool {
	o := l.order()
	return o.Version > 0 && o != l.confirmed
}

// confirmOrder records that the gate has answered a Sync call with o.
func (l *Link) confirmOrder(o evac.Order) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.confirmed = o
}
