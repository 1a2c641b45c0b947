package stats

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// Path is where every daemon shows its counters.
	JSONPath = "/metrics"
	// TextPath is where a process that has an address for metrics shows them as
	// text.
	TextPath = "/metrics.txt"
	// sampleSize is the number of newer observations that a histogram is drawn from.
	sampleSize = 512
	// sampleAlpha weighs newer observations: half of a sample stems from the last
	// minute or so.
	sampleAlpha = 0.015
)

// Set is the counters and histograms of one process. The zero value is ready
// for use. It is safe for concurrent use.
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
func (s *Set) CountRefusal(reason string) { s.Count("refused." + reason) }

// Retried counts a retry by its reason.
func (s *Set) CountRetry(reason string) { s.Count("retried." + reason) }

// Show has counters listed before they have counted anything.
func (s *Set) Declare(names []string) {
	for _, name := range names {
		s.Add(name, 0)
	}
}

// Time notes a time in the named histogram of milliseconds.
func (s *Set) Observe(name string, d time.Duration) {
	h := s.reg().GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	})
	if histogram, ok := h.(metrics.Histogram); ok {
		histogram.Update(d.Milliseconds())
	}
}

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

// Text serves all counters and histograms as lines "name value", in the order of
// their names. Histograms are in milliseconds.
func (s *Set) TextHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		for _, text := range s.texts() {
			// A reader that has left can't be told.
			_, _ = io.WriteString(w, text)
		}
	})
}

// texts returns the lines of Text.
func (s *Set) texts() []string {
	var lines []string
	s.reg().Each(func(name string, value any) {
		switch v := value.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d\n", name, v.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d\n", name, v.Value()))
		case metrics.Histogram:
			lines = append(lines, histogram(name, v.Snapshot()))
		}
	})
	slices.Sort(lines)
	return lines
}

// histogram returns the lines of a histogram.
func histogram(name string, h metrics.Histogram) string {
	q := h.Percentiles([]float64{0.5, 0.9, 0.99})
	return fmt.Sprintf("%[1]s.count %[2]d\n%[1]s.p50 %.0[3]f\n%[1]s.p90 %.0[4]f\n%[1]s.p99 %.0[5]f\n%[1]s.max %[6]d\n",
		name, h.Count(), q[0], q[1], q[2], h.Max())
}

func (s *Set) reg() metrics.Registry {
	s.once.Do(func() { s.registry = metrics.NewRegistry() })
	return s.registry
}
