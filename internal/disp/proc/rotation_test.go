package proc

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/coord"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/memb"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rotate"
)

// resubmitDelay is the delay after which callers that have lost their connection submit their
// job again.
const resubmitDelay = 1300 * time.Millisecond

// newCheckedPeer returns an entry that has just been checked by the load balancer, for the
// last time, and that runs job "j" until the end of the test. The job's answer arrives on the
// channel.
func newCheckedPeer(t *testing.T) (*Entry, <-chan coord.Answer) {
	started, released := make(chan struct{}, 1), make(chan struct{})
	links := []*link.Link{newHeldLink(t, started, released)}
	t.Cleanup(func() { close(released) })
	e := newPeer()
	e.Rotation = rotate.Monitor{ResubmitDelay: resubmitDelay}
	e.Coord.Links = func() []*link.Link { return links }
	answers := make(chan coord.Answer, 1)
	go func() {
		answers <- e.Coord.Submit(context.Background(), newLongJob())
	}()
	<-started
	e.Rotation.Observe()
	return e, answers
}

// minuteLater returns the time in a minute.
func minuteLater() boot.Time { return boot.Now().Add(time.Minute) }

// run runs an entry until the end of the test.
func run(t *testing.T, e *Entry) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go e.Run(ctx)
}

// An entry was partitioned from the balancer, and so from its callers, and went on with a job
// that its caller had sent again to another entry, which asked nobody (review case 2).
func TestEntryThatIsNotCheckedIsAskedToGiveItsJobsUp(t *testing.T) {
	e, answers := newCheckedPeer(t)
	e.Addr = serve(t, map[string]any{EntryServiceName: e.Service()})
	other := newPeer()
	e.SetSeeds([]string{serve(t, map[string]any{EntryServiceName: other.Service()})})
	begin := time.Now()
	run(t, e)
	for !other.OthersOut() {
		if time.Since(begin) > resubmitDelay {
			t.Fatalf("the other entry does not know after %v", resubmitDelay)
		}
		time.Sleep(time.Millisecond)
	}
	caller, leave := context.WithTimeout(context.Background(), time.Second)
	defer leave()
	other.Coord.OthersOut, other.Coord.GiveUpElsewhere = other.OthersOut, other.GiveUpElsewhere
	go other.Coord.Submit(caller, newLongJob())
	if a := <-answers; a.State != coord.Abandoned || a.Reason != "cancelled" {
		t.Errorf("got %+v", a)
	}
	if caller.Err() != nil {
		t.Error("the job was not given up in time")
	}
}

// Entries in a large fleet learned only by chance that another one was out.
func TestAllOthersAreToldAtOnce(t *testing.T) {
	e, _ := newCheckedPeer(t)
	e.Addr = serve(t, map[string]any{EntryServiceName: e.Service()})
	var others []*Entry
	for range 4 * gossipFanout {
		other := newPeer()
		others = append(others, other)
		e.AddMember(memb.Member{Role: memb.Entry, Addr: serve(t, map[string]any{EntryServiceName: other.Service()})})
	}
	e.Rotation.Now = minuteLater // so that its check is overdue
	e.gossip(t.Context(), false)
	for begin := time.Now(); slices.ContainsFunc(others, func(o *Entry) bool { return !o.OthersOut() }); {
		if time.Since(begin) > gossipInterval {
			t.Fatalf("some do not know after %v", gossipInterval)
		}
		time.Sleep(time.Millisecond)
	}
}

// An entry that has just started did not know that another one was out.
func TestEntryLearnsWhoIsOutWhenItStarts(t *testing.T) {
	e, _ := newCheckedPeer(t)
	e.Rotation.Now = minuteLater // so that its check is overdue
	asks := newPeer(serve(t, map[string]any{EntryServiceName: e.Service()}))
	run(t, asks)
	for begin := time.Now(); !asks.OthersOut(); time.Sleep(time.Millisecond) {
		if time.Since(begin) > gossipInterval {
			t.Fatalf("it does not know after %v", gossipInterval)
		}
	}
}

// An entry that was restarted and then cut off, before the load balancer had checked it, counted
// as in rotation.
func TestEntryThatIsNotCheckedSinceItsStartIsOut(t *testing.T) {
	e := newPeer()
	run(t, e)
	for begin := time.Now(); !e.Rotation.Out(); time.Sleep(time.Millisecond) {
		if time.Since(begin) > resubmitDelay {
			t.Fatalf("it does not count as out after %v", resubmitDelay)
		}
	}
}

// An entry that had been cut off itself asked nobody, though it might not have heard of the
// others.
func TestEntryThatWasCutOffItselfAsksAllOthers(t *testing.T) {
	e, answers := newCheckedPeer(t)
	asks := newPeer(serve(t, map[string]any{EntryServiceName: e.Service()}))
	asks.Rotation.Observe()
	asks.Rotation.Now = minuteLater
	if !asks.OthersOut() {
		t.Error("others can't be out")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	asks.GiveUpElsewhere(ctx, "j", false)
	if len(answers) == 0 {
		t.Error("the other entry was not asked")
	}
}

// An entry that is in rotation was asked about each job that another entry had to ask about.
func TestEntryInRotationIsNotAskedWithoutNeed(t *testing.T) {
	e, _ := newCheckedPeer(t)
	asks := newPeer(serve(t, map[string]any{EntryServiceName: e.Service()}))
	asks.GiveUpElsewhere(context.Background(), "j", false)
	if n := e.Coord.Running(); n != 1 || asks.OthersOut() {
		t.Errorf("%d jobs run, others out is %v", n, asks.OthersOut())
	}
}

// An entry that was partitioned from balancer and other entries, but not from the gates, went
// on with its jobs, though nobody could ask it.
func TestCutOffEntryEndsItsJobs(t *testing.T) {
	for name, tt := range map[string]struct {
		peerAnswers, wantEnd bool
	}{
		"the other entry does not answer": {wantEnd: true},
		"the other entry answers":         {peerAnswers: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e, answers := newCheckedPeer(t)
			addr := serve(t, map[string]any{EntryServiceName: newPeer().Service()})
			e.pool.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
				conn, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
				if err == nil && !tt.peerAnswers {
					return &silentConn{Conn: conn, closed: make(chan struct{})}, nil
				}
				return conn, err
			}
			e.members.RecordContact(memb.Member{Role: memb.Entry, Addr: addr}, boot.Now())
			run(t, e)
			select {
			case a := <-answers:
				if !tt.wantEnd || a.State != coord.Abandoned || a.Reason != "cutoff" {
					t.Errorf("got %+v", a)
				}
			case <-time.After(2 * resubmitDelay):
				if tt.wantEnd {
					t.Error("the job goes on")
				}
			}
		})
	}
}
