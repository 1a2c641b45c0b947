package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { scenarios["again"] = cancelSentAgain }

// cancelSentAgain cancels a job whose request is open at another entry. What answer the
// request gets decides whether it comes again, as PROTOCOL.md says.
func cancelSentAgain(c *cluster, trouble bool) ([]string, error) {
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
	steps := []step{}
	for i := range 12 {
		s := step{Count: 2, CPU: 3100, Memory: 64, MS: 900}
		if i > 0 {
			s.After = []int{i - 1}
		}
		steps = append(steps, s)
	}
	j := newJob(900, steps...)
	answered := make(chan int, 1)
	go func() {
		status, _ := k.submit(j, 1, 3, 30*time.Second)
		answered <- status
	}()
	time.Sleep(2500 * time.Millisecond)
	if !trouble {
		if status := <-answered; status != 200 {
			return nil, fmt.Errorf("the job was answered with %d", status)
		}
		return nil, nil
	}
	status, _ := k.send(2, "DELETE", j.ID, nil, 5*time.Second)
	if status != 410 && (status < 200 || status > 299) {
		return nil, fmt.Errorf("the cancel was answered with %d", status)
	}
	acked := time.Since(c.rec.begin)
	<-answered
	time.Sleep(time.Second)
	var broken []string
	for _, e := range c.rec.events() {
		if e.kind == "start" && strings.HasPrefix(e.task, j.ID) && e.at > acked+cancelTime {
			broken = append(broken, fmt.Sprintf("UNASKED: task %s starts at %.3f s; its job's cancel was acknowledged with %d at %.3f s",
				e.task, e.at.Seconds(), status, acked.Seconds()))
		}
	}
	return broken, nil
}
