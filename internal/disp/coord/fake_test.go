package coord

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/evac"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/route"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/peer"
)

// fakeGates is a set of gates that answer each task with the result of respond.
type fakeGates struct {
	mu          sync.Mutex
	links       []*link.Link
	loads       []msgs.Load
	respond     func(gate int, m msgs.Task) msgs.TaskReply
	received    []msgs.Task
	cancelCount int
	coord       *Coordinator // the newest one
}

// newFakeGates returns n gates whose targets have one core each. They answer each task
// with success until the test replaces respond.
func newFakeGates(t *testing.T, n int) *fakeGates {
	f := &fakeGates{respond: func(int, msgs.Task) msgs.TaskReply { return msgs.TaskReply{Result: msgs.Done, RunTime: 10} }}
	for range n {
		f.addGate(t, func(*msgs.Load) {}, nil)
	}
	return f
}

// addGate adds a gate whose load change has changed, and waits until it is known. Its link
// knows the given orders.
func (f *fakeGates) addGate(t *testing.T, change func(*msgs.Load), orders *evac.Set) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f.mu.Lock()
	i := len(f.links)
	f.loads = append(f.loads, msgs.Load{Incarnation: 1, Service: "s", TargetIncarnation: string(rune('a' + i)), CPU: 1000, Memory: 1000, Speed: 1})
	change(&f.loads[i])
	f.mu.Unlock()
	l := &link.Link{Addr: fmt.Sprint("g", i), Entry: "e", Incarnation: 1, Drop: func(string) {}, Orders: orders, Losses: f.tellLosses}
	l.Call = func(_ context.Context, _, method string, args, reply any) error {
		return f.handleCall(i, method, args, reply)
	}
	f.links = append(f.links, l)
	go l.Run(ctx)
	waitUntil(t, "the gate is known", func() bool { return l.View(boot.Now()).Available })
}

func (f *fakeGates) handleCall(gate int, method string, args, reply any) error {
	f.mu.Lock()
	load := f.loads[gate]
	f.mu.Unlock()
	load.Timestamp = int64(boot.Now())
	if method == link.SyncMethod {
		return f.handleSync(load, args, reply)
	}
	return f.handleTask(gate, load, args, reply)
}

func (f *fakeGates) handleSync(load msgs.Load, args, reply any) error {
	m, known := args.(*msgs.Sync)
	out, ok := reply.(*msgs.Load)
	if !known || !ok {
		return peer.ErrBroken
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelCount += len(m.Cancel)
	*out = load
	return nil
}

func (f *fakeGates) handleTask(gate int, load msgs.Load, args, reply any) error {
	m, known := args.(*msgs.Task)
	out, ok := reply.(*msgs.TaskReply)
	if !known || !ok {
		return peer.ErrBroken
	}
	f.mu.Lock()
	f.received = append(f.received, *m)
	respond := f.respond
	f.mu.Unlock()
	*out = respond(gate, *m)
	load.Timestamp = int64(boot.Now())
	out.Load = load
	return nil
}

// coordinator returns a coordinator that uses the gates, and hears of the losses there from now on.
func (f *fakeGates) coordinator() *Coordinator {
	c := &Coordinator{Links: func() []*link.Link { return f.links }}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.coord = c
	return c
}

func (f *fakeGates) tellLosses(losses []msgs.Loss) {
	f.mu.Lock()
	c := f.coord
	f.mu.Unlock()
	if c != nil {
		c.RecordLosses(losses)
	}
}

func (f *fakeGates) receivedCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.received)
}

func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

func newTestJob(tasks, cpu int) Job {
	return Job{
		ID: "j", Arrived: boot.Now(),
		Route: route.Route{Name: "r", Service: "s", MaxAttempts: 2, MaxStretch: 1.6, LatencyMargin: 60 * time.Millisecond},
		Steps: []Step{{Count: tasks, Size: rsrc.Vector{CPU: cpu}, DeclaredRunTime: 100 * time.Millisecond}},
	}
}
