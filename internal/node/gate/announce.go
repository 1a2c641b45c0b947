package gate

import (
	"context"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/node/target"
)

// Announce takes an announcement or its renewal.
func (g *Gate) HandleAnnouncement(a target.Announcement) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expires = time.Now().Add(target.Lease)
	if g.runner != nil && a == g.announce {
		return nil
	}
	if g.runner == nil || a.Addr != g.announce.Addr || a.Connections != g.announce.Connections {
		runner, err := target.NewRunner(context.Background(), a.Addr, a.Connections)
		if err != nil {
			return err
		}
		g.runner = runner
	}
	g.announce = a
	g.queue.Resize(a.Slots)
	g.queue.SetLeaving(g.draining || a.Leaving)
	g.Log.Event("target-announced", "service", a.Service, "addr", a.Addr, "slots", a.Slots, "leaving", a.Leaving)
	return nil
}

// Service returns the announced service and the slots open to new work.
func (g *Gate) ServiceAndSlots() (string, int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.runner == nil || g.announce.Leaving {
		return g.announce.Service, 0
	}
	return g.announce.Service, g.announce.Slots
}

func (g *Gate) target() *target.Runner {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.runner
}

func (g *Gate) forget() {
	g.runner.Close()
	g.runner = nil
	g.queue.Resize(0)
}
