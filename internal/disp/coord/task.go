package coord

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/interf"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/pick"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

const (
	// placementPause is the minimum pause before a task that could not be placed is
	// placed again. A random time of up to the same length is added.
	placementPause = 8 * time.Millisecond
	// immediateRetries is the number of refusals by full gates after which a task
	// pauses before its next placement. After fewer, or after a start that the target
	// did not answer, it is placed again at once: at another gate, since
	// each refusal brings the known load of the gate up to date.
	immediateRetries = 3
	// maxQueueTime is how long a task may wait in the queue of a full gate. After
	// that it is placed again, since another gate may have free capacity by then.
	maxQueueTime = 60 * time.Millisecond
)

// runStep runs the tasks of one step once the steps that it depends on are done. It
// returns early if the job ends.
func (c *Coordinator) runStep(e *execution, stepIndex int, s Step) {
	for _, dependency := range s.DependsOn {
		select {
		case <-e.stepDone[dependency]:
		case <-e.ctx.Done():
			return
		}
	}
	s.kind = interf.Kind(e.Route.Name, s.Image)
	done := make(chan struct{}, s.Count)
	for i := range s.Count {
		go func() {
			if c.runTask(e, s, stepIndex, i) {
				done <- struct{}{}
			}
		}()
	}
	for range s.Count {
		select {
		case <-done:
		case <-e.ctx.Done():
			return
		}
	}
	close(e.stepDone[stepIndex])
}

// taskState is what the placements of one task have shown so far.
type taskState struct {
	name      string
	stepIndex int
	failures  int            // number of failed runs
	refusals  int            // number of refusals by gates
	gate      string         // at which the task was last placed
	takeovers map[string]int // refusals for an outdated revocation, by the gate
	wait      time.Duration  // expected until the task starts, when it was last placed; 0 before
	takenOver string         // gate that was taken over since the task was last placed; empty if none
	// runTimeFactor is that of the gate at which the task was last placed; see pick.Gate.
	runTimeFactor float64
	avoid         map[string]bool // by target; true where the last placement ended otherwise than for lack of capacity
}

// runTask places a task until it is done, and then reports true. It reports false if
// the job ends or is withdrawn first. A task of a job that was revoked is not placed again: another entry has
// the job.
func (c *Coordinator) runTask(e *execution, s Step, stepIndex, taskIndex int) bool {
	ts := &taskState{name: taskName(e.ID, stepIndex, taskIndex), stepIndex: stepIndex, avoid: map[string]bool{}}
	for e.ctx.Err() == nil && !e.finishIfUnawaited(c.now()) && c.confirm(e) && !c.withdrawIfTooLate(e, ts.wait) {
		if c.finishIfLost(e, ts.name) {
			return false
		}
		reply, sent := c.placeOnce(e, s, ts)
		if !sent {
			continue
		}
		if reply.Reason == cause.Revoked && !c.takeOver(e, ts, reply) {
			e.finish(Answer{State: Abandoned, Reason: cause.RunsElsewhere})
			return false
		}
		switch reply.Result {
		case msgs.Done:
			c.recordDone(e, s, ts.runTimeFactor, reply)
			return true
		case msgs.Failed:
			ts.failures++
			if ts.failures >= max(1, e.Route.MaxAttempts) {
				e.finish(Answer{State: Failed, Reason: cause.AttemptsExhausted})
				return false
			}
		case msgs.Refused:
			if c.refuseIfOverdue(e, reply.Reason) {
				return false
			}
			ts.refusals++
			if ts.refusals%immediateRetries == 0 || reply.Reason != cause.NoCapacity && reply.Reason != cause.Unanswered {
				pause(e, placementPause)
			}
		}
	}
	return false
}

// placeOnce places a task at one gate and returns the reply. It reports false if it has not
// sent the task: because no gate can run it, and then it refuses the job if that is overdue
// or if only gates of evacuated domains can, or pauses; or because the step has got its last
// task at the target meanwhile.
func (c *Coordinator) placeOnce(e *execution, s Step, ts *taskState) (msgs.TaskReply, bool) {
	l, target, m, ok := c.place(e, s, ts)
	if !ok {
		if !c.refuseIfEvacuated(e, s) && !c.refuseIfOverdue(e, cause.NoGates) {
			pause(e, placementPause)
		}
		return msgs.TaskReply{}, false
	}
	key := stepTargetKey(ts.stepIndex, target)
	if !e.reserve(key, s.MaxPerTarget) {
		return msgs.TaskReply{}, false
	}
	sentAt := c.now()
	ts.gate, ts.takenOver = l.Addr, ""
	reply := c.send(e, ts.stepIndex, l, m)
	e.release(key)
	c.recordRetry(e, ts, target, reply, c.now().Sub(sentAt))
	return reply, true
}

// recordDone records the run time of a task that is done and, if it belongs to a step
// without dependencies, how long it has waited. The run was expected to take runTimeFactor times
// as long as near its data.
func (c *Coordinator) recordDone(e *execution, s Step, runTimeFactor float64, reply msgs.TaskReply) {
	if reply.RunTime == 0 {
		return // unknown
	}
	runTime := time.Duration(reply.RunTime) * time.Millisecond
	c.runTimes.Observe(e.Route.Name, time.Duration(float64(runTime)/runTimeFactor), reply.Load.Speed)
	if len(s.DependsOn) > 0 {
		return
	}
	timing := c.timing(e, c.runTimes.Estimate(e.Route.Name, s.DeclaredRunTime))
	c.limiter.Observe(c.now().Sub(e.Arrived)-runTime, timing.StartBy().Sub(e.Arrived))
}

