package trail

import (
	"fmt"
	"strings"
	"testing"
)

const collected = `front-1 | prog=gypsumlanding id=e1 ts=2026-01-01T10:00:00.100Z event=step_admitted job=0a route=plan wait=0s refused=""
front-1 | prog=gypsumlanding id=e1 ts=2026-01-01T10:00:00.101Z event=task_placed job=0a task=0a.0.0.0 gate=1:2 target=i-1
prog=gypsumlanding id=n1 ts=2026-01-01T10:00:00.102Z event=task_started job=0a task=0a.0.0.0 target=i-1 entry=e1
prog=gypsumlanding id=n1 ts=2026-01-01T10:00:00.150Z event=target_silent target=i-1 err="no answer"
prog=gypsumlanding id=n2 ts=2026-01-01T10:00:00.150Z event=target_silent target=i-2 err="no answer"
prog=gypsumlanding id=e1 ts=2026-01-01T10:00:00.160Z event=step_admitted job=0b route=plan
prog=gypsumlanding id=n1 ts=2026-01-01T10:00:00.151Z event=target_aside target=i-1 reason=failing job=0b
some other line
prog=gypsumlanding id=e1 ts=broken event=job job=0a
`

const ended = `prog=gypsumlanding id=e1 ts=2026-01-01T10:00:01.100Z event=job job=0a state=refused reason=full ms=1000 retries=2
`

const restarted = `prog=gypsumlanding id=e1 ts=2026-01-01T10:00:01.000Z event=started
`

func read(t *testing.T, job, text string) *Timeline {
	t.Helper()
	b := &Timeline{Job: job}
	if err := b.Read(strings.NewReader(text)); err != nil {
		t.Fatal(err)
	}
	return b
}

func TestStoryHasTheRequestsLinesAndWhatTouchedIt(t *testing.T) {
	var events []string
	for _, l := range read(t, "0a", ended+collected).Lines() {
		events = append(events, l.Process+":"+l.Event)
	}
	want := "e1:step_admitted e1:task_placed n1:task_started n1:target_silent n1:target_aside e1:job"
	if got := strings.Join(events, " "); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

func TestVerdictTellsTheEnd(t *testing.T) {
	for text, want := range map[string]string{
		collected + ended:     "e1 ended it as refused (full) after 1000 ms with 2 tasks placed again",
		collected + restarted: "lost with the process: e1 took it, and started again at 10:00:01.000",
		collected:             "no entry tells its end: the entry died with it, or its last lines were not collected",
		"prog=gypsumlanding id=e1 ts=2026-01-01T10:00:00Z event=request_refused job=0a status=503 reason=noconfig\n": "e1 refused it with status 503 (noconfig)",
		"": "no line names this request: it reached no entry whose lines are here, or the lines were dropped (log_dropped)",
	} {
		if got := read(t, "0a", text).Outcome(); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

func ExampleBook_Text() {
	b := &Timeline{Job: "0a"}
	_ = b.Read(strings.NewReader(collected + ended))
	fmt.Print(b.Text())
	// Output:
	// 10:00:00.100 +0        e1                     step_admitted    route=plan wait=0s
	// 10:00:00.101 +1        e1                     task_placed      task=0a.0.0.0 gate=1:2 target=i-1
	// 10:00:00.102 +2        n1                     task_started     task=0a.0.0.0 target=i-1 entry=e1
	// 10:00:00.150 +50     * n1                     target_silent    target=i-1 err=no answer
	// 10:00:00.151 +51     * n1                     target_aside     target=i-1 reason=failing job=0b
	// 10:00:01.100 +1000     e1                     job              state=refused reason=full ms=1000 retries=2
	// e1 ended it as refused (full) after 1000 ms with 2 tasks placed again
}
