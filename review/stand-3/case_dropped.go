package main

import (
	"strings"
	"sync"
	"time"
)

// playDropped removes a queue from the manifest while a job of it runs, which its client then cancels.
func playDropped(root string, rec *recorder, trouble bool) (bool, error) {
	c, err := newCluster(root, rec, 3, 4, 30_000, func(int) (int, []string) { return 32_000, []string{"a", "r1-1"} })
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var cancelSent, cancelAcked time.Time
	late := 0
	for _, w := range c.workers {
		w.onStart = func(w *worker, task string) {
			mu.Lock()
			defer mu.Unlock()
			limit := cancelSent.Add(ackBound + cancelBound)
			if !cancelAcked.IsZero() {
				limit = cancelAcked.Add(cancelBound)
			}
			if !cancelSent.IsZero() && time.Now().After(limit) {
				late++
				rec.log("worker %s: %s starts %d ms after the first DELETE was sent", w.name, task, time.Since(cancelSent).Milliseconds())
			}
		}
	}
	for i := range c.fronts {
		if err := c.awaitReady(i); err != nil {
			return false, err
		}
	}
	time.Sleep(contactBound + time.Second)
	job := newID()
	submitted := make(chan answer, 1)
	go func() {
		s := step{Count: 2, CPU: 1000, Mem: 64, Estimate: 6000}
		next, last := s, s
		next.After, last.After = []int{0}, []int{1}
		submitted <- c.client("caller", 0).send("POST", job, jobBody(6000, s, next, last), 30*time.Second)
	}()
	time.Sleep(500 * time.Millisecond)
	if trouble {
		c.writeManifest(9, 30_000, false)
	}
	time.Sleep(3 * time.Second) // config-apply-ms is 2 s
	mu.Lock()
	cancelSent = time.Now()
	mu.Unlock()
	for try := range 6 { // each second, at one front after the other, beyond ack-ms
		a := c.client("canceller", try%len(c.fronts)).send("DELETE", job, nil, time.Second)
		if a.status/100 == 2 || a.status == 410 {
			mu.Lock()
			cancelAcked = time.Now()
			mu.Unlock()
			break
		}
		time.Sleep(time.Second)
	}
	a := <-submitted
	wentOn := strings.Contains(a.body, "done")
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	rec.log("%d starts too late; the job is done: %v", late, wentOn)
	return late > 0, nil
}