// place chooses a gate for a task. It returns the link to the gate, the ID of the
// gate's target and the message to send. It reports false if no gate can run the
// task.
func (c *Coordinator) place(e *execution, s Step, ts *taskState) (*link.Link, string, msgs.Task, bool) {
	cands := c.findCandidates(e.Route, s)
	defer c.release(cands)
	wantKinds := c.weighInterference(cands, e.Route.Service, s.kind)
	expectedRunTime := c.runTimes.Estimate(e.Route.Name, s.DeclaredRunTime)
	choice := cands.choose(e, s, ts, expectedRunTime)
	if choice.Gate < 0 {
		return nil, "", msgs.Task{}, false
	}
	if choice.Apart {
		c.count(ApartCounter)
	}
	gate, target := cands.links[choice.Gate], cands.targets[choice.Gate]
	ts.runTimeFactor, ts.wait = max(cands.gates[choice.Gate].RunTimeFactor, 1), choice.Wait
	view := gate.View(c.now())
	c.trace("task_placed", "job", e.ID, "task", ts.name, "gate", gate.Addr, "target", target,
		"used", view.Used.CPU, "of", view.Load.CPU, "speed", int(100*view.Load.Speed), "age", c.now().Sub(view.LastAnswer),
		"wait", choice.Wait, "finish", choice.Finish, "gates", len(cands.gates), "failures", ts.failures, "insist", choice.IgnoreBreaker, "apart", choice.Apart)
	return gate, target, msgs.Task{
		ID: c.nextTaskID.Add(1), Name: ts.name, Job: e.ID, Service: e.Route.Service, Spec: e.Spec,
		CPU: s.Size.CPU, Memory: s.Size.Memory, GPU: s.Size.GPU,
		ExpectedRunTime: int64(float64(expectedRunTime.Milliseconds()) * ts.runTimeFactor),
		LeastRunTime:    leastRunTime(s.DeclaredRunTime, expectedRunTime),
		MaxQueueTime:    queueTimeLimit(choice).Milliseconds(),
		StartWithin:     c.timing(e, expectedRunTime).StartBy().Sub(c.now()).Milliseconds(),
		Failures:        ts.failures,
		IgnoreBreaker:   choice.IgnoreBreaker,
		Kind:            s.kind,
		WantKinds:       wantKinds,
	}, true
}

// leastRunTime returns the caller's estimate in ms if it is below the expected run time, and otherwise 0.
func leastRunTime(declared, expected time.Duration) int64 {
	if declared >= expected {
		return 0
	}
	return declared.Milliseconds()
}

// choose chooses a gate for a task with the given expected run time. It records nothing.
func (cands *candidates) choose(e *execution, s Step, ts *taskState, expectedRunTime time.Duration) pick.Choice {
	takenOver := ts.takenOver != "" && cands.includes(ts.takenOver)
	for i, target := range cands.targets {
		cands.gates[i].Avoid = ts.avoid[target]
		if takenOver {
			cands.gates[i].Avoid = cands.links[i].Addr != ts.takenOver
		}
		if s.MaxPerTarget > 0 && !e.belowLimit(stepTargetKey(ts.stepIndex, target), s.MaxPerTarget) {
			cands.gates[i].Capacity.CPU = -1
		}
	}
	return pick.Best(cands.gates, pick.Task{Size: s.Size, RunTime: expectedRunTime})
}

// queueTimeLimit returns how long a task may wait in the queue of the chosen gate. It
// is 0 if no wait is expected, so that a gate that turns out to be full refuses the
// task at once and reports its load.
func queueTimeLimit(choice pick.Choice) time.Duration {
	if choice.Wait == 0 {
		return 0
	}
	return maxQueueTime
}

// send makes a gate run a task of a step and returns the reply. If the job ends first, send
// cancels the task and returns without waiting for the gate. If the job is withdrawn, send cancels
// the task and goes on waiting: the reply says whether it has started.
func (c *Coordinator) send(e *execution, step int, l *link.Link, m msgs.Task) msgs.TaskReply {
	if !e.beginSend(step, c.now()) {
		return msgs.TaskReply{Result: msgs.Refused, Reason: cause.JobEnded}
	}
	replies := make(chan msgs.TaskReply, 1)
	go func() {
		defer e.outstanding.Done()
		replies <- l.RunTask(context.Background(), m, func() bool { return c.confirmed(e) })
	}()
	withdrawn := e.withdrawn
	for {
		select {
		case reply := <-replies:
			e.endSend(step, reply.Result)
			return reply
		case <-withdrawn:
			l.Cancel(m.ID)
			withdrawn = nil
		case <-e.ctx.Done():
			l.Cancel(m.ID)
			e.endSend(step, msgs.Lost)
			return msgs.TaskReply{Result: msgs.Lost, Reason: cause.JobEnded}
		}
	}
}

// recordRetry records why a task is placed again. It does nothing if the task is done
// or the job has ended.
func (c *Coordinator) recordRetry(e *execution, ts *taskState, target string, reply msgs.TaskReply, elapsed time.Duration) {
	if reply.Result == msgs.Done || e.ctx.Err() != nil {
		return
	}
	reason := reply.Reason
	if reason == "" {
		reason = reply.Result.String()
	}
	ts.avoid[target] = reason != cause.NoCapacity
	c.count(cause.RetriedPrefix + reason)
	e.mu.Lock()
	e.retries++
	e.mu.Unlock()
	c.trace("task_retried", "job", e.ID, "task", ts.name, "target", target, "result", reply.Result, "reason", reason,
		"after", elapsed)
}

// stepTargetKey returns the key under which tasks of a step at a target are counted.
func stepTargetKey(stepIndex int, target string) string {
	return strconv.Itoa(stepIndex) + "/" + target
}

// pause waits for d and a random time of up to d, or until the job ends.
func pause(e *execution, d time.Duration) {
	boot.Sleep(e.ctx, d+rand.N(d))
}
