package proc

import (
	"context"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/coord"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// stalledEntry returns an entry that goes on after it has stood still, and that runs job "j",
// whose answer arrives on the channel, until the end of the test.
func stalledEntry(t *testing.T) (*Entry, <-chan coord.Answer) {
	started, released := make(chan struct{}, 1), make(chan struct{})
	links := []*link.Link{newHeldLink(t, started, released)}
	t.Cleanup(func() { close(released) })
	e := newPeer()
	e.Coord.Links = func() []*link.Link { return links }
	answers := make(chan coord.Answer, 1)
	go func() {
		answers <- e.Coord.Submit(context.Background(), newLongJob())
	}()
	<-started
	stalledUntil := boot.Now()
	e.LastStall = func() boot.Time { return stalledUntil }
	return e, answers
}

// An order to give a job up that had waited to be read while the entry stood still ended the
// sound run of a later submission, whose caller got a 502.
func TestOldOrderToGiveUpEndsNoJob(t *testing.T) {
	e, answers := stalledEntry(t)
	reply := &msgs.LookupReply{}
	if err := e.Service().Lookup(&msgs.Lookup{Job: "j", Cancel: true, Drain: true}, reply); err != nil {
		t.Fatal(err)
	}
	if reply.Timestamp == 0 || reply.State != "" || e.Coord.Running() != 1 {
		t.Errorf("got %+v, %d jobs run", reply, e.Coord.Running())
	}
	if len(answers) > 0 {
		t.Errorf("got %+v", <-answers)
	}
}

// An entry that has just stood still must give a job up nevertheless when it is asked to now.
func TestStalledEntryGivesJobUpWhenAskedNow(t *testing.T) {
	e, answers := stalledEntry(t)
	asks := newPeer(serve(t, map[string]any{EntryServiceName: e.Service()}))
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	asks.GiveUpElsewhere(ctx, "j", true)
	if a := <-answers; a.State != coord.Abandoned {
		t.Errorf("got %+v", a)
	}
	if ctx.Err() == nil {
		t.Error("the job counts as given up while its task runs")
	}
}

// An entry that runs a job says so, and one that doesn't answer counts as not running it.
func TestRunsElsewhere(t *testing.T) {
	e, _ := stalledEntry(t)
	asks := newPeer("127.0.0.1:1", serve(t, map[string]any{EntryServiceName: e.Service()}))
	if !asks.RunsElsewhere(context.Background(), "j") {
		t.Error("the job counts as not running")
	}
	if asks.RunsElsewhere(context.Background(), "k") {
		t.Error("an unknown job counts as running")
	}
}

// An entry whose job had just ended, with a task that still ran, was taken for not running it, and
// the same job went on elsewhere beside that task.
func TestJobThatIsBeingStoppedElsewhereCountsAsRunning(t *testing.T) {
	e, answers := stalledEntry(t)
	asks := newPeer(serve(t, map[string]any{EntryServiceName: e.Service()}))
	if !e.Coord.Cancel("j") {
		t.Fatal("the job is not known")
	}
	<-answers
	if !asks.RunsElsewhere(context.Background(), "j") {
		t.Error("the job counts as not running while its task runs")
	}
}

// signallingService closes a channel when it answers its only question.
type signallingService struct {
	inner    *EntryService
	answered chan<- struct{}
}

func (s *signallingService) Lookup(m *msgs.Lookup, reply *msgs.LookupReply) error {
	defer close(s.answered)
	return s.inner.Lookup(m, reply)
}

// lateService answers some time after another entry has.
type lateService struct {
	inner *EntryService
	after <-chan struct{}
}

func (s *lateService) Lookup(m *msgs.Lookup, reply *msgs.LookupReply) error {
	<-s.after
	time.Sleep(20 * time.Millisecond) // until the other answer has been read
	return s.inner.Lookup(m, reply)
}

// The first answer counted: an entry that knew of the cancellation hid that another one, which had not been
// told yet, ran the job.
func TestCancellationDoesNotHideThatTheJobRunsElsewhere(t *testing.T) {
	runs, _ := stalledEntry(t)
	told, answered := newPeer(), make(chan struct{})
	told.Coord.Cancel("j")
	if newPeer(serve(t, map[string]any{EntryServiceName: told.Service()})).RunsElsewhere(t.Context(), "j") {
		t.Error("the job counts as running where it was only cancelled")
	}
	asks := newPeer(
		serve(t, map[string]any{EntryServiceName: &signallingService{told.Service(), answered}}),
		serve(t, map[string]any{EntryServiceName: &lateService{runs.Service(), answered}}),
	)
	if !asks.RunsElsewhere(t.Context(), "j") {
		t.Error("the job counts as not running")
	}
}
