package proc

import (
	"context"
	"errors"
	"net/rpc"
	"slices"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/giveup"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/memb"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rotate"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/peer"
)

// OthersOut reports whether another entry is out of rotation, or may be: an entry that may have
// been cut off itself may not have heard of the others. It also reports whether another entry relies
// on a listing of this one, and so has to be told of each job.
func (e *Entry) OthersOut() bool {
	return e.Rotation.Out() || len(e.others.Out()) > 0 || e.asker().HasLent()
}

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

// warnOthers tells all other entries that this one is out of rotation. It returns how many do not know
// it when ctx ends, of those that were in contact not long before the load balancer's latest
// check, or since. One that refuses the connection has ended, with its jobs.
func (e *Entry) warnOthers(ctx context.Context) int {
	unwarned := 0
	answers := make(chan error)
	now, recent := boot.Now(), e.members.Recent(e.Rotation.LastCheck())
	for _, addr := range e.members.Addrs(memb.Entry) {
		counts := slices.Contains(recent, memb.Member{Role: memb.Entry, Addr: addr}) && !e.warned.Knows(addr, now)
		if counts {
			unwarned++
		}
		go func() {
			err := e.warn(addr)
			if !counts {
				return
			}
			select {
			case answers <- err:
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

// warn tells another entry whether this one is out of rotation, and which jobs it has, and learns the
// first of it. An older process learns it from a periodic message only.
func (e *Entry) warn(addr string) error {
	return e.contact(context.Background(), addr, func(ctx context.Context) error {
		m, reply, asked := e.rotationTo(addr), &msgs.Rotation{}, boot.Now()
		err := e.pool.Call(ctx, addr, warnMethod, &m, reply)
		var unknown rpc.ServerError
		if errors.As(err, &unknown) {
			return e.exchange(ctx, addr)
		}
		if err != nil {
			return err
		}
		e.hearRotation(addr, *reply)
		e.others.RecordAnswer(addr, asked)
		if m.Out {
			e.warned.Record(addr, asked, rotate.Echo{Incarnation: reply.Incarnation, Timestamp: reply.Timestamp, Received: boot.Now()})
		}
		return nil
	})
}

// rotation returns what this entry tells others of its rotation.
func (e *Entry) rotation() msgs.Rotation {
	return msgs.Rotation{Entry: e.Addr, Incarnation: e.Incarnation, Out: e.Rotation.Out(), Timestamp: int64(boot.Now())}
}

// rotationTo returns what this entry tells the one at addr of its rotation. If it is out, that includes a
// listing of its jobs, unless tasks of its former incarnation may run or the listing would soon not
// count any more.
func (e *Entry) rotationTo(addr string) msgs.Rotation {
	m := e.rotation()
	now := boot.Now()
	echo, ok := e.warned.Echo(addr, now)
	if !m.Out || !ok || giveup.Orphans(e.Started, now) > 0 {
		return m
	}
	e.asker().Lend(addr, echo.Received.Add(giveup.ListingTime)) // a job that the listing lacks is told of
	m.EchoedIncarnation, m.EchoedTimestamp, m.Listed = echo.Incarnation, echo.Timestamp, e.Coord.IDs()
	return m
}

// hearRotation processes what the entry at addr, which has just called or answered, tells of its
// rotation, and a listing that echoes a timestamp of this incarnation.
func (e *Entry) hearRotation(addr string, m msgs.Rotation) {
	e.recordContact(memb.Member{Role: memb.Entry, Addr: addr})
	if m.Out {
		e.others.Record(addr)
	}
	if m.EchoedTimestamp != 0 && m.EchoedIncarnation == e.Incarnation {
		e.asker().StoreListing(addr, boot.Time(m.EchoedTimestamp), m.Listed)
	}
}
