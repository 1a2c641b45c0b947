package gate

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/estim"
)

// coldFor returns for how long the target is still cold at now, or 0 if it is warm.
func (g *Gate) coldFor(now boot.Time) time.Duration {
	if !g.targetKnown {
		return 0
	}
	return max(0, g.incarnation.ColdUntil.Sub(now))
}

// updateCold notes whether the target has turned cold or warm by now. The speed that was
// learnt before is of little use then.
func (g *Gate) updateCold(now boot.Time) {
	left := g.coldFor(now)
	if cold := left > 0; cold != g.cold {
		g.cold = cold
		g.speed.Distrust()
		g.pace = estim.Pace{}
		event := "target_warm"
		if cold {
			event = "target_cold"
		}
		g.event(event, "target", g.incarnation.ID, "left", left)
	}
}
