package proc

import (
	"context"
	"errors"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/memb"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rotate"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/peer"
)

// OthersOut reports whether another entry is out of rotation, or may be: an entry that may have
// been cut off itself may not have heard of the others.
func (e *Entry) OthersOut() bool { return e.Rotation.Out() || len(e.others.Out()) > 0 }

// rotationGuard returns the guard that ends the jobs of this entry when it is cut off.
func (e *Entry) rotationGuard() *rotate.Guard {
	return &rotate.Guard{
		Monitor: &e.Rotation, WarnOthers: e.warnOthers,
		EndJobs: func(age time.Duration, unwarned int) {
			if n := e.Coord.AbandonOlder(age, cause.CutOff); n > 0 {
				e.Event("cut_off", "unwarned", unwarned, "jobs", n)
			}
		},
	}
}

// warnOthers tells the other entries that were in contact not long before the load balancer's
// latest check, or since, that this one is out of rotation. It returns how many of them have
// not answered when ctx ends. One that refuses the connection has ended, with its jobs.
func (e *Entry) warnOthers(ctx context.Context) int {
	unwarned := 0
	answers := make(chan error)
	for _, m := range e.members.Recent(e.Rotation.LastCheck()) {
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
			if err == nil || errors.Is(err, peer.ErrRefused) {
				unwarned--
			}
		case <-ctx.Done(): // a call that has to open a connection may take longer
			return unwarned
		}
	}
	return unwarned
}
