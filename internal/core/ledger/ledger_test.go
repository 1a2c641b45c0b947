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

func change(kind roster.Kind, ref roster.Ref) roster.Change {
	return roster.Change{Kind: kind, Node: roster.Node{Ref: ref}}
}

// pair returns the ledgers of two homes and the rosters in which a owns the
// only shard, then another node joins and leaves, then b owns it.
func pair(opts Options) (*Ledger, *Ledger, []roster.Roster) {
	refC := roster.Ref{ID: "c", Inc: 3}
	first := roster.New(1).With(change(roster.Join, refA))
	second := first.With(change(roster.Join, refB))
	third := second.With(change(roster.Join, refC))
	fourth := third.With(change(roster.Leave, refA))
	a := New(refA, opts)
	a.Update(first, start)
	return a, New(refB, opts), []roster.Roster{first, second, third, fourth}
}

func decide(t *testing.T, l *Ledger, k jobkey.Key, now time.Time, want Decision) Admission {
	t.Helper()
	v := l.Admit(k, now)
	if v.Decision != want {
		t.Fatalf("got decision %d %+v, want %d", v.Decision, v.Outcome, want)
	}
	return v
}

func TestSealedShardStaysSealedUnderAnOlderRoster(t *testing.T) {
	a, _, rosters := pair(Options{})
	key := jobkey.New("st", 2, start.Add(time.Second))
	if _, ok := a.Seal(0, 5, start); !ok {
		t.Fatal("seal refused")
	}
	a.Update(rosters[1], start)
	decide(t, a, key, start, Redirect)
	a.Update(rosters[2], start)
	decide(t, a, key, start, Redirect)
}

func TestKeyForgottenByAFasterClockIsRefusedAfterHandover(t *testing.T) {
	a, b, rosters := pair(Options{Slack: time.Second})
	key := jobkey.New("st", 2, start.Add(time.Second))
	v := decide(t, a, key, start, Run)
	a.Finish(v.Record, Outcome{State: Answered})
	ahead := start.Add(3 * time.Second)
	if n := a.Expire(ahead); n != 1 {
		t.Fatalf("forgot %d keys, want 1", n)
	}
	takeovers := b.Update(rosters[3], start)
	if len(takeovers) != 1 {
		t.Fatalf("got %d takeovers, want 1", len(takeovers))
	}
	h, ok := a.Seal(0, takeovers[0].Moved, ahead)
	if !ok {
		t.Fatal("seal refused")
	}
	b.AcceptHandover(0, takeovers[0].Moved, h)
	if v := decide(t, b, key, start, Refuse); v.Outcome.Reason != Expired {
		t.Errorf("got reason %s, want %s", v.Outcome.Reason, Expired)
	}
}

func TestOutcomeOfAJobThatWentOnElsewhere(t *testing.T) {
	for _, name := range []string{"told before the handover arrived", "told after"} {
		t.Run(name, func(t *testing.T) {
			a, b, rosters := pair(Options{})
			key := jobkey.New("st", 2, start.Add(time.Second))
			rec := decide(t, a, key, start, Run).Record
			takeover := b.Update(rosters[3], start)[0]
			h, _ := a.Seal(0, takeover.Moved, start)
			if a.Finish(rec, Outcome{State: Answered, Answers: [][]byte{[]byte("x")}}) {
				t.Error("the former owner believes that it still owns the key")
			}
			if name == "told after" {
				b.AcceptHandover(0, takeover.Moved, h)
			}
			b.Settle(key, rec.Hold, rec.Outcome())
			b.AcceptHandover(0, takeover.Moved, h)
			joined := decide(t, b, key, start, Join).Record
			<-joined.Done()
			if got := string(joined.Outcome().Answers[0]); got != "x" {
				t.Errorf("got answer %q, want x", got)
			}
		})
	}
}

func TestPlainKeyNeedsARecentRoster(t *testing.T) {
	a, _, _ := pair(Options{Horizon: time.Minute})
	key, err := jobkey.Parse("order-17")
	if err != nil {
		t.Fatal(err)
	}
	late := start.Add(31 * time.Second)
	if v := decide(t, a, key, late, Refuse); v.Outcome.Reason != RosterUnconfirmed {
		t.Errorf("got reason %s, want %s", v.Outcome.Reason, RosterUnconfirmed)
	}
	a.Confirm(late)
	decide(t, a, key, late, Run)
	decide(t, a, key, late, Join)
}

func TestLedgerRefusesBeyondItsBounds(t *testing.T) {
	a, _, _ := pair(Options{MaxRecords: 1, MaxBytes: 3})
	far := jobkey.New("st", 2, start.Add(time.Hour))
	if v := decide(t, a, far, start, Refuse); v.Outcome.Reason != DeadlineTooFar {
		t.Errorf("got reason %s, want %s", v.Outcome.Reason, DeadlineTooFar)
	}
	key := jobkey.New("st", 2, start.Add(time.Second))
	rec := decide(t, a, key, start, Run).Record
	other := jobkey.New("st", 2, start.Add(time.Second))
	if v := decide(t, a, other, start, Refuse); v.Outcome.Reason != LedgerFull || v.Outcome.State != Unknown {
		t.Errorf("got %+v, want unknown and %s", v.Outcome, LedgerFull)
	}
	a.Finish(rec, Outcome{State: Answered, Answers: [][]byte{[]byte("long")}})
	if o := decide(t, a, key, start, Join).Record.Outcome(); o.Reason != AnswerDropped {
		t.Errorf("got reason %s, want %s", o.Reason, AnswerDropped)
	}
	if n := a.Expire(start.Add(time.Minute)); n != 1 || a.Records() != 0 {
		t.Errorf("forgot %d keys and kept %d, want 1 and 0", n, a.Records())
	}
}

func BenchmarkAdmitAndFinish(b *testing.B) {
	a, _, _ := pair(Options{MaxRecords: 1 << 30})
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
