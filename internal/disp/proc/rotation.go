package proc

import (
	"context"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/memb"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rotate"
)

// OthersOut reports whether another entry is out of rotation.
func (e *Entry) OthersOut() bool { return len(e.others.Out()) > 0 }

// rotationGuard returns the guard that ends the jobs of this entry when it is cut off.
func (e *Entry) rotationGuard() *rotate.Guard {
	return &rotate.Guard{
		Monitor: &e.Rotation, WarnOthers: e.warnOthers,
		StoreAnswers: func(ctx context.Context) bool { return e.StoreAnswers == nil || e.StoreAnswers(ctx) },
		EndJobs: func(unwarned int) {
			e.Event("cut_off", "unwarned", unwarned, "jobs", e.Coord.Running())
			e.Coord.AbandonAll(cause.CutOff)
		},
	}
}

// warnOthers tells the other entries that were in contact lately that this one is out of
// rotation, and returns how many of them have not answered when ctx ends.
func (e *Entry) warnOthers(ctx context.Context) int {
	unwarned := 0
	answers := make(chan error)
	for _, m := range e.members.Recent(boot.Now()) {
		if m.Role != memb.Entry {
			continue
		}
		unwarned++
		go func() {
			select {
			case answers <- e.exchange(ctx, m.Addr):
			case <-ctx.Done():
			}
		}()
	}
	for range unwarned {
		select {
		case err := <-answers:
			if err == nil {
				unwarned--
			}
		case <-ctx.Done(): // a call that has to open a connection may take longer
			return unwarned
		}
	}
	return unwarned
}
