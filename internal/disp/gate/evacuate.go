package gate

import (
	"cmp"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/evac"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// Events of an order that changes whether a failure domain is evacuated.
const (
	EvacuatedEvent = "evacuated"
	TakenBackEvent = "taken_back"
)

// domain returns the failure domain of the target, or that of the node if the target is not
// known or does not state one.
func (g *Gate) domain() string {
	if !g.targetKnown {
		return g.Domain
	}
	return cmp.Or(g.incarnation.Domain, g.Domain)
}

// evacuated reports whether nothing may be started since the failure domain is evacuated.
func (g *Gate) evacuated() bool { return g.orders.Of(g.domain()).Evacuated }

// applyOrder processes the order in a message of an entry, also in one that is meant for
// another incarnation of the gate: its version tells whether it is the newest. The order of
// another domain is only kept.
func (g *Gate) applyOrder(m msgs.Order, entry string) {
	o := evac.Order(m)
	if o.Version == 0 || !g.orders.Apply(o) {
		return
	}
	event := TakenBackEvent
	if o.Evacuated {
		event = EvacuatedEvent
	}
	g.event(event, "domain", o.Domain, "version", o.Version, "from", entry, "running", len(g.runs), "queued", len(g.queue))
	g.refuseQueueIfEvacuated()
}

// refuseQueueIfEvacuated refuses all queued tasks while the failure domain is evacuated.
func (g *Gate) refuseQueueIfEvacuated() {
	if g.evacuated() {
		g.refuseQueue(cause.Evacuated)
	}
}
