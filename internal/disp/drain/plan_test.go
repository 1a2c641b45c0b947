package drain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/drain"
)

func ExampleNew() {
	for _, grace := range []time.Duration{0, 500 * time.Millisecond, time.Second, 2 * time.Second, 6 * time.Second, 30 * time.Second} {
		p := drain.New(0, grace)
		fmt.Println(grace, "accept", time.Duration(p.AcceptUntil), "connect", time.Duration(p.ConnectUntil),
			"answer", time.Duration(p.AnswerBy), "exit", time.Duration(p.ExitBy))
	}
	// Output:
	// 0s accept 0s connect 0s answer 0s exit 0s
	// 500ms accept 250ms connect 400ms answer 400ms exit 475ms
	// 1s accept 500ms connect 800ms answer 800ms exit 950ms
	// 2s accept 1s connect 1.7s answer 1.7s exit 1.9s
	// 6s accept 2.9s connect 2.5s answer 5.7s exit 5.9s
	// 30s accept 2.9s connect 2.5s answer 29.7s exit 29.9s
}

func ExamplePlan_MaxWaiting() {
	p := drain.New(0, 6*time.Second)
	for _, at := range []time.Duration{0, 5500 * time.Millisecond, 5699 * time.Millisecond, 5700 * time.Millisecond, time.Minute} {
		fmt.Println(at, p.MaxWaiting(boot.Time(at)))
	}
	// Output:
	// 0s 2850
	// 5.5s 100
	// 5.699s 0
	// 5.7s 0
	// 1m0s 0
}

// A wait that outlasts the kill leaves callers without an answer. With a grace time of 2 s the entry
// went on for 2.5 s, and with none given for as long.
func TestPlanEndsBeforeTheKill(t *testing.T) {
	const now = boot.Time(time.Hour)
	for grace := -time.Second; grace <= 40*time.Second; grace += 10 * time.Millisecond {
		p := drain.New(now, grace)
		killed := now.Add(max(grace, 0))
		if !p.Stopping() || p.AcceptUntil < now || p.AcceptUntil > p.AnswerBy || p.ConnectUntil > p.AnswerBy || p.AnswerBy > p.ExitBy || p.ExitBy > killed {
			t.Fatalf("grace time %v: %+v", grace, p)
		}
		if grace > 0 && (p.AnswerBy == killed || p.ExitBy == killed) {
			t.Fatalf("grace time %v: no time between the last answers, the end and the kill: %+v", grace, p)
		}
	}
}

// A process that is not stopping takes all jobs.
func TestZeroPlanAllowsAll(t *testing.T) {
	var p drain.Plan
	if p.Stopping() || !p.Accepts(boot.Time(time.Hour)) || !p.Allows(boot.Time(time.Hour), time.Hour) {
		t.Error("a process that is not stopping refuses a job")
	}
}
