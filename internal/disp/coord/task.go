package coord

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/pick"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

const (
	// placePause is the pause before a task that found no room is placed again;
	// up to as much is added by chance.
	placePause = 8 * time.Millisecond
	// freeBounces is how often a task that full gates hand back is placed anew
	// before it pauses. Each hand-back brings that gate's load up to date.
	freeBounces = 3
	// queuePatience is how long a task may wait in the queue of a full gate
	// before it is placed anew, since room may have come up elsewhere.
	queuePatience = 60 * time.Millisecond
)

// runStep runs the tasks of one step once the steps before it are done.
func (c *Coordinator) runStep(p *progress, index int, s Step) {
	for _, before := range s.After {
		select {
		case <-p.steps[before]:
		case <-p.ctx.Done():
			return
		}
	}
	done := make(chan struct{}, s.Count)
	for i := range s.Count {
		go func() {
			if c.runTask(p, s, index, i) {
				p.taskDone()
				done <- struct{}{}
			}
		}()
	}
	for range s.Count {
		select {
		case <-done:
		case <-p.ctx.Done():
			return
		}
	}
	close(p.steps[index])
}

// attempt is what is known of one task between its placements.
type attempt struct {
	name     string
	step     int
	failures int
	bounces  int             // how often a gate did not take it
	avoid    map[string]bool // lives of targets that it has come back from
}

// runTask places a task until it is done, and reports whether it is. It returns
// false once the job has ended.
func (c *Coordinator) runTask(p *progress, s Step, step, index int) bool {
	a := &attempt{name: fmt.Sprintf("%s.0.%d.%d", p.ID, step, index), step: step, avoid: map[string]bool{}}
	for p.ctx.Err() == nil {
		l, target, m, ok := c.place(p, s, a)
		if !ok {
			if c.giveUp(p, cause.NoGates) {
				return false
			}
			pause(p, placePause)
			continue
		}
		if !p.reserve(stepKey(step, target), s.MaxPerTarget) {
			continue
		}
		sent := c.now()
		reply := c.send(p, l, m)
		p.release(stepKey(step, target))
		c.retried(p, a, target, reply, c.now().Sub(sent))
		switch reply.Result {
		case msgs.Done:
			c.times.Observe(p.Route.Name, time.Duration(reply.Ran)*time.Millisecond, reply.Load.Speed)
			return true
		case msgs.Failed:
			a.failures++
			if a.failures >= max(1, p.Route.Attempts) {
				p.end(Answer{State: Failed, Reason: cause.Attempts})
				return false
			}
		case msgs.Refused:
			if c.giveUp(p, reply.Reason) {
				return false
			}
			a.bounces++
			if a.bounces%freeBounces == 0 || reply.Reason != cause.NoCapacity {
				pause(p, placePause)
			}
		}
	}
	return false
}

// place chooses a gate for a task and makes the message.
func (c *Coordinator) place(p *progress, s Step, a *attempt) (*link.Link, string, msgs.Task, bool) {
	f := c.survey(p.Route.Service, s)
	for i := range f.gates {
		f.gates[i].Avoid = a.avoid[f.views[i].Load.Target]
		if !p.mayAdd(stepKey(a.step, f.views[i].Load.Target), s.MaxPerTarget) {
			f.gates[i].Capacity.CPU = -1
		}
	}
	expected := c.times.Expected(p.Route.Name, s.DeclaredRunTime)
	choice := pick.Best(f.gates, pick.Task{Size: s.Size, Expected: expected})
	if choice.Gate < 0 {
		return nil, "", msgs.Task{}, false
	}
	way, view := f.links[choice.Gate], f.views[choice.Gate]
	c.trace("task_placed", "job", p.ID, "task", a.name, "gate", way.Addr, "target", view.Load.Target,
		"used", view.Used.CPU, "of", view.Load.CPU, "speed", int(100*view.Load.Speed), "age", c.now().Sub(view.LastAnswer),
		"wait", choice.Wait, "finish", choice.Finish, "gates", len(f.gates), "failures", a.failures, "insist", choice.Insist)
	allowance := p.Route.LatencyBudget(expected)
	return way, view.Load.Target, msgs.Task{
		ID: c.nextID.Add(1), Name: a.name, Job: p.ID, Service: p.Route.Service, Spec: p.Spec,
		CPU: s.Size.CPU, Memory: s.Size.Memory, GPU: s.Size.GPU,
		Expected: expected.Milliseconds(),
		Patience: patience(choice).Milliseconds(),
		Urgency:  p.Arrived.Add(allowance - expected).Milli(),
		Failures: a.failures,
		Insist:   choice.Insist,
	}, true
}

// patience returns how long a task may wait in the queue of the gate chosen. A
// gate that is full against expectation hands it back at once with its load.
func patience(choice pick.Choice) time.Duration {
	if choice.Wait == 0 {
		return 0
	}
	return queuePatience
}

// send has a gate run a task. A job that ends meanwhile has the task stopped.
func (c *Coordinator) send(p *progress, l *link.Link, m msgs.Task) msgs.TaskReply {
	if !p.depart() {
		return msgs.TaskReply{Result: msgs.Refused, Reason: cause.JobEnded}
	}
	replies := make(chan msgs.TaskReply, 1)
	go func() {
		defer p.away.Done()
		replies <- l.RunTask(context.Background(), m)
	}()
	select {
	case reply := <-replies:
		p.landed(reply.Result != msgs.Refused)
		return reply
	case <-p.ctx.Done():
		l.Cancel(m.ID)
		p.landed(true)
		return msgs.TaskReply{Result: msgs.Lost, Reason: cause.JobEnded}
	}
}

// retried notes why a task is placed again.
func (c *Coordinator) retried(p *progress, a *attempt, target string, reply msgs.TaskReply, after time.Duration) {
	if reply.Result == msgs.Done || p.ctx.Err() != nil {
		return
	}
	reason := reply.Reason
	if reason == "" {
		reason = reply.Result.String()
	}
	a.avoid[target] = reason != cause.NoCapacity
	c.count(cause.Retried + reason)
	p.mu.Lock()
	p.retries++
	p.mu.Unlock()
	c.trace("task_retried", "job", p.ID, "task", a.name, "target", target, "result", reply.Result, "reason", reason,
		"after", after)
}

// giveUp refuses the job if it has waited too long with nothing started.
func (c *Coordinator) giveUp(p *progress, reason string) bool {
	expected := time.Duration(0)
	for _, s := range p.Steps {
		expected = max(expected, c.times.Expected(p.Route.Name, s.DeclaredRunTime))
	}
	if c.now().Sub(p.Arrived) < p.Route.LatencyBudget(expected)*mostWait/100 {
		return false
	}
	return p.refuse(Answer{State: Refused, Reason: reason, RetryAfter: retryAfter})
}

func stepKey(step int, target string) string { return strconv.Itoa(step) + "/" + target }

// pause waits for d and up to as much again, or until the job ends.
func pause(p *progress, d time.Duration) {
	boot.Sleep(p.ctx, d+rand.N(d))
}
