package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	churnTime   = 70 * time.Second
	jobInterval = 20 * time.Millisecond  // on average, between two jobs of all clients
	wideJobTime = 600 * time.Millisecond // the same, of jobs with more tasks than there are workers
	restartTime = 700 * time.Millisecond
)

// traffic sends jobs for churnTime, at random times and to random entries, and waits for them.
func (c *cluster) traffic(interval time.Duration, body func() map[string]any) {
	var jobs sync.WaitGroup
	for end := time.Now().Add(churnTime); time.Now().Before(end); time.Sleep(time.Duration(rand.ExpFloat64() * float64(interval))) {
		jobs.Go(func() {
			id, entry := newID(), rand.IntN(len(c.entries))
			c.rec.add("POST %s to entry %d", id, entry+1)
			a := c.send(entry, http.MethodPost, id, body(), 1500*time.Millisecond)
			c.rec.add("POST %s is answered %d %s", id, a.status, a.body)
		})
	}
	jobs.Wait()
}

// churn crashes two workers, one after the other, each restartTime until stop is closed. Each is back after 0.05 to 0.15 s, of the
// kind that kind returns.
func (c *cluster) churn(stop <-chan struct{}, kind func(w *worker) string) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(restartTime):
		}
		first := rand.IntN(len(c.workers))
		for _, w := range []*worker{c.workers[first], c.workers[(first+1)%len(c.workers)]} {
			w.crash()
			time.Sleep(50*time.Millisecond + rand.N(100*time.Millisecond))
			if err := w.up(kind(w)); err != nil {
				c.rec.add("worker %s does not come back: %v", w.name, err)
			}
		}
	}
}

// labelChurn sends jobs that require a label, while workers crash and come back as another kind.
func labelChurn(c *cluster) (int, error) {
	if err := c.start(3, 13, []string{"a", "b"}); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	defer close(stop)
	if c.trouble {
		go c.churn(stop, func(w *worker) string {
			if w.kind == "a" {
				return "b"
			}
			return "a"
		})
	}
	c.traffic(jobInterval, func() map[string]any {
		need := []string{"a", "b"}[rand.IntN(2)]
		return job(spec{MS: []int{20 + rand.IntN(60)}, Need: need}, []int{1 + rand.IntN(3)}, map[string]any{"required-label": need})
	})
	return c.count(), nil
}

// perServerChurn sends jobs of which a worker may run one task of a step, and that have one task more than
// there are workers, while workers crash and come back under another ID.
func perServerChurn(c *cluster) (int, error) {
	const workers = 13
	if err := c.start(3, workers, []string{"a"}); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	defer close(stop)
	if c.trouble {
		go c.churn(stop, func(w *worker) string { return w.kind })
	}
	c.traffic(wideJobTime, func() map[string]any {
		return job(spec{MS: []int{150 + rand.IntN(100)}, Most: 1}, []int{workers + 1}, map[string]any{"max-per-server": 1})
	})
	return c.count(), nil
}
