package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

const (
	minDelay = 100 * time.Millisecond // running tasks free resources in about that time
	// maxDelay bounds promises, since estimates that reach further mean little. Callers
	// beyond it come back at random times in its second half.
	maxDelay = 15 * time.Second
	// spreadPercent is the random part of a delay, in percent of the rest.
	spreadPercent = 25
	priorities    = 8 // lower priorities count as the lowest of these
)

// Refusal describes a job that is refused.
type Refusal struct {
	Now      boot.Time
	Wait     time.Duration // expected time until there is capacity for the job
	Work     time.Duration // time that the callers' share of the capacity needs for the job
	Priority int           // of the job's route; 0 is the highest
	Repeated bool          // the caller has submitted the job before
	// Outage is how long nothing could be started so far; 0 without an outage. Nobody
	// knows when it ends: the longer it has lasted, the longer it is expected to last.
	Outage time.Duration
}

// Planner promises times to callers. The zero value has promised nothing. It is safe for
// concurrent use.
type Planner struct {
	// Rand returns a random number in [0, 1); nil means that of math/rand/v2.
	Rand func() float64

	mu       sync.Mutex
	promised [priorities]boot.Time // until when the capacity is promised, by priority
}

// Delay returns the time after which the caller of a refused job shall come back, and
// counts the job's work as promised then.
func (p *Planner) Delay(r Refusal) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.free(r)
	p.promised[r.class()] = min(at.Add(r.Work), r.Now.Add(maxDelay))
	return spread(at.Sub(r.Now), p.random())
}

// Preview returns the bounds of what Delay would return, and promises nothing.
func (p *Planner) Preview(r Refusal) (shortest, longest time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delay := p.free(r).Sub(r.Now)
	return spread(delay, 0), spread(delay, 1)
}

// free returns when there is capacity for r that is not promised. The caller holds mu.
func (p *Planner) free(r Refusal) boot.Time {
	at := r.Now.Add(max(r.Wait, r.Outage, minDelay))
	for _, until := range p.promised[:r.class()+1] {
		at = max(at, until)
	}
	return at
}

// spread bounds a delay and adds its random part, given a random number from 0 to 1.
func spread(delay time.Duration, random float64) time.Duration {
	if delay >= maxDelay {
		return maxDelay/2 + time.Duration(random*float64(maxDelay/2))
	}
	return delay + time.Duration(random*float64(delay)*spreadPercent/100)
}

// class returns the class of priority in which the job waits for its time. A caller that
// has submitted the job before goes before others of its priority.
func (r Refusal) class() int {
	class := r.Priority
	if r.Repeated {
		class--
	}
	return min(max(class, 0), priorities-1)
}

func (p *Planner) random() float64 {
	if p.Rand != nil {
		return p.Rand()
	}
	return rand.Float64()
}
