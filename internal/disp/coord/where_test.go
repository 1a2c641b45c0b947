package coord

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// newGatesWithLoads returns gates that have reported the given loads, and report nothing more,
// so that what is known of them depends only on the coordinator's clock.
func newGatesWithLoads(t *testing.T, loads ...msgs.Load) *fakeGates {
	f := &fakeGates{loads: loads}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range loads {
		l := &link.Link{Addr: fmt.Sprint("g", i), Entry: "e", Incarnation: 1, Drop: func(string) {}}
		l.Call = func(_ context.Context, _, method string, args, reply any) error {
			return f.handleCall(i, method, args, reply)
		}
		f.links = append(f.links, l)
		running.Go(func() { l.Run(ctx) })
	}
	for _, l := range f.links {
		waitUntil(t, "the gate has answered", func() bool { return l.View(boot.Now()).LastAnswer > 0 })
	}
	cancel()
	running.Wait()
	return f
}

// frozenCoordinator returns a coordinator whose clock stands still at the returned time.
func (f *fakeGates) frozenCoordinator() (*Coordinator, *boot.Time) {
	now := boot.Now()
	c := f.coordinator()
	c.Now = func() boot.Time { return now }
	return c, &now
}

// dump returns all of a coordinator's state that its decisions depend on as text.
func (c *Coordinator) dump() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	text := fmt.Sprintf("%+v %+v %+v %d %d %v %d", &c.runTimes, &c.retries, &c.limiter, c.nextTaskID.Load(), len(c.jobs), c.losses, c.outageSince)
	for service, g := range c.guards {
		text += fmt.Sprintf(" %s:%+v", service, g)
	}
	return text
}

// queryQuietly returns what Where answers. It fails the test if Where traces or counts
// anything, sends a task, or changes the coordinator.
func queryQuietly(t fataler, f *fakeGates, c *Coordinator, j Job) Plan {
	c.Trace = func(event string, _ ...any) { t.Fatalf("the query traces %s", event) }
	c.Count = func(name string) { t.Fatalf("the query counts %s", name) }
	c.Observe = func(name string, _ time.Duration) { t.Fatalf("the query observes %s", name) }
	before, sent := c.dump(), f.receivedCount()
	p := c.Where(j)
	if after := c.dump(); after != before || f.receivedCount() != sent {
		t.Fatalf("the query changes the state from\n%s to\n%s, and sends %d tasks", before, after, f.receivedCount()-sent)
	}
	c.Trace, c.Count, c.Observe = nil, nil, nil
	return p
}

// fataler is what queryQuietly uses of *testing.T and *rapid.T.
type fataler interface {
	Fatalf(format string, args ...any)
}

// Each gate must be listed with what counts against it, and with nothing else.
func TestWhereTellsWhatCountsAgainstGates(t *testing.T) {
	base := msgs.Load{Incarnation: 1, Service: "s", TargetIncarnation: "t", CPU: 1000, Memory: 1000, Speed: 1, Labels: []string{"ssd", "rack"}}
	for _, tt := range []struct {
		name      string
		change    func(*msgs.Load)
		candidate bool
		want      []string
	}{
		{"nothing", func(*msgs.Load) {}, true, nil},
		{"leaving", func(l *msgs.Load) { l.Leaving = true }, false, []string{"leaving"}},
		{"other service", func(l *msgs.Load) { l.Service = "other" }, false, []string{"service"}},
		{"no target", func(l *msgs.Load) { l.Service = "" }, false, []string{"notarget"}},
		{"label missing", func(l *msgs.Load) { l.Labels = []string{"rack"} }, false, []string{"label"}},
		{"away from the data", func(l *msgs.Load) { l.Labels = []string{"ssd"} }, true, []string{"far: runs 1.5 times as long"}},
		{"too small", func(l *msgs.Load) { l.CPU = 200 }, true, []string{"size: needs cpu 300, memory 0 MB, gpu 0, has cpu 200, memory 1000 MB, gpu 0"}},
		{"crashed", func(l *msgs.Load) { l.BlockedReason = cause.TargetCrashed }, true, []string{"crashed"}},
		{"target silent", func(l *msgs.Load) { l.BlockedReason = cause.Silent }, true, []string{"silent"}},
		{"breaker open", func(l *msgs.Load) { l.BlockedReason = cause.TargetFailing }, true, []string{"aside: failing"}},
		{"full", func(l *msgs.Load) { l.UsedCPU = 800 }, true, []string{"full"}},
		{"full and away", func(l *msgs.Load) { l.UsedCPU, l.Labels = 800, []string{"ssd"} }, true, []string{"full", "far: runs 1.5 times as long"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			load := base
			tt.change(&load)
			f := newGatesWithLoads(t, load)
			c, now := f.frozenCoordinator()
			j := newTestJob(1, 300)
			j.Arrived, j.Steps[0].RequiredLabel, j.Steps[0].PreferredLabel = *now, "ssd", "rack"
			g := queryQuietly(t, f, c, j).Steps[0].Gates
			if len(g) != 1 || g[0].Candidate != tt.candidate || !slices.Equal(g[0].Against, tt.want) {
				t.Errorf("got %+v, want candidate %t against %q", g, tt.candidate, tt.want)
			}
		})
	}
}

