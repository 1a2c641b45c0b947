package gate

import (
	"context"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/node/target"
)

// HandleAnnouncement applies an announcement of the target, or renews its lease if
// the announcement is unchanged. It returns an error if no client for the target
// can be made.
func (g *Gate) HandleAnnouncement(a target.Announcement) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaseEnd = time.Now().Add(target.Lease)
	if g.runner != nil && a == g.announcement {
		return nil
	}
	if g.runner == nil || a.Addr != g.announcement.Addr || a.Connections != g.announcement.Connections {
		runner, err := target.NewRunner(context.Background(), a.Addr, a.Connections)
		if err != nil {
			return err
		}
		g.runner = runner
	}
	g.announcement = a
	g.queue.Resize(a.Slots)
	g.queue.SetLeaving(g.draining || a.Leaving)
	g.Log.Event("target-announced", "service", a.Service, "addr", a.Addr, "slots", a.Slots, "leaving", a.Leaving)
	return nil
}

// ServiceAndSlots returns the announced service and the number of slots for new
// tasks, which is 0 without a target and while the target is leaving.
func (g *Gate) ServiceAndSlots() (string, int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.runner == nil || g.announcement.Leaving {
		return g.announcement.Service, 0
	}
	return g.announcement.Service, g.announcement.Slots
}

// currentRunner returns the runner of the target, or nil without a target.
func (g *Gate) currentRunner() *target.Runner {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.runner
}

// removeTarget removes the target. The caller holds mu.
func (g *Gate) removeTarget() {
	g.runner.Close()
	g.runner = nil
	g.queue.Resize(0)
}
