package coord

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// found is what a gate reports that has found that tasks of kind r are slowed by those of kind b.
var found = []msgs.Interference{{Slowed: "r", By: "b", Factor: 150, Evidence: 400}}

// setLoads changes the loads of all gates, and waits until the entry has them.
func (f *fakeGates) setLoads(t *testing.T, change func(gate int, l *msgs.Load)) {
	t.Helper()
	f.mu.Lock()
	for i := range f.loads {
		change(i, &f.loads[i])
	}
	f.mu.Unlock()
	changed := boot.Now()
	for _, l := range f.links {
		waitUntil(t, "the load is known", func() bool { return l.View(boot.Now()).Load.Timestamp > int64(changed) })
	}
}

// chosen returns the gate that is chosen for a task of the job, and the message to it.
func chosen(t *testing.T, c *Coordinator, j Job) (string, msgs.Task) {
	t.Helper()
	e := newExecution(j)
	s := e.Steps[0]
	s.kind = "r"
	l, _, m, ok := c.place(e, s, &taskState{name: "j.0.0.0", avoid: map[string]bool{}})
	if !ok {
		t.Fatal("no gate")
	}
	return l.Addr, m
}

// TestTasksThatSlowEachOtherArePlacedApart checks that the entry uses what a gate has found:
// for the gates of the service, where that costs no wait, as long as it is reported.
func TestTasksThatSlowEachOtherArePlacedApart(t *testing.T) {
	f := newFakeGates(t, 2)
	c := f.coordinator()
	var mu sync.Mutex
	var counted []string
	c.Count = func(name string) {
		mu.Lock()
		defer mu.Unlock()
		counted = append(counted, name)
	}
	job := newTestJob(1, 100)
	pass := func() { // the time between two merges
		c.interference.mu.Lock()
		defer c.interference.mu.Unlock()
		for _, si := range c.interference.byService {
			si.mergedAt = 0
		}
	}

	f.setLoads(t, func(gate int, l *msgs.Load) {
		l.Speed = []float64{1, 0.9}[gate]
	})
	pass()
	if g, m := chosen(t, c, job); g != "g0" || m.Kind != "r" || m.WantKinds {
		t.Errorf("without interference: chose %s, sent %+v", g, m)
	}
	// The gate that has found it is not the one with the run that slows the task.
	f.setLoads(t, func(gate int, l *msgs.Load) {
		if gate == 1 {
			l.Interference = found
			return
		}
		l.Kinds = []msgs.KindRuns{{Kind: "b", Runs: 1}}
	})
	pass()
	if g, m := chosen(t, c, job); g != "g1" || !m.WantKinds {
		t.Errorf("with interference: chose %s, sent %+v", g, m)
	}
	if got := c.Interference(); len(got) != 1 || got[0].Service != "s" || got[0].Slowed != "r" || got[0].By != "b" {
		t.Errorf("in force: %+v", got)
	}
	f.setLoads(t, func(gate int, l *msgs.Load) {
		if gate == 1 {
			l.UsedCPU = 950
		}
	})
	pass()
	if g, _ := chosen(t, c, job); g != "g0" {
		t.Errorf("chose %s, where the task waits", g)
	}
	f.setLoads(t, func(_ int, l *msgs.Load) { l.Interference, l.UsedCPU = nil, 0 })
	pass()
	if g, m := chosen(t, c, job); g != "g0" || m.WantKinds || len(c.Interference()) > 0 {
		t.Errorf("when it has ended: chose %s, sent %+v, %+v in force", g, m, c.Interference())
	}
	pass()
	chosen(t, c, job)
	if c.interference.known.Load() {
		t.Error("reports are merged though there are none")
	}
	mu.Lock()
	defer mu.Unlock()
	if want := []string{"interference.found", ApartCounter, "interference.dropped"}; !slices.Equal(counted, want) {
		t.Errorf("counted %q, want %q", counted, want)
	}
}

