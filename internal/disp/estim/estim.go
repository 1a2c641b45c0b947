package estim

import (
	"math"
	"sync"
	"time"
)

const (
	minWeight      = 0.02                   // least weight of a new observation in the moving mean
	declaredWeight = 0.5                    // weight of the declared run time against the observed mean
	defaultRunTime = 200 * time.Millisecond // estimate if nothing is declared or observed
)

// RunTimes keeps the mean observed run time of the tasks of each route. The zero value
// has no observations. It is safe for concurrent use.
type RunTimes struct {
	mu      sync.Mutex
	byRoute map[string]logMean
}

// logMean is a moving mean of the natural logarithms of run times in milliseconds.
type logMean struct {
	log float64 // mean of the logarithms
	n   int     // number of observations
}

// Observe adds the run time of a task of route on a target of the given speed. It
// ignores the observation if the run time or the speed is not positive.
func (t *RunTimes) Observe(route string, runTime time.Duration, speed float64) {
	ms := float64(runTime) / float64(time.Millisecond) * speed
	if ms <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byRoute == nil {
		t.byRoute = map[string]logMean{}
	}
	m := t.byRoute[route]
	m.n++
	m.log += max(minWeight, 1/float64(m.n)) * (math.Log(ms) - m.log)
	t.byRoute[route] = m
}

// Estimate returns the estimated run time of a task of route, on a target of speed 1,
// given the run time that its caller declared. A value of 0 or less means that the
// caller declared none.
func (t *RunTimes) Estimate(route string, declared time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.byRoute[route]
	switch {
	case !ok && declared <= 0:
		return defaultRunTime
	case !ok:
		return declared
	case declared <= 0:
		return fromLogMillis(m.log)
	}
	return fromLogMillis(declaredWeight*math.Log(float64(declared)/float64(time.Millisecond)) + (1-declaredWeight)*m.log)
}

// fromLogMillis returns the duration with the given natural logarithm of milliseconds.
func fromLogMillis(log float64) time.Duration {
	return time.Duration(math.Exp(log) * float64(time.Millisecond))
}
