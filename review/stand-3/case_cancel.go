package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

// errNotRun means that what the case needs did not come about.
var errNotRun = errors.New("the case did not come about")

const (
	cancelBound  = 3 * time.Second // cancel_ms
	contactBound = 3 * time.Second // contact-ms
)

// playCancel restarts a front as planned work does after jobs of it were cancelled, and lets the
// request of each arrive once more there.
func playCancel(root string, rec *recorder, trouble bool) (bool, error) {
	c, err := newCluster(root, rec, 3, 4, 30_000, func(int) (int, []string) { return 32_000, []string{"a", "r1-1"} })
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	acked := map[string]time.Time{} // when the cancelling of a job was acknowledged
	late := 0
	for _, w := range c.workers {
		w.onStart = func(w *worker, task string, _ []string) {
			mu.Lock()
			defer mu.Unlock()
			at, ok := acked[task[:strings.IndexByte(task, '.')]]
			if ok && time.Since(at) > cancelBound {
				late++
				rec.log("worker %s: %s starts %d ms after the cancelling of its job was acknowledged", w.name, task, time.Since(at).Milliseconds())
			}
		}
	}
	for i := range c.fronts {
		if err := c.awaitReady(i); err != nil {
			return false, err
		}
	}
	time.Sleep(contactBound + time.Second)
	body := jobBody(6000, step{Count: 2, CPU: 1000, Mem: 64, Estimate: 6000})
	var jobs []string
	for i := range 3 {
		job := newID()
		jobs = append(jobs, job)
		submitted := make(chan answer, 1)
		go func() {
			submitted <- c.client(fmt.Sprintf("caller-%d", i+1), 1).send("POST", job, body, 20*time.Second)
		}()
		time.Sleep(500 * time.Millisecond)
		a := c.client(fmt.Sprintf("canceller-%d", i+1), 0).send("DELETE", job, nil, 5*time.Second)
		if a.status != 200 && a.status != 410 {
			return false, errNotRun
		}
		mu.Lock()
		acked[job] = time.Now()
		mu.Unlock()
		if a := <-submitted; a.status != 200 {
			return false, errNotRun
		}
	}
	if trouble {
		c.stop(c.fronts[1])
		time.Sleep(500 * time.Millisecond)
		if err := c.start(c.fronts[1]); err != nil {
			return false, err
		}
	}
	if err := c.awaitReady(1); err != nil {
		return false, err
	}
	time.Sleep(contactBound + time.Second) // the machine is in touch again
	var wait sync.WaitGroup
	for i, job := range jobs {
		wait.Go(func() {
			c.client(fmt.Sprintf("caller-%d, again", i+1), 1).send("POST", job, body, 20*time.Second)
		})
	}
	wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	rec.log("%d starts later than cancel_ms after the acknowledgement", late)
	return late > 0, nil
}
