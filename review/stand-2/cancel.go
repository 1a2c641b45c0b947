package main

import (
	"encoding/json"
	"net/http"
	"time"
)

const cancelTime = 3 * time.Second // cancel_ms

// job returns the body of a best-effort job of one step for each of the given counts.
func job(s spec, counts []int, more map[string]any) map[string]any {
	text, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	var steps []map[string]any
	for i, n := range counts {
		step := map[string]any{"count": n, "cpu": 1000, "mem-mb": 64, "estimate-ms": s.MS[i]}
		if i > 0 {
			step["after"] = []int{i - 1}
		}
		for k, v := range more {
			step[k] = v
		}
		steps = append(steps, step)
	}
	return map[string]any{"spec": string(text), "best-effort": true, "steps": steps}
}

// cancelCut cancels a job at one entry while the entry that runs it is cut off from the other
// entries, for 12 s. Its links to the nodes, the clients and the store are whole.
func cancelCut(c *cluster) (int, error) {
	c.proxied = true
	if err := c.start(2, 4, []string{"a"}); err != nil {
		return 0, err
	}
	if c.trouble {
		c.rec.add("the link between the two entries is cut")
		for _, p := range c.proxies {
			p.cut(true)
		}
	}
	id := newID()
	submitted := make(chan struct{})
	go func() {
		defer close(submitted)
		c.rec.add("POST %s to entry 1: a step of 1 task of 5 s, then one of 2 tasks of 0.2 s", id)
		a := c.send(0, http.MethodPost, id, job(spec{MS: []int{5000, 200}}, []int{1, 2}, nil), 10*time.Second)
		c.rec.add("POST %s is answered %d %s", id, a.status, a.body)
	}()
	time.Sleep(500 * time.Millisecond)
	acked, ok := c.cancelJob(1, id)
	<-submitted
	time.Sleep(500 * time.Millisecond)
	for _, p := range c.proxies {
		p.cut(false)
	}
	if ok {
		c.checkCancelled(id, acked)
	}
	return c.count(), nil
}

// cancelRestart cancels a job, restarts one entry as a rolling restart does, and lets a late copy of
// the job's request arrive there.
func cancelRestart(c *cluster) (int, error) {
	if err := c.start(3, 4, []string{"a"}); err != nil {
		return 0, err
	}
	id := newID()
	body := job(spec{MS: []int{4000}}, []int{2}, nil)
	submitted := make(chan struct{})
	go func() {
		defer close(submitted)
		c.rec.add("POST %s to entry 1: 2 tasks of 4 s", id)
		a := c.send(0, http.MethodPost, id, body, 10*time.Second)
		c.rec.add("POST %s is answered %d %s", id, a.status, a.body)
	}()
	time.Sleep(500 * time.Millisecond)
	acked, ok := c.cancelJob(0, id)
	<-submitted
	if c.trouble {
		if err := c.restart(c.entries[2]); err != nil {
			return 0, err
		}
	}
	time.Sleep(time.Until(acked.Add(cancelTime + time.Second)))
	for end := time.Now().Add(10 * time.Second); !c.ready(2) && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	c.rec.add("a late copy of POST %s arrives at entry 3", id)
	a := c.send(2, http.MethodPost, id, body, 10*time.Second)
	c.rec.add("the copy of POST %s is answered %d %s", id, a.status, a.body)
	if ok {
		c.checkCancelled(id, acked)
	}
	return c.count(), nil
}

// cancelJob cancels a job at an entry, until that is acknowledged, and returns when it was.
func (c *cluster) cancelJob(entry int, id string) (time.Time, bool) {
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); {
		c.rec.add("DELETE %s to entry %d", id, entry+1)
		a := c.send(entry, http.MethodDelete, id, nil, 2*time.Second)
		c.rec.add("DELETE %s is answered %d %s", id, a.status, a.body)
		if a.status/100 == 2 || a.status == http.StatusGone {
			return time.Now(), true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return time.Now(), false
}

// checkCancelled checks that no task of a job has started later than cancel_ms after its cancelling
// was acknowledged.
func (c *cluster) checkCancelled(id string, acked time.Time) {
	for _, s := range c.startsAfter(id, acked.Add(cancelTime)) {
		c.breaks("UNASKED: " + s.task + " starts on worker " + s.worker + " " + s.at.Sub(acked).Round(time.Millisecond).String() + " after the cancelling was acknowledged")
	}
}
