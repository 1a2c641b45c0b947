package coord

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/evac"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// inDomains returns gates of the given domains, all with one core, and the orders that their
// links know. The gates know no order.
func inDomains(t *testing.T, domains ...string) (*fakeGates, *evac.Set) {
	f, orders := newFakeGates(t, 0), &evac.Set{}
	for _, d := range domains {
		f.addGate(t, func(l *msgs.Load) { l.Domain = d }, orders)
	}
	return f, orders
}

// Guards against tasks that are placed in an evacuated domain, and against jobs that wait for
// capacity which is gone: admission counts the others only.
func TestEvacuatedDomainIsNoCandidate(t *testing.T) {
	f, orders := inDomains(t, "y", "z")
	orders.Apply(evac.Order{Domain: "z", Version: 3, Evacuated: true})
	var wrong atomic.Int32
	f.respond = func(gate int, _ msgs.Task) msgs.TaskReply {
		if gate == 1 {
			wrong.Add(1)
		}
		return msgs.TaskReply{Result: msgs.Done, RunTime: 10}
	}
	c := f.coordinator()
	if a := c.Submit(context.Background(), newTestJob(8, 100)); a.State != Done || wrong.Load() > 0 {
		t.Errorf("got %+v, %d tasks in the evacuated domain", a, wrong.Load())
	}
	cands := c.findCandidates(newTestJob(1, 1).Route, newTestJob(1, 1).Steps[0])
	if got := cands.usableCapacity(); got != 1000 {
		t.Errorf("capacity of %v counts, want that of the other domain", got)
	}
}

// Guards against jobs that wait, or are told that they are too large, while all targets that
// could run them are in evacuated domains: those are refused at once with a time to come back,
// and done once a domain is taken back.
func TestJobWithoutOtherDomainIsRefusedAtOnce(t *testing.T) {
	f, orders := newFakeGates(t, 0), &evac.Set{}
	f.addGate(t, func(l *msgs.Load) { l.Domain = "x" }, orders)
	f.addGate(t, func(l *msgs.Load) { l.Domain, l.CPU = "y", 400 }, orders)
	f.addGate(t, func(l *msgs.Load) { l.Domain, l.Labels = "z", []string{"ssd"} }, orders)
	labelled := newTestJob(1, 100)
	labelled.Steps[0].RequiredLabel = "ssd"
	expect := func(what string, j Job, state State, reason string) {
		t.Helper()
		j.Arrived = boot.Now()
		began := time.Now()
		a := f.coordinator().Submit(context.Background(), j)
		if a.State != state || a.Reason != reason || (a.RetryAfter > 0) != (state == Refused) || state == Refused && time.Since(began) > time.Second {
			t.Errorf("%s: got %+v after %v", what, a, time.Since(began))
		}
	}
	orders.Apply(evac.Order{Domain: "z", Version: 3, Evacuated: true})
	expect("label of the evacuated domain only", labelled, Refused, cause.Evacuated)
	expect("another domain has capacity", newTestJob(1, 500), Done, "")
	orders.Apply(evac.Order{Domain: "x", Version: 4, Evacuated: true})
	expect("too large for the domain that is left", newTestJob(1, 500), Refused, cause.Evacuated)
	orders.Apply(evac.Order{Domain: "y", Version: 5, Evacuated: true})
	expect("all domains", newTestJob(1, 100), Refused, cause.Evacuated)
	orders.Apply(evac.Order{Domain: "z", Version: 6})
	expect("taken back", labelled, Done, "")
}

// Guards against a job that waits in vain after its only domain was evacuated, since no entry
// knew of it when the job was admitted, and against a refusal when a task may have started.
func TestAdmittedJobIsRefusedOnceItsDomainIsEvacuated(t *testing.T) {
	f, orders := inDomains(t, "z")
	f.respond = func(int, msgs.Task) msgs.TaskReply {
		orders.Apply(evac.Order{Domain: "z", Version: 3, Evacuated: true})
		return msgs.TaskReply{Result: msgs.Refused, Reason: cause.Evacuated}
	}
	if a := f.coordinator().Submit(context.Background(), newTestJob(1, 100)); a.State != Refused || a.Reason != cause.Evacuated || a.RetryAfter == 0 {
		t.Errorf("got %+v", a)
	}
	g, orders := inDomains(t, "z")
	g.respond = func(int, msgs.Task) msgs.TaskReply {
		if orders.Apply(evac.Order{Domain: "z", Version: 3, Evacuated: true}) {
			return msgs.TaskReply{Result: msgs.Lost, Reason: cause.Silent}
		}
		return msgs.TaskReply{Result: msgs.Done}
	}
	j := newTestJob(1, 100)
	j.WaitsUntil = boot.Now().Add(time.Second)
	if a := g.coordinator().Submit(context.Background(), j); a.State != Abandoned {
		t.Errorf("a job that may have run: got %+v", a)
	}
}
