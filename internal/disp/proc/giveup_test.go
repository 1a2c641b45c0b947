package proc

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/coord"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/gate"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/giveup"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/memb"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/route"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/peer"
)

// newPeer returns an entry that knows no gates and the other entries at addrs.
func newPeer(addrs ...string) *Entry {
	e := &Entry{Name: "e", Incarnation: 1, Event: discardEvent}
	e.Coord = &coord.Coordinator{Links: e.Links}
	e.SetSeeds(addrs)
	return e
}

// newLongJob returns job "j", of one task of 10 s.
func newLongJob() coord.Job {
	return coord.Job{
		ID: "j", Arrived: boot.Now(), Route: route.Route{Name: "r", Service: "s", MaxAttempts: 1},
		Steps: []coord.Step{{Count: 1, Size: rsrc.Vector{CPU: 100}, DeclaredRunTime: 10 * time.Second}},
	}
}

// newHeldLink returns a link to a gate that runs each task until released is closed. It
// sends a value to started for each.
func newHeldLink(t *testing.T, started chan<- struct{}, released <-chan struct{}) *link.Link {
	load := msgs.Load{Incarnation: 1, Service: "s", TargetIncarnation: "t", CPU: 1000, Memory: 1000, Speed: 1}
	l := &link.Link{Addr: "g", Entry: "e", Incarnation: 1, Drop: func(string) {}}
	l.Call = func(_ context.Context, _, _ string, _, reply any) error {
		current := load
		current.Timestamp = int64(boot.Now())
		switch out := reply.(type) {
		case *msgs.Load:
			*out = current
		case *msgs.TaskReply:
			started <- struct{}{}
			<-released
			*out = msgs.TaskReply{Result: msgs.Lost, Reason: "cancelled", Load: current}
		}
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go l.Run(ctx)
	return l
}

// The entry that had a job answered that it had given it up while a task still ran.
func TestJobIsGivenUpElsewhereWhenItsTasksHaveEnded(t *testing.T) {
	started, released := make(chan struct{}, 1), make(chan struct{})
	links := []*link.Link{newHeldLink(t, started, released)}
	first := newPeer()
	first.Coord.Links = func() []*link.Link { return links }
	second := newPeer(serve(t, map[string]any{EntryServiceName: first.Service()}))
	answers := make(chan coord.Answer, 1)
	go func() {
		answers <- first.Coord.Submit(context.Background(), newLongJob())
	}()
	<-started
	givenUp := make(chan struct{})
	go func() {
		second.GiveUpElsewhere(context.Background(), "j", true)
		close(givenUp)
	}()
	if a := <-answers; a.State != coord.Abandoned || a.Reason != "cancelled" {
		t.Errorf("got %+v", a)
	}
	select {
	case <-givenUp:
		t.Error("the job was given up while its task was running")
	case <-time.After(3 * giveUpTimeout):
	}
	close(released)
	<-givenUp
	if first.Coord.GiveUp(context.Background(), "j") {
		t.Error("the job is still known to the first entry")
	}
}

// An entry whose row was deleted by another one that had not reached it for long was not asked
// any more, though it lived and ran the job.
func TestEntryWhoseRowWasDeletedIsStillAsked(t *testing.T) {
	e, answers := newCheckedPeer(t)
	addr := serve(t, map[string]any{EntryServiceName: e.Service()})
	asks := newPeer(addr)
	member := memb.Member{Role: memb.Entry, Addr: addr}
	asks.members.RecordContact(member, boot.Now())
	asks.RemoveMember(member)
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	asks.GiveUpElsewhere(ctx, "j", true)
	if len(answers) == 0 {
		t.Error("the entry was not asked to give the job up")
	}
	gone := memb.Member{Role: memb.Entry, Addr: "127.0.0.1:1"}
	asks.AddMember(gone)
	asks.RemoveMember(gone)
	if entries := asks.Entries(); !slices.Equal(entries, []string{addr}) {
		t.Errorf("the entries %v are known, want %v", entries, addr)
	}
}

// Repeated jobs waited for an entry that can't be reached, or were not known there.
func TestUnreachableEntryDelaysRepeatedJobsLittle(t *testing.T) {
	silent, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := silent.Close(); err != nil {
			t.Error(err)
		}
	}()
	idle := serve(t, map[string]any{EntryServiceName: newPeer().Service()})
	e := newPeer(silent.Addr().String(), idle, "127.0.0.1:1")
	start := time.Now()
	e.GiveUpElsewhere(context.Background(), "j", true)
	if took := time.Since(start); took < giveUpTimeout/2 || took > 10*giveUpTimeout {
		t.Errorf("took %v, want about %v", took, giveUpTimeout)
	}
}

