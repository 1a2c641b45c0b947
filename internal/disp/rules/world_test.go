package rules

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/coord"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/gate"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/route"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/peer"
)

const (
	hop         = time.Millisecond       // one way between processes
	brokenAfter = 700 * time.Millisecond // until a connection without an answer counts as broken
	resendAfter = 1300 * time.Millisecond
)

// world is two entries, three gates and their targets, with the calls between
// them. It lives in a bubble of virtual time.
type world struct {
	judge   *judge
	begun   time.Time
	targets []*target
	done    chan struct{} // closed at the end

	mu      sync.Mutex
	gates   []*gateProc
	entries []*entryProc
	cut     map[[2]int]cutKind // by entry and gate
	lives   uint64
	jobs    map[string]context.CancelFunc
	asks    map[string]context.CancelFunc // that break a caller's connection, by entry and job
	callers sync.WaitGroup
}

// cutKind is how the calls between an entry and a gate fail.
type cutKind int

const (
	whole    cutKind = iota // they don't
	silent                  // nothing gets through
	noAnswer                // calls get through, answers don't
)

// gateProc is one life of a gate.
type gateProc struct {
	gate *gate.Gate
	ctx  context.Context
	kill context.CancelFunc
}

// entryProc is one life of an entry.
type entryProc struct {
	coord *coord.Coordinator
	ctx   context.Context
	kill  context.CancelFunc
}

func newWorld(entries, gates int) *world {
	w := &world{
		judge: newJudge(), begun: time.Now(), done: make(chan struct{}),
		cut: map[[2]int]cutKind{}, jobs: map[string]context.CancelFunc{}, asks: map[string]context.CancelFunc{},
		gates: make([]*gateProc, gates), entries: make([]*entryProc, entries),
	}
	for i := range gates {
		t := newTarget(fmt.Sprintf("t%d", i), 0.985+0.015*float64(i), w.judge)
		w.targets = append(w.targets, t)
		go t.live(w.done)
		w.startGate(i)
	}
	for i := range entries {
		w.startEntry(i)
	}
	return w
}

func (w *world) now() boot.Time { return boot.Time(time.Hour).Add(time.Since(w.begun)) }

// startGate starts a life of a gate in place of the former; its target announces
// itself at once.
func (w *world) startGate(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gates[i] != nil {
		w.gates[i].kill()
	}
	w.lives++
	p := &gateProc{}
	p.ctx, p.kill = context.WithCancel(context.Background())
	t := w.targets[i]
	p.gate = &gate.Gate{
		IncarnationID: w.lives, Now: w.now,
		Start: func(ctx context.Context, l targ.Incarnation, o targ.Order) (int64, error) {
			return alive(ctx, p, func(ctx context.Context) (int64, error) { return t.Start(ctx, l, o) })
		},
		Stop: func(ctx context.Context, l targ.Incarnation, o targ.Order) (int64, error) {
			return alive(ctx, p, func(ctx context.Context) (int64, error) { return t.Stop(ctx, l, o) })
		},
		Poll: func(ctx context.Context, l targ.Incarnation, r targ.Renewal) (targ.Listing, error) {
			return alive(ctx, p, func(ctx context.Context) (targ.Listing, error) { return t.Hold(ctx, l, r) })
		},
	}
	t.mu.Lock()
	life := t.life
	t.mu.Unlock()
	p.gate.Announced(life)
	go p.gate.Run(p.ctx)
	w.gates[i] = p
}

// alive makes a call of a process. One that was killed makes none, and learns of
// no answer.
func alive[T any](ctx context.Context, p *gateProc, call func(context.Context) (T, error)) (T, error) {
	var none T
	if p.ctx.Err() != nil {
		<-ctx.Done()
		return none, targ.ErrUnanswered
	}
	answer, err := call(ctx)
	if p.ctx.Err() != nil {
		<-ctx.Done()
		return none, targ.ErrUnanswered
	}
	return answer, err
}

// startEntry starts a life of an entry in place of the former; it knows all
// gates.
func (w *world) startEntry(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.entries[i] != nil {
		w.entries[i].kill()
	}
	w.lives++
	p := &entryProc{}
	p.ctx, p.kill = context.WithCancel(context.Background())
	var links []*link.Link
	for g := range w.gates {
		l := &link.Link{
			Addr: fmt.Sprintf("g%d", g), Entry: fmt.Sprintf("e%d", i), Incarnation: w.lives, Now: w.now, Drop: func(string) {},
			Call: func(ctx context.Context, _, method string, args, reply any) error {
				return w.call(ctx, i, p, g, method, args, reply)
			},
		}
		links = append(links, l)
		go l.Run(p.ctx)
	}
	p.coord = &coord.Coordinator{Links: func() []*link.Link { return links }, Now: w.now}
	w.entries[i] = p
}

// path returns the gate's present life, and how calls to it fare.
func (w *world) path(entry, g int) (*gateProc, cutKind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gates[g], w.cut[[2]int{entry, g}]
}