// A gate that has not answered, or not lately, must be listed as silent.
func TestWhereListsSilentGates(t *testing.T) {
	f := newGatesWithLoads(t, msgs.Load{Incarnation: 1, Service: "s", CPU: 1000, Speed: 1})
	f.links = append(f.links, &link.Link{Addr: "g1"})
	c, now := f.frozenCoordinator()
	*now = now.Add(10 * time.Second)
	j := newTestJob(1, 100)
	j.Arrived = *now
	p := queryQuietly(t, f, c, j)
	g := p.Steps[0].Gates
	if len(g) != 2 || g[0].AnswerAge < 5*time.Second || g[1].AnswerAge >= 0 {
		t.Fatalf("got %+v, want an old answer and none", g)
	}
	for _, g := range g {
		if g.Candidate || !slices.Equal(g.Against, []string{"silent"}) {
			t.Errorf("got %+v, want it to be silent", g)
		}
	}
	if s := p.Steps[0]; s.Candidates != 0 || s.Usable != 0 {
		t.Errorf("got %d candidates, of which %d are usable", s.Candidates, s.Usable)
	}
	// Without gates the job is admitted, and refused if none is found in time: twice the
	// budget of 1.6 times 100 ms and 60 ms.
	if p.Refused != "" || p.RefusedAfter != 440*time.Millisecond {
		t.Errorf("got %+v", p)
	}
}

// The gates that the bulkheads keep for other routes must be listed as separated.
func TestWhereListsSeparatedGates(t *testing.T) {
	load := msgs.Load{Incarnation: 1, Service: "s", CPU: 1000, Speed: 1}
	f := newGatesWithLoads(t, load, load, load, load)
	c, now := f.frozenCoordinator()
	raiseBulkheads(c, "b", "r")
	j := newTestJob(1, 100)
	j.Arrived = *now
	separated := 0
	for _, g := range queryQuietly(t, f, c, j).Steps[0].Gates {
		if !g.Candidate && slices.Equal(g.Against, []string{"separated"}) {
			separated++
		}
	}
	if separated != 2 {
		t.Errorf("%d gates are separated, want 2 of 4", separated)
	}
}

// An overload must be told with a time to retry, a job that no target can run without one.
func TestWhereTellsRefusals(t *testing.T) {
	full := msgs.Load{Incarnation: 1, Service: "s", CPU: 1000, Memory: 1000, Speed: 1, UsedCPU: 1000, QueuedWork: 900}
	f := newGatesWithLoads(t, full, full)
	c, now := f.frozenCoordinator()
	for _, tt := range []struct {
		cpu   int
		want  string
		retry bool
	}{{1000, cause.Overload, true}, {1001, cause.TooLarge, false}} {
		j := newTestJob(1, tt.cpu)
		j.Arrived = *now
		p := queryQuietly(t, f, c, j)
		if p.Refused != tt.want || tt.retry != (p.RetryEarliest >= 900*time.Millisecond) || p.RetryLatest < p.RetryEarliest {
			t.Errorf("cpu %d: got %+v, want %s", tt.cpu, p.Admission, tt.want)
		}
	}
}

// The time to retry must grow with the outage that the entry knows, and a step that can be
// served ends the outage for those after it, as it does when a job is admitted.
func TestWhereCountsOutage(t *testing.T) {
	crashed := msgs.Load{Incarnation: 1, Service: "s", CPU: 1000, Memory: 1000, Speed: 1, BlockedReason: cause.TargetCrashed, Labels: []string{"ssd"}}
	well := crashed
	well.BlockedReason, well.Labels = "", nil
	for _, tt := range []struct {
		name     string
		loads    []msgs.Load
		earliest time.Duration
	}{
		{"all targets crashed", []msgs.Load{crashed}, 4 * time.Second},
		{"the first step can be served", []msgs.Load{crashed, well}, 100 * time.Millisecond},
	} {
		f := newGatesWithLoads(t, tt.loads...)
		c, now := f.frozenCoordinator()
		c.outageSince = now.Add(-4 * time.Second)
		j := newTestJob(1, 100)
		j.Arrived, j.Steps = *now, append(j.Steps, j.Steps[0])
		j.Steps[1].RequiredLabel = "ssd"
		p := queryQuietly(t, f, c, j)
		if p.Refused != cause.Overload || p.RetryEarliest != tt.earliest {
			t.Errorf("%s: got %+v", tt.name, p.Admission)
		}
	}
}

// A job with very many steps must not make the answer exceed the memory of an entry.
func TestWhereListsGatesOfFirstStepsOnly(t *testing.T) {
	f := newGatesWithLoads(t, msgs.Load{Incarnation: 1, Service: "s", CPU: 1000, Speed: 1})
	c, now := f.frozenCoordinator()
	j := newTestJob(1, 100)
	j.Arrived, j.Steps = *now, slices.Repeat(j.Steps, 2*maxListedSteps)
	listed := 0
	steps := queryQuietly(t, f, c, j).Steps
	for _, s := range steps {
		listed += len(s.Gates)
	}
	if len(steps) != 2*maxListedSteps || listed != maxListedSteps {
		t.Errorf("%d steps with %d gates", len(steps), listed)
	}
}
