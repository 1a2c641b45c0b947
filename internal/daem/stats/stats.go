package stats

import (
	"net/http"
	"sync"

	"github.com/rcrowley/go-metrics"
)

// Path is where every daemon shows its counters.
const Path = "/metrics"

// Set is the counters of one process. The zero value is ready for use. It is
// safe for concurrent use.
type Set struct {
	once     sync.Once
	registry metrics.Registry
}

// Count adds one to the named counter.
func (s *Set) Count(name string) { s.Add(name, 1) }

// Add adds n to the named counter.
func (s *Set) Add(name string, n int) {
	metrics.GetOrRegisterCounter(name, s.reg()).Inc(int64(n))
}

// Refused counts a refusal by its reason.
func (s *Set) Refused(reason string) { s.Count("refused." + reason) }

// Retried counts a retry by its reason.
func (s *Set) Retried(reason string) { s.Count("retried." + reason) }

// Gauge shows a value that read returns when asked.
func (s *Set) Gauge(name string, read func() int64) {
	_ = s.reg().Register(name, metrics.NewFunctionalGauge(read))
}

// Value returns the named counter's value.
func (s *Set) Value(name string) int64 {
	return metrics.GetOrRegisterCounter(name, s.reg()).Count()
}

// ServeHTTP writes all counters as JSON.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(s.reg(), w)
}

func (s *Set) reg() metrics.Registry {
	s.once.Do(func() { s.registry = metrics.NewRegistry() })
	return s.registry
}
