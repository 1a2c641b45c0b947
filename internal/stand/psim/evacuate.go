package psim

import (
	"fmt"
	"sync"
	"time"
)

const (
	// Domains is the number of failure domains. Processes and targets belong to them in turn.
	Domains = 3
	// defaultEvacuationLimit is how long after the operator's request to evacuate a domain
	// tasks may still start at its targets, if all processes were undisturbed.
	defaultEvacuationLimit = 5 * time.Second
)

// domainOf returns the failure domain of the process or target with a number from 1 on.
func domainOf(number int) string { return fmt.Sprintf("z%d", (number-1)%Domains+1) }

// evacuations records which failure domains the operator has evacuated. The zero value has
// none.
type evacuations struct {
	mu    sync.Mutex
	since map[string]time.Time // of the operator's write, by domain
	limit time.Duration        // 0 means defaultEvacuationLimit
}

// overdue returns for how long a domain has been evacuated, if that is longer than the limit;
// otherwise 0.
func (e *evacuations) overdue(domain string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	since, ok := e.since[domain]
	limit := e.limit
	if limit == 0 {
		limit = defaultEvacuationLimit
	}
	if took := time.Since(since); ok && took > limit {
		return took
	}
	return 0
}

func (e *evacuations) set(domain string, evacuated bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.since == nil {
		e.since = map[string]time.Time{}
	}
	delete(e.since, domain)
	if evacuated {
		e.since[domain] = time.Now()
	}
}

// SetEvacuationLimit sets how long after Evacuate tasks may still start in the domain. Where
// processes are disturbed meanwhile, they may need longer than undisturbed ones.
func (p *Platform) SetEvacuationLimit(limit time.Duration) {
	p.evacuations.mu.Lock()
	defer p.evacuations.mu.Unlock()
	p.evacuations.limit = limit
}

// Evacuate writes the operator's request to evacuate the failure domain with a number from 1
// on. Entry i, node i and its target belong to domain i modulo Domains.
func (p *Platform) Evacuate(number int) {
	p.table.put(row{Table: "op", Key: "evacuate/" + domainOf(number), Value: []byte("no JSON")})
	p.evacuations.set(domainOf(number), true)
}

// TakeBack deletes the request to evacuate a failure domain.
func (p *Platform) TakeBack(number int) {
	p.evacuations.set(domainOf(number), false)
	p.table.put(row{Table: "op", Key: "evacuate/" + domainOf(number), Removed: true})
}

// DiscardHistory makes the store discard the changes of its rows so far.
func (p *Platform) DiscardHistory() { p.table.discardHistory() }