// TestTaskSentJustNowCountsAsRun checks that the tasks of one job, which are placed at once, are
// kept apart from each other too, before a load shows them.
func TestTaskSentJustNowCountsAsRun(t *testing.T) {
	f := newFakeGates(t, 2)
	f.setLoads(t, func(_ int, l *msgs.Load) {
		l.Interference = []msgs.Interference{{Slowed: "r/i", By: "r/i", Factor: 300, Evidence: 400}}
	})
	hold := make(chan struct{})
	f.mu.Lock()
	f.respond = func(int, msgs.Task) msgs.TaskReply {
		<-hold
		return msgs.TaskReply{Result: msgs.Done, RunTime: 10}
	}
	f.mu.Unlock()
	c := f.coordinator()
	job := newTestJob(1, 10)
	job.Steps[0].Image = "i"
	e := newExecution(job)
	go c.runStep(e, 0, e.Steps[0])
	waitUntil(t, "the first task is sent", func() bool { return f.receivedCount() == 1 })
	f.mu.Lock()
	if kind := f.received[0].Kind; kind != "r/i" {
		t.Errorf("sent kind %q", kind)
	}
	f.mu.Unlock()
	runs := 0
	for _, l := range f.links {
		runs += l.Runs("r/i")
	}
	if runs != 1 {
		t.Errorf("%d runs known, want 1", runs)
	}
	close(hold)
}

// TestAdmissionIgnoresInterference checks that interference does not change the wait by which
// jobs are admitted or refused. The third task waits for the fast gate. It would not if the
// first two were placed apart from what runs there.
func TestAdmissionIgnoresInterference(t *testing.T) {
	f := newFakeGates(t, 2)
	c := f.coordinator()
	var wait any
	c.Trace = func(event string, pairs ...any) {
		if i := slices.Index(pairs, any("wait")); event == "step_admitted" {
			wait = pairs[i+1]
		}
	}
	job := newTestJob(3, 400)
	expectWait := func() time.Duration {
		c.admitStep(newExecution(job), 0, job.Steps[0])
		d, ok := wait.(time.Duration)
		if !ok || d <= 0 {
			t.Errorf("wait %v, want one", wait)
		}
		return d
	}
	f.setLoads(t, func(gate int, l *msgs.Load) { l.Speed = []float64{1.2, 0.5}[gate] })
	before := expectWait()
	f.setLoads(t, func(gate int, l *msgs.Load) {
		l.Interference = []msgs.Interference{{Slowed: "r", By: "b", Factor: 800, Evidence: 400}}
		if gate == 0 {
			l.Kinds = []msgs.KindRuns{{Kind: "b", Runs: 1}}
		}
	})
	// The candidates of this placement are used again.
	if g, _ := chosen(t, c, job); g != "g1" {
		t.Fatalf("chose %s, so nothing is in force", g)
	}
	if after := expectWait(); after != before {
		t.Errorf("longest wait %v, without interference %v", after, before)
	}
}

// TestInterferenceDoesNotAllocate checks that interference adds no allocation to a placement,
// which an entry decides up to 1,000 times a second.
func TestInterferenceDoesNotAllocate(t *testing.T) {
	f := newFakeGates(t, 4)
	c := f.coordinator()
	now := boot.Now()
	c.Now = func() boot.Time { return now }
	s := Step{Count: 1, Size: rsrc.Vector{CPU: 10}}
	allocs := func() float64 {
		cands := c.findCandidates(newTestJob(1, 10).Route, s)
		defer c.release(cands)
		return testing.AllocsPerRun(100, func() { c.weighInterference(cands, "s", "r") })
	}
	if n := allocs(); n > 0 {
		t.Errorf("%v allocations without pairs", n)
	}
	f.setLoads(t, func(_ int, l *msgs.Load) {
		l.Interference, l.Kinds = found, []msgs.KindRuns{{Kind: "b", Runs: 5}}
	})
	now = boot.Now()
	if n := allocs(); n > 0 || len(c.Interference()) == 0 {
		t.Errorf("%v allocations with %d pairs", n, len(c.Interference()))
	}
}