// An entry that had died delayed each job by the whole time that a living one has to answer.
func TestEntryThatDoesNotAnswerDelaysTheNextJobsLess(t *testing.T) {
	silent, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = silent.Close() })
	e := newPeer(silent.Addr().String())
	e.GiveUpElsewhere(context.Background(), "j", true)
	start := time.Now()
	e.GiveUpElsewhere(context.Background(), "k", true)
	if took := time.Since(start); took > giveUpTimeout {
		t.Errorf("took %v, want about %v", took, silentGiveUpTimeout)
	}
}

// The row of an entry that others had not reached for long was deleted, and they did not find
// the entry any more.
func TestEntryWritesItsDeletedRowAgain(t *testing.T) {
	rows := make(chan memb.Member, 2)
	e := newPeer()
	e.Addr = "127.0.0.1:1"
	e.Register = func(_ context.Context, m memb.Member) error {
		rows <- m
		return nil
	}
	run(t, e)
	if m := <-rows; m != e.member() {
		t.Errorf("row of %v", m)
	}
	e.RemoveMember(e.member())
	select {
	case m := <-rows:
		if m != e.member() {
			t.Errorf("row of %v", m)
		}
	case <-time.After(10 * time.Second):
		t.Error("the row was not written again")
	}
}

// silentConn is a connection that has gone silent: it accepts writes and delivers nothing.
type silentConn struct {
	net.Conn
	closed chan struct{}
	done   atomic.Bool
}

func (c *silentConn) Write(p []byte) (int, error)      { return len(p), nil }
func (c *silentConn) SetWriteDeadline(time.Time) error { return nil }
func (c *silentConn) Read([]byte) (int, error) {
	<-c.closed
	return 0, net.ErrClosed
}
func (c *silentConn) Close() error {
	if c.done.CompareAndSwap(false, true) {
		close(c.closed)
	}
	return nil
}

// slowConn delivers what is written to it 150 ms late, as an entry does whose quota is used
// up or whose machine is slow.
type slowConn struct{ net.Conn }

func (c slowConn) Write(p []byte) (int, error) {
	b := append([]byte(nil), p...)
	time.AfterFunc(150*time.Millisecond, func() { _, _ = c.Conn.Write(b) })
	return len(p), nil
}

// An entry that is slow, or whose connection has gone silent, lives and goes on with the job
// unless it is asked again.
func TestLivingEntryIsMadeToGiveUpTheJob(t *testing.T) {
	for name, first := range map[string]func(net.Conn) net.Conn{
		"its connection has gone silent": func(c net.Conn) net.Conn {
			return &silentConn{Conn: c, closed: make(chan struct{})}
		},
		"it answers after 150 ms": func(c net.Conn) net.Conn { return slowConn{c} },
	} {
		t.Run(name, func(t *testing.T) {
			started, released := make(chan struct{}, 1), make(chan struct{})
			links := []*link.Link{newHeldLink(t, started, released)}
			defer close(released)
			had := newPeer()
			had.Coord.Links = func() []*link.Link { return links }
			asks := newPeer(serve(t, map[string]any{EntryServiceName: had.Service()}))
			var dials atomic.Int32
			asks.pool.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
				conn, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
				if err == nil && dials.Add(1) == 1 {
					return first(conn), nil
				}
				return conn, err
			}
			go had.Coord.Submit(context.Background(), newLongJob())
			<-started
			begin := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			asks.GiveUpElsewhere(ctx, "j", true)
			if ctx.Err() == nil {
				t.Errorf("returned after %v while the task runs; %d jobs run at the other entry", time.Since(begin).Round(time.Millisecond), had.Coord.Running())
			}
		})
	}
}

// slowService is the service of an entry that is so busy that it reads each order to give up a job
// late. It answers periodic messages in time.
type slowService struct {
	*EntryService
	delay time.Duration
}

// Lookup answers late.
func (s slowService) Lookup(m *msgs.Lookup, reply *msgs.LookupReply) error {
	time.Sleep(s.delay)
	return s.EntryService.Lookup(m, reply)
}

