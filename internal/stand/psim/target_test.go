package psim

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// newTarget returns a target whose incarnation has started, and a function that sends an order
// to it and returns the status and the body of the answer. The status is 0 without an answer.
func newTarget(t *testing.T, seed uint64) (*target, func(path, body string) (int, string)) {
	t.Helper()
	tg := &target{addr: "t", milliCPU: 1 << 20, checker: &checker{}, evacuations: &evacuations{}, draws: newDraws(seed)}
	tg.restart(false)
	return tg, func(path, body string) (status int, answer string) {
		defer func() {
			if recover() != nil {
				status = 0
			}
		}()
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
		r.Header.Set("Gypsumlanding-Expect-Instance", tg.currentID())
		tg.ServeHTTP(w, r)
		return w.Code, w.Body.String()
	}
}

// currentID returns the ID of the current incarnation.
func (t *target) currentID() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.incarnationID
}

// A run that ends while a listing is made was always in exactly one of the two lists.
func TestRunThatEndsBetweenTheListsMayBeInNeitherOrBoth(t *testing.T) {
	tg, _ := newTarget(t, 1)
	seen := map[[2]bool]bool{}
	for i := range 400 {
		task := fmt.Sprintf("j%d.0.0.0", i)
		o := order{Task: task, Run: 1, SpecText: `{"ms":1}`, DeadlineMS: 1 << 40, path: startPath, receivedAt: time.Now(), receiver: tg.startTime()}
		if a, _ := tg.execute(o); a.status != http.StatusOK {
			t.Fatalf("start answered %d", a.status)
		}
		a, _ := tg.awaitListing(context.Background(), order{path: pollPath, receivedAt: time.Now(), receiver: tg.startTime()})
		text := fmt.Sprint(a.body["running"]) + "|" + fmt.Sprint(a.body["ended"])
		running, ended, _ := strings.Cut(text, "|")
		seen[[2]bool{strings.Contains(running, task+" "), strings.Contains(ended, task+" ")}] = true
		time.Sleep(maxListGap)
		tg.mu.Lock()
		tg.endDueRuns()
		tg.forgotten = len(tg.ends)
		tg.mu.Unlock()
	}
	if !seen[[2]bool{false, false}] || !seen[[2]bool{true, true}] {
		t.Errorf("in running and ended: %v, want also neither and both", seen)
	}
}

// Ends were always listed in the order of their numbers, which the page does not promise.
func TestEndsAreListedInAnyOrder(t *testing.T) {
	tg, _ := newTarget(t, 1)
	const ends = 20
	for i := range ends {
		tg.ends = append(tg.ends, []any{i + 1, "a.0.0.0", 1, "done", ""})
	}
	sorted, numbers := true, map[any]bool{}
	for i, row := range tg.listEnded() {
		sorted = sorted && row[0] == i+1
		numbers[row[0]] = true
	}
	if sorted || len(numbers) != ends {
		t.Errorf("%d of %d ends listed, in order: %v", len(numbers), ends, sorted)
	}
}

// A target could not restart under the ID that it had.
func TestRestartUnderTheSameIDKeepsNothing(t *testing.T) {
	tg, send := newTarget(t, 1)
	if status, _ := send(startPath, `{"task":"a.0.0.0","run":1,"spec":"{\"ms\":5000}","deadline-ms":900000,"fencing-token":7}`); status != http.StatusOK {
		t.Fatalf("start answered %d", status)
	}
	id, receiver := tg.currentID(), tg.startTime()
	time.Sleep(2 * time.Millisecond)
	tg.restart(true)
	if got := tg.currentID(); got != id {
		t.Errorf("ID %s became %s", id, got)
	}
	if a, _ := tg.execute(order{Task: "b.0.0.0", Run: 1, SpecText: "{}", DeadlineMS: 900000, path: startPath, receiver: receiver}); a.status != 0 {
		t.Errorf("an order that the previous incarnation received is answered %d", a.status)
	}
	status, body := send(pollPath, `{"fencing-token":1}`)
	if status != http.StatusOK || !strings.Contains(body, `"running":[]`) || !strings.Contains(body, `"ended":[]`) {
		t.Errorf("listing: %d %s", status, body)
	}
}

// No start was answered 429 or 503.
func TestUnhealthyTargetDoesNothing(t *testing.T) {
	tg, send := newTarget(t, 1)
	tg.unhealthyShare = 1
	answered := map[int]bool{}
	for i := range 40 {
		status, _ := send(startPath, fmt.Sprintf(`{"task":"a.0.0.%d","run":1,"spec":"{}","deadline-ms":900000,"fencing-token":7}`, i))
		answered[status] = true
	}
	if !answered[http.StatusTooManyRequests] || !answered[http.StatusServiceUnavailable] || len(answered) != 2 {
		t.Errorf("statuses %v, want 429 and 503", answered)
	}
	if len(tg.runs) != 0 || tg.fence != 0 || !tg.leaseEnd.IsZero() {
		t.Errorf("%d runs, fencing token %d, lease until %v", len(tg.runs), tg.fence, tg.leaseEnd)
	}
}

// Answers to starts said which incarnation gives them, which only listings do.
func TestOnlyListingsSayWhichIncarnationAnswers(t *testing.T) {
	_, send := newTarget(t, 1)
	if _, body := send(startPath, `{"task":"a.0.0.0","run":1,"spec":"{}","deadline-ms":900000}`); strings.Contains(body, "born") {
		t.Errorf("start answered %s", body)
	}
	if _, body := send(pollPath, `{}`); !strings.Contains(body, "born") {
		t.Errorf("poll answered %s", body)
	}
}
