package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

func init() { scenarios["cancel"] = cancelDuringFreeze }

// cancelDuringFreeze sends a job to an entry that stands still, cancels it at another one,
// and looks for tasks that start long after.
func cancelDuringFreeze(c *cluster, trouble bool) ([]string, error) {
	for i := 1; i <= 3; i++ {
		if err := c.addEntry(i); err != nil {
			return nil, err
		}
	}
	for i := 1; i <= 3; i++ {
		if err := c.addNode(i); err != nil {
			return nil, err
		}
		if err := c.worker(i).start(workerSpec{id: fmt.Sprintf("i-%d", i), labels: []string{"a", "r1-1"}, cpu: workerCPU, memMB: workerMemory}); err != nil {
			return nil, err
		}
	}
	if err := c.awaitReady(3); err != nil {
		return nil, err
	}
	time.Sleep(contactTime + time.Second) // all machines are in touch
	k := newClient(c)
	// Twenty steps one after the other, each of one task of a second.
	steps := []step{}
	for i := range 20 {
		s := step{Count: 1, CPU: 3100, Memory: 64, MS: 1000}
		if i > 0 {
			s.After = []int{i - 1}
		}
		steps = append(steps, s)
	}
	j := newJob(1000, steps...)
	frozen := time.Now()
	if trouble {
		c.rec.note("trouble", "e1 stands still (SIGSTOP)")
		c.signal("e1", syscall.SIGSTOP)
	}
	time.Sleep(200 * time.Millisecond)
	answered := make(chan struct{})
	go func() {
		k.submit(j, 1, 1, 40*time.Second)
		close(answered)
	}()
	time.Sleep(300 * time.Millisecond)
	status := k.cancel(2, j.ID)
	if status != 410 && (status < 200 || status > 299) {
		return nil, fmt.Errorf("the cancel was answered with %d", status)
	}
	acked := time.Since(c.rec.begin)
	thawed := acked
	if trouble {
		time.Sleep(time.Until(frozen.Add(freezeTime)))
		c.signal("e1", syscall.SIGCONT)
		thawed = c.rec.note("trouble", "e1 goes on (SIGCONT)")
	}
	select {
	case <-answered:
	case <-time.After(40 * time.Second):
	}
	time.Sleep(time.Second)
	// In touch is e1 contact-ms after it goes on. Even if the cancel's answer were no ack,
	// it has waited for one for ack-ms of steady state then.
	from := acked + cancelTime
	strict := thawed + contactTime + ackTime + cancelTime
	var broken []string
	late := 0
	for _, e := range c.rec.events() {
		if e.kind != "start" || !strings.HasPrefix(e.task, j.ID) || e.at <= from || e.at <= thawed+contactTime {
			continue
		}
		late++
		if e.at > strict {
			broken = append(broken, fmt.Sprintf("UNASKED: task %s starts at %.3f s; its job's cancel was answered with %d at %.3f s, and e1 goes on since %.3f s",
				e.task, e.at.Seconds(), status, acked.Seconds(), thawed.Seconds()))
		}
	}
	c.rec.note("count", "%d starts by machines in touch later than cancel_ms after the answer to the cancel", late)
	return broken, nil
}
