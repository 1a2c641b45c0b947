package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// playLabel lets a worker crash and come back as one of another kind, while jobs come that need a
// kind.
func playLabel(root string, rec *recorder, trouble bool) (bool, error) {
	const sides, kindB = 8, 2 // the first two workers are of kind b
	const down = 100 * time.Millisecond
	c, err := newCluster(root, rec, 3, sides, 30_000, func(i int) (int, []string) {
		if i < kindB {
			return 32_000, []string{"b", "r1-1"}
		}
		return 32_000, []string{"a", "r1-2"}
	})
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	needs := map[string]string{} // label that the tasks of a job need
	wrong := 0
	for _, w := range c.workers {
		w.onStart = func(w *worker, task string, labels []string) {
			mu.Lock()
			defer mu.Unlock()
			if l := needs[task[:strings.IndexByte(task, '.')]]; l != "" && !slices.Contains(labels, l) {
				wrong++
				rec.log("worker %s: %s starts, which needs label %s; the worker's labels are %v", w.name, task, l, labels)
			}
		}
	}
	for i := range c.fronts {
		if err := c.awaitReady(i); err != nil {
			return false, err
		}
	}
	time.Sleep(contactBound + time.Second)
	var clients []*client
	for i := range c.fronts {
		clients = append(clients, c.client(fmt.Sprintf("c%d", i+1), i))
	}
	submit := func(k *client) {
		job := newID()
		mu.Lock()
		needs[job] = "b"
		mu.Unlock()
		k.send("POST", job, jobBody(60, step{Count: 2, CPU: 18_000, Mem: 64, Estimate: 60, Label: "b"}), 1500*time.Millisecond)
	}
	for _, k := range clients {
		submit(k)
	}
	w := c.workers[0]
	for round := range 8 {
		time.Sleep(contactBound + time.Duration(rand.IntN(1000))*time.Millisecond)
		if trouble {
			w.crash()
			time.Sleep(down)
			if err := w.boot(newWorkerID(), 32_000, "a", "r1-1"); err != nil {
				return false, err
			}
		}
		time.Sleep(110 * time.Millisecond)
		var wait sync.WaitGroup
		for _, k := range clients {
			wait.Go(func() { submit(k) })
		}
		wait.Wait()
		rec.log("round %d: %d starts without the label so far", round+1, wrong)
		if trouble { // back to the kind that it had
			time.Sleep(time.Second)
			w.crash()
			time.Sleep(down)
			if err := w.boot(newWorkerID(), 32_000, "b", "r1-1"); err != nil {
				return false, err
			}
		}
	}
	mu.Lock()
	defer mu.Unlock()
	return wrong > 0, nil
}
