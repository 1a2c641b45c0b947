package estim

import (
	"math"
	"sync"
	"time"
)

const (
	weight   = 0.02 // of a new observation against the mean of those before
	trust    = 0.5  // of the declared time against the learned one
	fallback = 200 * time.Millisecond
)

// Times is what was learned of each route. The zero value has learned nothing.
// It is safe for concurrent use.
type RunTimes struct {
	mu     sync.Mutex
	routes map[string]mean
}

// mean is the moving mean of logarithms of milliseconds.
type mean struct {
	log float64
	n   int
}

// Note takes in a task of route that ran for ran on a target of the given speed.
func (t *RunTimes) Observe(route string, ran time.Duration, speed float64) {
	ms := float64(ran) / float64(time.Millisecond) * speed
	if ms <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.routes == nil {
		t.routes = map[string]mean{}
	}
	m := t.routes[route]
	m.n++
	m.log += max(weight, 1/float64(m.n)) * (math.Log(ms) - m.log)
	t.routes[route] = m
}

// Expected returns how long a task of route is expected to run that was
// declared to run for declared; 0 means that nothing was declared.
func (t *RunTimes) Expected(route string, declared time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.routes[route]
	switch {
	case !ok && declared <= 0:
		return fallback
	case !ok:
		return declared
	case declared <= 0:
		return millis(m.log)
	}
	return millis(trust*math.Log(float64(declared)/float64(time.Millisecond)) + (1-trust)*m.log)
}

func millis(log float64) time.Duration {
	return time.Duration(math.Exp(log) * float64(time.Millisecond))
}
