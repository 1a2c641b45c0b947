package proc

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/coord"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/memb"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// heldService answers no question until goOn is closed, as an entry that stands still.
type heldService struct {
	inner *EntryService
	goOn  chan struct{}
}

func (s *heldService) Lookup(m *msgs.Lookup, reply *msgs.LookupReply) error {
	<-s.goOn
	return s.inner.Lookup(m, reply)
}

// waitUntilCancelled waits until an entry knows that job "j" was cancelled.
func waitUntilCancelled(t *testing.T, e *Entry) {
	t.Helper()
	if !eventually(func() bool { s, ok := e.Coord.State("j"); return ok && s == coord.Cancelled }) {
		t.Fatal("the entry is not told of the cancellation")
	}
}

// An entry that stands still was taken for one that does not have the job.
func TestSilentEntryIsNotTakenForOneWithoutTheJob(t *testing.T) {
	silent := &heldService{inner: newPeer().Service(), goOn: make(chan struct{})}
	e := newPeer(serve(t, map[string]any{EntryServiceName: silent}))
	if !e.Cancel(t.Context(), "j") {
		t.Error("the job counts as unknown though an entry has not answered")
	}
	close(silent.goOn)
	entry := silent.inner.entry
	waitUntilCancelled(t, entry)
	if a := entry.Coord.Submit(t.Context(), newLongJob()); a.State != coord.Cancelled {
		t.Errorf("the request that it reads then: got %+v", a)
	}
}

// losingService loses the first order that it gets.
type losingService struct {
	inner *EntryService
	calls atomic.Int64
	end   <-chan struct{} // closed when the test ends
}

func (s *losingService) Lookup(m *msgs.Lookup, reply *msgs.LookupReply) error {
	if s.calls.Add(1) == 1 {
		<-s.end
		return nil
	}
	return s.inner.Lookup(m, reply)
}

// An order to cancel that was lost on its way was never told again.
func TestCancellationIsToldAgainUntilItIsAnswered(t *testing.T) {
	end := make(chan struct{})
	other := newPeer()
	e := newPeer(serve(t, map[string]any{EntryServiceName: &losingService{inner: other.Service(), end: end}}))
	defer close(end)
	if !e.Cancel(t.Context(), "j") {
		t.Error("the job counts as unknown though an entry has not answered")
	}
	waitUntilCancelled(t, other)
}

// Each entry remembers what was cancelled at any: the request may come again at another one.
func TestCancellationIsKnownToAllEntries(t *testing.T) {
	started, released := make(chan struct{}, 1), make(chan struct{})
	defer close(released)
	first, other := newPeer(), newPeer()
	links := []*link.Link{newHeldLink(t, started, released)}
	first.Coord.Links = func() []*link.Link { return links }
	otherAddr := serve(t, map[string]any{EntryServiceName: other.Service()})
	first.SetSeeds([]string{otherAddr})
	answers := make(chan coord.Answer, 1)
	go func() { answers <- first.Coord.Submit(context.Background(), newLongJob()) }()
	<-started
	if !first.Cancel(t.Context(), "j") {
		t.Error("the job is unknown to the entry that runs it")
	}
	if a := <-answers; a.State != coord.Cancelled {
		t.Errorf("got %+v", a)
	}
	waitUntilCancelled(t, other)
	if a := other.Coord.Submit(t.Context(), newLongJob()); a.State != coord.Cancelled {
		t.Errorf("at the other entry: got %+v", a)
	}
}

// A job is unknown only if all entries say so. One that refuses connections has none.
func TestUnknownJobIsNotFound(t *testing.T) {
	other := newPeer()
	e := newPeer(serve(t, map[string]any{EntryServiceName: other.Service()}), "127.0.0.1:1")
	if e.Cancel(t.Context(), "j") {
		t.Error("the job counts as known")
	}
	if !e.Cancel(t.Context(), "j") {
		t.Error("a repeated cancellation is not confirmed")
	}
}

// An entry that is no member any more is not told for ever.
func TestCancellationIsNotRepeatedToAFormerMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newPeer("192.0.2.1:1")
		e.pool.Dial = func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if !e.Cancel(t.Context(), "j") {
			t.Error("the job counts as unknown though an entry has not answered")
		}
		e.members.Remove(memb.Member{Role: memb.Entry, Addr: "192.0.2.1:1"})
		time.Sleep(5 * time.Second)
		if n := e.cancelRetries.Load(); n != 0 {
			t.Errorf("%d cancellations are told again", n)
		}
	})
}
