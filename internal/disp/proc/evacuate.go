package proc

import (
	"github.com/gypsumlanding/gypsumlanding/internal/disp/evac"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/gate"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// ApplyOrder applies an order to evacuate a failure domain, or to take it back, unless a
// newer one is known. The links to all gates tell those of the domain at once. It logs from
// as the source.
func (e *Entry) ApplyOrder(o evac.Order, from string) {
	known := e.Orders.Of(o.Domain)
	changed := e.Orders.Apply(o)
	if changed {
		event := gate.TakenBackEvent
		if o.Evacuated {
			event = gate.EvacuatedEvent
		}
		e.Event(event, "domain", o.Domain, "version", o.Version, "from", from)
	}
	if changed || e.Orders.Of(o.Domain) != known {
		e.wakeLinks()
	}
}

// ApplyListing applies a complete listing of the store, in which the given domains are
// evacuated: evacuations that it lacks, and that are older than its version, are taken back.
func (e *Entry) ApplyListing(version int64, listed []string, from string) {
	for _, o := range e.Orders.Absent(version, listed) {
		e.ApplyOrder(o, from)
	}
}

// wakeLinks makes all links, also retired ones, look at the orders.
func (e *Entry) wakeLinks() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.links {
		l.OrdersChanged()
	}
}

// applyOrders applies the orders that another entry has sent.
func (e *Entry) applyOrders(orders []msgs.Order, from string) {
	for _, o := range orders {
		e.ApplyOrder(evac.Order(o), from)
	}
}

// ordersToSend returns the orders as another entry receives them. Call it after reading the
// configuration that is sent with them: whoever gets a configuration then knows all orders
// that were known with it.
func (e *Entry) ordersToSend() []msgs.Order {
	var orders []msgs.Order
	for _, o := range e.Orders.Orders() {
		orders = append(orders, msgs.Order(o))
	}
	return orders
}
