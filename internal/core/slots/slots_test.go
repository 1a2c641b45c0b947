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

// holdsSlot reports whether the ticket has a slot.
func holdsSlot(t *Ticket) bool {
	select {
	case <-t.Ready():
		return t.Refusal() == ""
	default:
		return false
	}
}

// TestSlotsAreNeverOvercommitted enqueues, withdraws and ends tasks, resizes the
// queue and sets it leaving, in random order.
func TestSlotsAreNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		slots := 3
		q.Resize(slots)
		var tickets, running []*Ticket
		t.Repeat(map[string]func(*rapid.T){
			"enqueue": func(t *rapid.T) {
				deadline := now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "deadline")) * time.Second)
				tickets = append(tickets, q.Enqueue(deadline, now, UnlimitedWait))
			},
			"give up": func(t *rapid.T) {
				if len(tickets) > 0 {
					q.Withdraw(rapid.SampledFrom(tickets).Draw(t, "ticket"))
				}
			},
			"end": func(*rapid.T) {
				if len(running) > 0 {
					running = running[1:]
					q.Release(time.Millisecond)
				}
			},
			"leave":  func(t *rapid.T) { q.SetLeaving(rapid.Bool().Draw(t, "leave")) },
			"resize": func(t *rapid.T) { slots = max(slots, rapid.IntRange(1, 5).Draw(t, "slots")); q.Resize(slots) },
			"": func(t *rapid.T) {
				var waiting []*Ticket
				for _, ticket := range tickets {
					select {
					case <-ticket.Ready():
						if ticket.Refusal() == "" {
							running = append(running, ticket)
						}
					default:
						waiting = append(waiting, ticket)
					}
				}
				tickets = waiting
				if len(running) > slots || q.Load().Running != len(running) || q.Load().Queued != len(waiting) {
					t.Fatalf("%d tasks run in %d slots, %d wait; the queue reports %+v", len(running), slots, len(waiting), q.Load())
				}
			},
		})
	})
}

func TestEarliestDeadlineGoesFirst(t *testing.T) {
	var q Queue
	q.Resize(1)
	first := q.Enqueue(now.Add(time.Hour), now, UnlimitedWait)
	later := q.Enqueue(now.Add(3*time.Second), now, UnlimitedWait)
	earlier := q.Enqueue(now.Add(2*time.Second), now, UnlimitedWait)
	if !holdsSlot(first) || holdsSlot(later) || holdsSlot(earlier) {
		t.Fatal("want the slot held by the first ticket and no other")
	}
	q.Release(0)
	if !holdsSlot(earlier) || holdsSlot(later) {
		t.Error("the slot did not go to the ticket with the earlier deadline")
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
		{"too late", func() {
			q.Resize(1)
			q.Enqueue(now.Add(time.Hour), now, UnlimitedWait)
			q.Release(time.Minute)
			q.Enqueue(now.Add(time.Hour), now, UnlimitedWait)
		}, TooLate},
		{"leaving", func() { q.SetLeaving(true) }, Leaving},
		{"target gone", func() { q.SetLeaving(false); q.Resize(0) }, NoTarget},
	} {
		c.prepare()
		if got := q.Enqueue(now.Add(time.Second), now, UnlimitedWait).Refusal(); got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}

func TestFullQueueRefuses(t *testing.T) {
	var q Queue
	q.Resize(1)
	for range maxQueuedPerSlot + 1 {
		q.Enqueue(now.Add(time.Hour), now, UnlimitedWait)
	}
	if got := q.Enqueue(now.Add(time.Hour), now, UnlimitedWait).Refusal(); got != QueueFull {
		t.Errorf("got %q, want %q", got, QueueFull)
	}
}

func TestTaskIsBouncedIfItWouldWaitTooLong(t *testing.T) {
	var q Queue
	q.Resize(1)
	q.Enqueue(now.Add(time.Hour), now, 0)
	if got := q.Enqueue(now.Add(time.Hour), now, 0).Refusal(); got != Bounced {
		t.Errorf("got %q, want %q", got, Bounced)
	}
	ticket := q.Enqueue(now.Add(time.Hour), now, time.Second)
	q.Release(0)
	if !holdsSlot(ticket) {
		t.Error("a task that was allowed to wait did not get the slot")
	}
}

func BenchmarkEnqueueAndRelease(b *testing.B) {
	var q Queue
	q.Resize(8)
	b.ReportAllocs()
	for b.Loop() {
		q.Enqueue(now.Add(time.Hour), now, UnlimitedWait)
		q.Release(time.Millisecond)
	}
}