// An entry that lives, renews its leases and answers periodic messages, but is slower than
// giveUpTimeout to give a job up, counted as dead, and its job ran at two entries.
func TestSlowEntryIsNotTakenForDead(t *testing.T) {
	started, released := make(chan struct{}, 1), make(chan struct{})
	links := []*link.Link{newHeldLink(t, started, released)}
	defer close(released)
	had := newPeer()
	had.Coord.Links = func() []*link.Link { return links }
	slow := slowService{had.Service(), giveUpTimeout + 50*time.Millisecond}
	addr := serve(t, map[string]any{EntryServiceName: slow})
	asks := newPeer(addr)
	go had.Coord.Submit(context.Background(), newLongJob())
	<-started
	asks.gossipWith(context.Background(), addr)
	begin := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	asks.GiveUpElsewhere(ctx, "j", true)
	if ctx.Err() == nil {
		t.Errorf("returned after %v while the task runs; %d jobs run at the other entry", time.Since(begin).Round(time.Millisecond), had.Coord.Running())
	}
}

// An entry that has just died leaves tasks at gates for MaxOrphanTime. It refuses connections, and
// so counted as having none, also for a caller that had lost its connection before.
func TestEntryThatHasJustDiedMayHaveTasks(t *testing.T) {
	srv, err := peer.Listen("127.0.0.1:0", map[string]any{EntryServiceName: newPeer().Service()})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = srv.Start(context.Background()) }()
	asks := newPeer(srv.Addr())
	asks.gossipWith(context.Background(), srv.Addr())
	died := time.Now()
	if err := srv.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	asks.GiveUpElsewhere(context.Background(), "j", true)
	if took := time.Since(died); took < gate.MaxOrphanTime {
		t.Errorf("the job counts as given up %v after the entry has died, want %v", took.Round(time.Millisecond), gate.MaxOrphanTime)
	}
}

// An entry that has just been started again doesn't know the job, but tasks of its former
// incarnation may run.
func TestEntryThatHasJustBeenStartedMayHaveTasks(t *testing.T) {
	e := newPeer()
	e.Started = boot.Now()
	asks := newPeer(serve(t, map[string]any{EntryServiceName: e.Service()}))
	asks.GiveUpElsewhere(context.Background(), "j", true)
	if took := boot.Now().Sub(e.Started); took < gate.MaxOrphanTime {
		t.Errorf("the job counts as given up %v after the start, want %v", took.Round(time.Millisecond), gate.MaxOrphanTime)
	}
}

// An entry that has just started knows some of the gates at which another one may have tasks, and
// took them for all.
func TestGatesCountAsKnownOnceOthersHaveToldOfThem(t *testing.T) {
	e := newPeer()
	for _, addr := range testAddrs("n", 2*maxLinks) {
		e.addMember(memb.Member{Role: memb.Gate, Addr: addr})
	}
	if _, known := e.gatesOf("e"); known {
		t.Error("the gates that have announced themselves count as all")
	}
	e.addMembers([]string{"gate n0:7720"})
	if _, known := e.gatesOf("e"); known {
		t.Error("the gates count as known with the first word of them")
	}
	e.membersHeard.Store(int64(boot.Now().Add(-membersSettleTime)))
	gates, known := e.gatesOf("e")
	selected := selectNodes("e", testAddrs("n", 2*maxLinks), maxLinks)
	if !known || len(gates) != maxLinks+gateMargin || !slices.Equal(gates[:maxLinks], selected) {
		t.Errorf("%d gates, known: %v", len(gates), known)
	}
}

// A gate serves the call that revokes a job.
func TestGateServesRevocations(t *testing.T) {
	node := &Node{Gate: &gate.Gate{IncarnationID: 7}}
	addr := serve(t, map[string]any{GateServiceName: node.Service()})
	var pool peer.Pool
	reply := &msgs.RevokeReply{}
	if err := pool.Call(context.Background(), addr, giveup.RevokeMethod, &msgs.Revoke{Jobs: []string{"j"}}, reply); err != nil {
		t.Fatal(err)
	}
	if reply.Applied || reply.Incarnation != 7 || reply.Timestamp == 0 {
		t.Errorf("got %+v", reply)
	}
}

// An entry that had once been slow by 100 ms, when it was asked about a first request, was waited for
// as short as a dead one when it was asked whether it runs a job.
func TestEntryThatWasSlowOnceIsWaitedFor(t *testing.T) {
	e := newPeer()
	e.asker().Record("a", peer.ErrDeadlinePassed)
	if d := e.giveUpTimeoutFor("a"); d != giveUpTimeout {
		t.Errorf("waits for %v, want %v", d, giveUpTimeout)
	}
	time.Sleep(giveUpTimeout)
	if d := e.giveUpTimeoutFor("a"); d != silentGiveUpTimeout {
		t.Errorf("waits for %v for one that is silent, want %v", d, silentGiveUpTimeout)
	}
}