// call makes a call from an entry to a gate.
func (w *world) call(ctx context.Context, entry int, from *entryProc, g int, method string, args, reply any) error {
	time.Sleep(hop)
	to, cut := w.path(entry, g)
	switch {
	case from.ctx.Err() != nil || cut == silent:
		return w.hang(ctx)
	case to.ctx.Err() != nil:
		return peer.ErrRefused
	}
	err := deliver(to, method, args, reply)
	time.Sleep(hop)
	if _, cut = w.path(entry, g); cut != whole || from.ctx.Err() != nil {
		return w.hang(ctx)
	}
	if out, ok := reply.(*msgs.TaskReply); ok && err == nil && out.Result == msgs.Failed {
		if m, ok := args.(*msgs.Task); ok {
			w.judge.tell(m.Name)
		}
	}
	return err
}

// hang waits in vain for an answer.
func (w *world) hang(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return peer.ErrLate
	case <-w.done:
	case <-time.After(brokenAfter):
	}
	return peer.ErrBroken
}

// deliver has a life of a gate serve a call.
func deliver(to *gateProc, method string, args, reply any) error {
	switch m := args.(type) {
	case *msgs.Sync:
		if out, ok := reply.(*msgs.Load); ok && method == link.SyncMethod {
			*out = to.gate.Sync(*m)
			return nil
		}
	case *msgs.Task:
		if out, ok := reply.(*msgs.TaskReply); ok && method == link.TakeMethod {
			answer := to.gate.Take(to.ctx, *m)
			if to.ctx.Err() != nil {
				return peer.ErrBroken
			}
			*out = answer
			return nil
		}
	}
	return peer.ErrNotSent
}

// jobSpec is a job that a caller submits.
type jobSpec struct {
	Tasks    int
	Work     work
	Attempts int
	Entry    int
}

// submit has a caller submit a job, and again at the other entry if the answer
// is lost.
func (w *world) submit(id string, s jobSpec) {
	spec, err := json.Marshal(s.Work)
	if err != nil {
		panic(err)
	}
	w.judge.expect(id, s.Tasks, s.Attempts)
	left, leave := context.WithCancel(context.Background())
	w.mu.Lock()
	w.jobs[id] = leave
	w.mu.Unlock()
	w.callers.Add(1)
	go func() {
		defer w.callers.Done()
		for try := 0; left.Err() == nil; try++ {
			w.judge.try(id)
			a := w.ask(left, id, (s.Entry+try)%len(w.entries), string(spec), s)
			if a.State != coord.Abandoned {
				w.judge.answer(id, a)
				return
			}
			boot.Sleep(left, resendAfter)
		}
	}()
}

// ask submits a job to an entry once. The connection breaks if the entry dies.
func (w *world) ask(left context.Context, id string, entry int, spec string, s jobSpec) coord.Answer {
	w.mu.Lock()
	p := w.entries[entry]
	w.mu.Unlock()
	if p.ctx.Err() != nil {
		return coord.Answer{State: coord.Abandoned}
	}
	ctx, cancel := context.WithCancel(left)
	defer cancel()
	key := fmt.Sprintf("%d/%s", entry, id)
	w.mu.Lock()
	w.asks[key] = cancel
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.asks, key)
	}()
	answers := make(chan coord.Answer, 1)
	go func() {
		answers <- p.coord.Submit(ctx, coord.Job{
			ID: id, Spec: spec, Arrived: w.now(),
			Route: route.Route{Name: "r", Service: "s", Attempts: s.Attempts, Stretch: 1.6, LatencyMargin: 60 * time.Millisecond},
			Steps: []coord.Step{{
				Count: s.Tasks, Size: rsrc.Vector{CPU: s.Work.CPU, Memory: 1},
				DeclaredRunTime: time.Duration(s.Work.MS) * time.Millisecond,
			}},
		})
	}()
	select {
	case a := <-answers:
		return a
	case <-p.ctx.Done():
	case <-ctx.Done():
		<-answers
	}
	return coord.Answer{State: coord.Abandoned}
}

// end ends everything and waits for the callers.
func (w *world) end() {
	w.mu.Lock()
	for _, leave := range w.jobs {
		leave()
	}
	w.mu.Unlock()
	w.callers.Wait()
	close(w.done)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.entries {
		p.kill()
	}
	for _, p := range w.gates {
		p.kill()
	}
}

// state tells what gates, targets and entries believe, for the report of a
// failure.
func (w *world) state() string {
	text := ""
	for i := range w.gates {
		text += fmt.Sprintf("gate %d %+v; ", i, w.gateAt(i).gate.State())
	}
	for i := range w.entries {
		for _, l := range w.entryAt(i).coord.Links() {
			text += fmt.Sprintf("entry %d %s %+v; ", i, l.Addr, l.View(w.now()))
		}
	}
	w.judge.mu.Lock()
	defer w.judge.mu.Unlock()
	for id, v := range w.judge.jobs {
		if strings.HasPrefix(id, "calm") {
			text += fmt.Sprintf("%s %+v; ", id, *v)
		}
	}
	return text
}
