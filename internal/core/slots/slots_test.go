package slots

import (
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/ledger"
	"github.com/gypsumlanding/gypsumlanding/internal/core/seed"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { seed.Main(m, seed.Size{Checks: 2000}) }

var now = time.UnixMilli(1_700_000_000_000)

// holds tells whether the ticket has a slot.
func holds(t *Ticket) bool {
	select {
	case <-t.Ready():
		return t.Refused() == ""
	default:
		return false
	}
}

// TestSlotsAreNeverOvercommitted enters, gives up, ends and resizes in any order.
func TestSlotsAreNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		slots := 3
		q.Resize(slots)
		var tickets, running []*Ticket
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) {
				deadline := now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "deadline")) * time.Second)
				tickets = append(tickets, q.Enter(deadline, now, AnyWait))
			},
			"give up": func(t *rapid.T) {
				if len(tickets) > 0 {
					q.Abandon(rapid.SampledFrom(tickets).Draw(t, "ticket"))
				}
			},
			"end": func(*rapid.T) {
				if len(running) > 0 {
					running = running[1:]
					q.Release(time.Millisecond)
				}
			},
			"leave":  func(t *rapid.T) { q.Leave(rapid.Bool().Draw(t, "leave")) },
			"resize": func(t *rapid.T) { slots = max(slots, rapid.IntRange(1, 5).Draw(t, "slots")); q.Resize(slots) },
			"": func(t *rapid.T) {
				var open []*Ticket
				for _, ticket := range tickets {
					select {
					case <-ticket.Ready():
						if ticket.Refused() == "" {
							running = append(running, ticket)
						}
					default:
						open = append(open, ticket)
					}
				}
				tickets = open
				if len(running) > slots || q.Load().Running != len(running) || q.Load().Queued != len(open) {
					t.Fatalf("%d of %d slots run, %d wait; the queue says %+v", len(running), slots, len(open), q.Load())
				}
			},
		})
	})
}

func TestEarliestDeadlineGoesFirst(t *testing.T) {
	var q Queue
	q.Resize(1)
	first := q.Enter(now.Add(time.Hour), now, AnyWait)
	late := q.Enter(now.Add(3*time.Second), now, AnyWait)
	soon := q.Enter(now.Add(2*time.Second), now, AnyWait)
	if !holds(first) || holds(late) || holds(soon) {
		t.Fatal("the first ticket alone should hold the slot")
	}
	q.Release(0)
	if !holds(soon) || holds(late) {
		t.Error("the earlier deadline did not go first")
	}
}

func TestRefusals(t *testing.T) {
	var q Queue
	for _, c := range []struct {
		name    string
		prepare func()
		want    ledger.Reason
	}{
		{"no target", func() {}, NoTarget},
		{"hopeless", func() {
			q.Resize(1)
			q.Enter(now.Add(time.Hour), now, AnyWait)
			q.Release(time.Minute)
			q.Enter(now.Add(time.Hour), now, AnyWait)
		}, Hopeless},
		{"leaving", func() { q.Leave(true) }, Leaving},
		{"target gone", func() { q.Leave(false); q.Resize(0) }, NoTarget},
	} {
		c.prepare()
		if got := q.Enter(now.Add(time.Second), now, AnyWait).Refused(); got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}

func TestFullQueueRefuses(t *testing.T) {
	var q Queue
	q.Resize(1)
	for range queuePerSlot + 1 {
		q.Enter(now.Add(time.Hour), now, AnyWait)
	}
	if got := q.Enter(now.Add(time.Hour), now, AnyWait).Refused(); got != Busy {
		t.Errorf("got %q, want %q", got, Busy)
	}
}

func TestTaskIsHandedBackIfItWaitsLongerThanBelieved(t *testing.T) {
	var q Queue
	q.Resize(1)
	q.Enter(now.Add(time.Hour), now, 0)
	if got := q.Enter(now.Add(time.Hour), now, 0).Refused(); got != Bounced {
		t.Errorf("got %q, want %q", got, Bounced)
	}
	ticket := q.Enter(now.Add(time.Hour), now, time.Second)
	q.Release(0)
	if !holds(ticket) {
		t.Error("a task that may wait was not queued")
	}
}

func BenchmarkEnterAndRelease(b *testing.B) {
	var q Queue
	q.Resize(8)
	b.ReportAllocs()
	for b.Loop() {
		q.Enter(now.Add(time.Hour), now, AnyWait)
		q.Release(time.Millisecond)
	}
}
