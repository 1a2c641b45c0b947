package test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/stand/psim"
)

const (
	stopBegun   = 40 // callers of jobs that begin, and then wait for room, at the entry that is stopped
	stopWaiting = 20 // callers of jobs that wait for room from the start, unless they are refused at once
	// stopWait is how long they wait, longer than any grace time.
	stopWait = 20 * time.Second
	// stopFillMilliCPU is what the tasks that fill the targets take of each, in thousandths of a core.
	stopFillMilliCPU = 3500
	stopFillMS       = 9000
	stopTaskMS       = 400 // run time of a task of a job that waits
)

// stopAnswer is what a caller was told.
type stopAnswer struct {
	job        string
	status     int // 0 without an answer
	retryAfter string
	at         time.Time
	starts     int // tasks of the job that have started
}

// submitAt submits a job at the entry with that address and returns the answer without its time.
func submitAt(addr, job, steps string) stopAnswer {
	ctx, cancel := context.WithTimeout(context.Background(), stopWait)
	defer cancel()
	body := fmt.Sprintf(`{"spec":"{\"ms\":%d,\"cpu\":1}","best-effort":true,"steps":[%s]}`, stopTaskMS, steps)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/plan/"+job, strings.NewReader(body))
	if err != nil {
		return stopAnswer{job: job}
	}
	req.Host = "jobs.example"
	req.Header.Set("Gypsumlanding-Deadline-Ms", fmt.Sprint(stopWait.Milliseconds()))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return stopAnswer{job: job}
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return stopAnswer{job: job}
	}
	return stopAnswer{job: job, status: resp.StatusCode, retryAfter: resp.Header.Get("Retry-After")}
}

// TestStoppedEntryAnswersAllCallers guards against an entry that is stopped while jobs wait for room,
// and ends without an answer to their callers; or that refuses a job of which a task has started, or
// answers one that has not begun as if it might have.
func TestStoppedEntryAnswersAllCallers(t *testing.T) {
	for _, grace := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 6 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			t.Parallel()
			platform, err := psim.New(t.TempDir(), filepath.Join(binDir, "gypsumlanding"), psim.Options{Entries: 2, Nodes: 2, Grace: grace})
			if platform != nil {
				t.Cleanup(platform.Close)
			}
			if err != nil {
				t.Fatal(err)
			}
			awaitTrue(t, "the platform to be ready", platform.Ready)
			checkStop(t, platform, grace)
		})
	}
}

// checkStop stops the first entry while its callers wait.
func checkStop(t *testing.T, platform *psim.Platform, grace time.Duration) {
	var jobs sync.WaitGroup
	for i := range 2 {
		jobs.Go(func() { platform.SubmitJob(fillJob(i), 1, stopFillMS, stopFillMilliCPU) })
	}
	awaitTrue(t, "the targets to be full", func() bool { return platform.Starts(fillJob(0))+platform.Starts(fillJob(1)) == 2 })
	addr := platform.Addr("entry", 1, "front")
	answers := make([]stopAnswer, stopBegun+stopWaiting)
	var told sync.WaitGroup
	var stopped time.Time
	submit := func(from, to int, steps string) {
		for i := from; i < to; i++ {
			told.Go(func() {
				answers[i] = submitAt(addr, waitingJob(i), steps)
				answers[i].at = time.Now()
			})
		}
	}
	submit(0, stopBegun, `{"count":1,"cpu":1,"mem-mb":1,"estimate-ms":400},{"count":2,"cpu":1000,"mem-mb":1,"estimate-ms":3000,"after":[0]}`)
	awaitTrue(t, "the first steps to begin", func() bool { return begunJobs(platform) == stopBegun })
	submit(stopBegun, stopBegun+stopWaiting, `{"count":2,"cpu":1000,"mem-mb":1,"estimate-ms":3000}`)
	time.Sleep(stopTaskMS * time.Millisecond)
	stopped = time.Now()
	if err := platform.Stop("e1"); err != nil {
		t.Errorf("the entry was killed: %v", err)
	}
	took := time.Since(stopped)
	told.Wait()
	checkAnswers(t, platform, answers, stopped, grace)
	t.Logf("the entry ended after %v", took)
	if faults := platform.Verdict().Violations; len(faults) > 0 {
		t.Error(faults)
	}
	platform.Close()
	jobs.Wait()
}

func fillJob(i int) string { return fmt.Sprintf("%016x", 0xf0+i) }

func waitingJob(i int) string { return fmt.Sprintf("%016x", 0x100+i) }

// begunJobs returns the number of the callers' jobs that have begun.
func begunJobs(platform *psim.Platform) int {
	n := 0
	for i := range stopBegun {
		n += min(1, platform.Starts(waitingJob(i)))
	}
	return n
}

// checkAnswers checks what the callers of the entry were told.
func checkAnswers(t *testing.T, platform *psim.Platform, answers []stopAnswer, stopped time.Time, grace time.Duration) {
	counts, last := map[int]int{}, time.Duration(0)
	for _, a := range answers {
		a.starts = platform.Starts(a.job)
		counts[a.status]++
		last = max(last, a.at.Sub(stopped))
		switch {
		case a.status == http.StatusServiceUnavailable && a.starts == 0 && a.retryAfter != "":
		case a.status == http.StatusBadGateway && a.starts > 0:
		default:
			t.Errorf("%+v", a)
		}
	}
	t.Logf("answers by status: %v, the last after %v", counts, last)
	if last >= grace {
		t.Errorf("the last answer comes %v after the signal, want less than %v", last, grace)
	}
}
