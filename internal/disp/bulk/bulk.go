package bulk

import (
	"maps"
	"slices"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/memb"
)

const (
	minCrashes  = 3                      // crashes within crashWindow that raise the bulkheads
	crashWindow = 2 * time.Second        // see minCrashes
	sameEvent   = 300 * time.Millisecond // crashes that follow within that time have one cause
	quietPeriod = 3 * time.Second        // time without a crash after which the bulkheads are lowered
	routePeriod = 10 * time.Second       // how long a route without jobs keeps its share
)

// Guard decides which targets a route may use. The zero value lets all routes use all
// targets. It is not safe for concurrent use.
type Guard struct {
	crashed map[string]bool      // gates whose target was down at the last Observe
	crashes []boot.Time          // recent crashes, one for each event
	until   boot.Time            // the bulkheads are raised until then
	routes  map[string]boot.Time // when each route last had a job
}

// Clone returns a guard in the same state that shares no memory with g. A nil Guard is
// cloned as the zero value.
func (g *Guard) Clone() *Guard {
	if g == nil {
		return &Guard{}
	}
	return &Guard{crashed: maps.Clone(g.crashed), crashes: slices.Clone(g.crashes), until: g.until, routes: maps.Clone(g.routes)}
}

// Observe records whether the target of a gate has crashed, as known at now. It reports
// whether that raises the bulkheads.
func (g *Guard) Observe(gate string, crashed bool, now boot.Time) bool {
	if g.crashed[gate] == crashed {
		return false
	}
	if g.crashed == nil {
		g.crashed = map[string]bool{}
	}
	if !crashed {
		delete(g.crashed, gate)
		return false
	}
	g.crashed[gate] = true
	return g.recordCrash(now)
}

// Crashed reports whether the target of a gate was down at the last Observe.
func (g *Guard) Crashed(gate string) bool { return g.crashed[gate] }

// recordCrash records a crash and reports whether it raises the bulkheads. Raised ones
// stay so for another quietPeriod.
func (g *Guard) recordCrash(now boot.Time) bool {
	if n := len(g.crashes); n > 0 && now.Sub(g.crashes[n-1]) < sameEvent {
		return false
	}
	g.crashes = append(g.crashes, now)
	g.crashes = slices.DeleteFunc(g.crashes, func(t boot.Time) bool { return now.Sub(t) > crashWindow })
	raised := g.Raised(now)
	if !raised && len(g.crashes) < minCrashes {
		return false
	}
	g.until = now.Add(quietPeriod)
	return !raised
}

// Raised reports whether each route has targets of its own at now.
func (g *Guard) Raised(now boot.Time) bool { return now < g.until }

// Use records that a route has a job at now.
func (g *Guard) Use(route string, now boot.Time) {
	if g.routes == nil {
		g.routes = map[string]boot.Time{}
	}
	g.routes[route] = now
}

// Share returns the gates that a route may use at now, of those given. All entries that
// know the same gates, and have had jobs of the same routes, share them out alike.
func (g *Guard) Share(route string, gates []string, now boot.Time) map[string]bool {
	routes := g.activeRoutes(now)
	index := slices.Index(routes, route)
	if index < 0 || len(routes) > len(gates) {
		index, routes = 0, []string{route}
	}
	ordered := memb.ByHash("", gates)
	share := map[string]bool{}
	for i := index; i < len(ordered); i += len(routes) {
		share[ordered[i]] = true
	}
	return share
}

// activeRoutes returns the routes that have had a job within routePeriod, in order.
func (g *Guard) activeRoutes(now boot.Time) []string {
	var active []string
	for route, usedAt := range g.routes {
		if now.Sub(usedAt) <= routePeriod {
			active = append(active, route)
			continue
		}
		delete(g.routes, route)
	}
	slices.Sort(active)
	return active
}
