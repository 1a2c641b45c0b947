package main

import (
	"strings"
	"sync"
	"time"
)

const lossSlack = 200 * time.Millisecond // loss-slack-ms

// playStop stops a front as planned work does, while two of its jobs wait for room at the workers.
func playStop(root string, rec *recorder, trouble bool) (bool, error) {
	c, err := newCluster(root, rec, 3, 4, 30_000, func(int) (int, []string) { return 32_000, []string{"a", "r1-1"} })
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	starts := map[string]int{} // by job
	for _, w := range c.workers {
		w.onStart = func(_ *worker, task string) {
			mu.Lock()
			defer mu.Unlock()
			starts[task[:strings.IndexByte(task, '.')]]++
		}
	}
	started := func(job string) int {
		mu.Lock()
		defer mu.Unlock()
		return starts[job]
	}
	one, two, filler := c.client("one", 0), c.client("two", 0), c.client("three", 1)
	for i := range c.fronts {
		if err := c.awaitReady(i); err != nil {
			return false, err
		}
	}
	time.Sleep(contactBound + time.Second)
	for _, k := range []*client{one, two, filler} { // their channels are open from now on
		k.queue = otherPrefix
		if a := k.send("POST", newID(), jobBody(100, step{Count: 1, CPU: 100, Mem: 64, Estimate: 100}), 5*time.Second); a.status != 200 {
			return false, errNotRun
		}
		k.queue = prefix
	}
	two.queue = otherPrefix // so that its run times say nothing about the other job
	// All workers are at work for 7.5 s, on tasks of the length that PROTOCOL.md shows.
	fill := newID()
	go filler.send("POST", fill, jobBody(7500, step{Count: len(c.workers), CPU: 31_000, Mem: 64, Estimate: 7000}), 25*time.Second)
	for end := time.Now().Add(2 * time.Second); started(fill) < len(c.workers) && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
	}
	if started(fill) < len(c.workers) {
		rec.log("the workers could not be filled")
		return false, errNotRun
	}
	waits, half := newID(), newID()
	answers := make(chan answer, 2)
	go func() {
		answers <- one.send("POST", waits, jobBody(500, step{Count: 1, CPU: 8000, Mem: 64, Estimate: 3000}), 25*time.Second)
	}()
	go func() {
		answers <- two.send("POST", half, jobBody(600, step{Count: 1, CPU: 500, Mem: 64, Estimate: 600}, step{Count: 1, CPU: 8000, Mem: 64, Estimate: 600, After: []int{0}}), 25*time.Second)
	}()
	time.Sleep(200 * time.Millisecond)
	if trouble {
		c.stop(c.fronts[0])
	}
	lost := 0
	for range 2 {
		if a := <-answers; a.status == 0 && a.took < 24*time.Second && a.took > lossSlack {
			lost++
		}
	}
	rec.log("tasks started: %d of 1 of %s, %d of 2 of %s", started(waits), waits, started(half), half)
	rec.log("%d of 2 requests got no answer", lost)
	return lost > 0, nil
}
