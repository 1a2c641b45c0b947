package proc

import (
	"context"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/giveup"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/memb"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rotate"
)

// newPeersOutAndIn returns an entry that is out of rotation and has told another one so twice, so that
// this has a listing of its jobs.
func newPeersOutAndIn(t *testing.T, started boot.Time) (out, in *Entry) {
	out, in = newPeer(), newPeer()
	out.Started, out.Rotation = started, rotate.Monitor{ResubmitDelay: resubmitDelay}
	out.Rotation.Begin()
	out.Rotation.Now = minuteLater
	out.Addr = serve(t, map[string]any{EntryServiceName: out.Service()})
	in.Addr = serve(t, map[string]any{EntryServiceName: in.Service()})
	out.AddMember(memb.Member{Role: memb.Entry, Addr: in.Addr})
	for range 2 {
		if err := out.warn(in.Addr); err != nil {
			t.Fatal(err)
		}
	}
	return out, in
}

// asksAbout reports whether an entry asks others about a first submission.
func asksAbout(e *Entry, job string) bool {
	asked := false
	e.asker().Count = func(name string) { asked = asked || name == giveup.QuestionCounter }
	e.GiveUpElsewhere(context.Background(), job, false)
	return asked
}

// An entry that was started again does not know which jobs the others told its former incarnation of.
func TestListingForEarlierIncarnationIsNotUsed(t *testing.T) {
	out, in := newPeersOutAndIn(t, 0)
	if asksAbout(in, "j") {
		t.Error("asked, though it has a listing")
	}
	again := newPeer()
	again.Incarnation = in.Incarnation + 1
	again.hearRotation(out.Addr, out.rotationTo(in.Addr))
	if !asksAbout(again, "j") {
		t.Error("not asked")
	}
}

// Tasks of the former incarnation of an entry are in no listing.
func TestEntryThatHasJustBeenStartedListsNothing(t *testing.T) {
	_, in := newPeersOutAndIn(t, boot.Now())
	if !asksAbout(in, "j") {
		t.Error("not asked")
	}
}

// A job must not start at an entry that has lent its listing before the others know of the job.
func TestJobOfEntryWithLentListingWaitsUntilItIsKnown(t *testing.T) {
	out, in := newPeersOutAndIn(t, 0)
	out.RemoveMember(memb.Member{Role: memb.Entry, Addr: in.Addr})
	begin := time.Now()
	out.pool.Drop(in.Addr)
	out.asker().Lend("127.0.0.1:1", boot.Now().Add(300*time.Millisecond)) // which is not reached
	if !out.OthersOut() {
		t.Error("the job would start at once")
	}
	out.GiveUpElsewhere(context.Background(), "j", false)
	if took := time.Since(begin); took < 300*time.Millisecond {
		t.Errorf("the job starts after %v", took)
	}
	if !asksAbout(in, "j") {
		t.Error("the other entry does not know of the job")
	}
}
