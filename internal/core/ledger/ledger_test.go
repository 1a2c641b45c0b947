package ledger

import (
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/roster"
	"github.com/gypsumlanding/gypsumlanding/pkg/jobkey"
)

var (
	refA  = roster.Ref{ID: "a", Inc: 1}
	refB  = roster.Ref{ID: "b", Inc: 2}
	start = time.UnixMilli(1_700_000_000_000)
)

func memberChange(kind roster.ChangeKind, ref roster.Ref) roster.Change {
	return roster.Change{Kind: kind, Node: roster.Node{Ref: ref}}
}

// newHomes returns the ledgers of the homes a and b, and four successive rosters with
// a single shard: a has joined, b has joined, a third node has joined, a is leaving.
// Home a owns the shard in the first three rosters, and b in the last. The ledger of
// a has the first roster, that of b none.
func newHomes(opts Options) (*Ledger, *Ledger, []roster.Roster) {
	refC := roster.Ref{ID: "c", Inc: 3}
	first := roster.New(1).With(memberChange(roster.Join, refA))
	second := first.With(memberChange(roster.Join, refB))
	third := second.With(memberChange(roster.Join, refC))
	fourth := third.With(memberChange(roster.Leave, refA))
	a := New(refA, opts)
	a.Update(first, start)
	return a, New(refB, opts), []roster.Roster{first, second, third, fourth}
}

// wantDecision calls Admit and fails the test if the decision differs from want.
func wantDecision(t *testing.T, l *Ledger, k jobkey.Key, now time.Time, want Decision) Admission {
	t.Helper()
	v := l.Admit(k, now)
	if v.Decision != want {
		t.Fatalf("got decision %d %+v, want %d", v.Decision, v.Outcome, want)
	}
	return v
}

// A new owner may request the handover before the previous owner has the roster with
// the move. Rosters older than the move must then not make that owner serve the shard
// again.
func TestSealedShardStaysSealedUnderAnOlderRoster(t *testing.T) {
	a, _, rosters := newHomes(Options{})
	key := jobkey.New("st", 2, start.Add(time.Second))
	if _, ok := a.Seal(0, 5, start); !ok {
		t.Fatal("seal refused")
	}
	a.Update(rosters[1], start)
	wantDecision(t, a, key, start, Redirect)
	a.Update(rosters[2], start)
	wantDecision(t, a, key, start, Redirect)
}

// A previous owner whose clock is ahead may have deleted a key that is not yet past its
// retention deadline by the clock of the new owner. The new owner must refuse the key,
// since it may have run.
func TestKeyForgottenByAFasterClockIsRefusedAfterHandover(t *testing.T) {
	a, b, rosters := newHomes(Options{Retention: time.Second})
	key := jobkey.New("st", 2, start.Add(time.Second))
	v := wantDecision(t, a, key, start, Run)
	a.Finish(v.Record, Outcome{State: Answered})
	fastClock := start.Add(3 * time.Second)
	if n := a.Expire(fastClock); n != 1 {
		t.Fatalf("expired %d keys, want 1", n)
	}
	takeovers := b.Update(rosters[3], start)
	if len(takeovers) != 1 {
		t.Fatalf("got %d takeovers, want 1", len(takeovers))
	}
	h, ok := a.Seal(0, takeovers[0].MoveEpoch, fastClock)
	if !ok {
		t.Fatal("seal refused")
	}
	b.AcceptHandover(0, takeovers[0].MoveEpoch, h)
	if v := wantDecision(t, b, key, start, Refuse); v.Outcome.Reason != Expired {
		t.Errorf("got reason %s, want %s", v.Outcome.Reason, Expired)
	}
}

func TestNewOwnerStoresOutcomeFromPreviousOwner(t *testing.T) {
	for _, name := range []string{"sent before the handover arrived", "sent after"} {
		t.Run(name, func(t *testing.T) {
			a, b, rosters := newHomes(Options{})
			key := jobkey.New("st", 2, start.Add(time.Second))
			rec := wantDecision(t, a, key, start, Run).Record
			takeover := b.Update(rosters[3], start)[0]
			h, _ := a.Seal(0, takeover.MoveEpoch, start)
			if a.Finish(rec, Outcome{State: Answered, Answers: [][]byte{[]byte("x")}}) {
				t.Error("Finish reports that the previous owner still owns the key")
			}
			if name == "sent after" {
				b.AcceptHandover(0, takeover.MoveEpoch, h)
			}
			b.RecordOutcome(key, rec.RetainUntil, rec.Outcome())
			b.AcceptHandover(0, takeover.MoveEpoch, h)
			joined := wantDecision(t, b, key, start, Join).Record
			<-joined.Done()
			if got := string(joined.Outcome().Answers[0]); got != "x" {
				t.Errorf("got answer %q, want x", got)
			}
		})
	}
}

func TestPlainKeyNeedsARecentRoster(t *testing.T) {
	a, _, _ := newHomes(Options{PlainRetention: time.Minute})
	key, err := jobkey.Parse("order-17")
	if err != nil {
		t.Fatal(err)
	}
	late := start.Add(31 * time.Second)
	if v := wantDecision(t, a, key, late, Refuse); v.Outcome.Reason != RosterUnconfirmed {
		t.Errorf("got reason %s, want %s", v.Outcome.Reason, RosterUnconfirmed)
	}
	a.ConfirmRoster(late)
	wantDecision(t, a, key, late, Run)
	wantDecision(t, a, key, late, Join)
}

func TestLedgerEnforcesItsLimits(t *testing.T) {
	a, _, _ := newHomes(Options{MaxRecords: 1, MaxBytes: 3})
	farKey := jobkey.New("st", 2, start.Add(time.Hour))
	if v := wantDecision(t, a, farKey, start, Refuse); v.Outcome.Reason != DeadlineTooFar {
		t.Errorf("got reason %s, want %s", v.Outcome.Reason, DeadlineTooFar)
	}
	key := jobkey.New("st", 2, start.Add(time.Second))
	rec := wantDecision(t, a, key, start, Run).Record
	otherKey := jobkey.New("st", 2, start.Add(time.Second))
	if v := wantDecision(t, a, otherKey, start, Refuse); v.Outcome.Reason != LedgerFull || v.Outcome.State != Unknown {
		t.Errorf("got %+v, want unknown and %s", v.Outcome, LedgerFull)
	}
	a.Finish(rec, Outcome{State: Answered, Answers: [][]byte{[]byte("long")}})
	if o := wantDecision(t, a, key, start, Join).Record.Outcome(); o.Reason != AnswerDropped {
		t.Errorf("got reason %s, want %s", o.Reason, AnswerDropped)
	}
	if n := a.Expire(start.Add(time.Minute)); n != 1 || a.Len() != 0 {
		t.Errorf("expired %d keys and kept %d, want 1 and 0", n, a.Len())
	}
}

func BenchmarkAdmitAndFinish(b *testing.B) {
	a, _, _ := newHomes(Options{MaxRecords: 1 << 30})
	deadline := start.Add(time.Second)
	keys := make([]jobkey.Key, 1<<14)
	for i := range keys {
		keys[i] = jobkey.New("st", 2, deadline)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		if i == len(keys) {
			a.Expire(start.Add(time.Minute))
			i = 0
		}
		v := a.Admit(keys[i], start)
		if v.Decision != Run {
			b.Fatal("key refused")
		}
		a.Finish(v.Record, Outcome{State: Answered})
		i++
	}
}
