package main

import (
	"fmt"
	"time"
)

func init() { scenarios["fraction"] = fractionInBounds }

// fractionInBounds starts the programs with a bound that is a fraction.
func fractionInBounds(c *cluster, trouble bool) ([]string, error) {
	if trouble {
		c.bounds["grace-s"] = "6.5"
	}
	names := []string{}
	for i := 1; i <= 3; i++ {
		names = append(names, fmt.Sprintf("e%d", i))
		if err := c.addEntry(i); err != nil {
			return nil, err
		}
	}
	for i := 1; i <= 3; i++ {
		names = append(names, fmt.Sprintf("n%d", i))
		if err := c.addNode(i); err != nil {
			return nil, err
		}
		if err := c.worker(i).start(workerSpec{id: fmt.Sprintf("i-%d", i), labels: []string{"a"}, cpu: workerCPU, memMB: workerMemory}); err != nil {
			return nil, err
		}
	}
	// Processes that end are started again after a short delay.
	ends := map[string]int{}
	for until := time.Now().Add(8 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		for _, name := range names {
			if c.running(name) {
				continue
			}
			ends[name]++
			if err := c.launch(name); err != nil {
				return nil, err
			}
		}
	}
	status := 0
	k := newClient(c)
	for i := 1; i <= 3; i++ {
		status, _ = k.submit(newJob(60, step{Count: 8, CPU: 3100, Memory: 64, MS: 60}), i, 3, 3*time.Second)
	}
	var broken []string
	for _, name := range names {
		if ends[name] >= 3 {
			broken = append(broken, fmt.Sprintf("FAULT: %s does not start: it ended by itself %d times in 8 s; a job got status %d", name, ends[name], status))
		}
	}
	if len(broken) == 0 && status != 200 {
		return nil, fmt.Errorf("a job got status %d", status)
	}
	return broken, nil
}
