package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["thaw"] = freezeUnderLoad }

// clientWait is how long clients wait for an answer: the time budget of all requests of the
// site.
const clientWait = 1500 * time.Millisecond

// freezeUnderLoad lets an entry stand still seven times while clients send jobs to it. They
// get no response, close their channels, and send the jobs again to other entries.
func freezeUnderLoad(c *cluster, trouble bool) ([]string, error) {
	const nodes = 7
	for i := 1; i <= 3; i++ {
		if err := c.addEntry(i); err != nil {
			return nil, err
		}
	}
	for i := 1; i <= nodes; i++ {
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
	time.Sleep(contactTime + time.Second)
	k := newClient(c)
	var all sync.WaitGroup
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-time.After(33 * time.Millisecond):
			}
			// As fitcheck: tasks of 60 ms by estimate, of 240 ms at most.
			j := newJob(220, step{Count: 8, CPU: 1000, Memory: 64, MS: 60})
			all.Go(func() { k.submitEach(j, 1, 3, clientWait) })
		}
	}()
	for range 7 {
		time.Sleep(4 * time.Second)
		if trouble {
			c.rec.note("trouble", "e1 stands still (SIGSTOP)")
			c.signal("e1", syscall.SIGSTOP)
		}
		time.Sleep(freezeTime)
		if trouble {
			c.signal("e1", syscall.SIGCONT)
			c.rec.note("trouble", "e1 goes on (SIGCONT)")
		}
	}
	time.Sleep(time.Second)
	close(stop)
	<-stopped
	all.Wait()
	time.Sleep(time.Second)
	return judgeTwice(c.rec.events(), time.Since(c.rec.begin)), nil
}
